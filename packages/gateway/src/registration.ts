import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as runtime from '@acaciaweir/runtime'

/** Pause between two attempts to register, in milliseconds. */
const REGISTER_RETRY_MS = 500

/** Dependencies of the registration. */
export interface RegistrationOptions {
  host: string
  peerAddress: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Called with the peer address of each registered gateway, which may have ended since. */
  onRegisteredGateway: (peerAddress: string) => void
}

/** Registers a gateway in the store, and reports all gateways that registered before. Retries until it succeeds or is stopped. */
export async function register (options: RegistrationOptions, stop: AbortSignal): Promise<void> {
  while (!stop.aborted) {
    if (await tryRegister(options)) return
    await options.clock.sleep(REGISTER_RETRY_MS, stop)
  }
}

/** Registers a gateway again if its entry is missing, as the store came back from a backup. */
export async function restoreRegistration (options: RegistrationOptions, stop: AbortSignal): Promise<void> {
  while (!stop.aborted) {
    const entry = await options.store.read(adapter.objectKinds.ObjectKind.routers, options.host)
    if (entry.status === 'done' && (entry.result.value as { peerAddress?: unknown } | null)?.peerAddress === options.peerAddress) return
    if (entry.status === 'done' || entry.status === 'missing') {
      await register(options, stop)
      return
    }
    await options.clock.sleep(REGISTER_RETRY_MS, stop)
  }
}

async function tryRegister (options: RegistrationOptions): Promise<boolean> {
  const { host, store } = options
  const kind = adapter.objectKinds.ObjectKind.routers
  const listing = await store.list(kind)
  if (listing.status !== 'done') return false
  for (const object of listing.result.objects) reportGateway(object, options)
  const own = listing.result.objects.find((object) => object.name === host)
  const value = { peerAddress: options.peerAddress }
  const written = own === undefined ? await store.create(kind, host, value) : await store.replace(kind, host, value, own.revision)
  return written.status === 'done'
}

function reportGateway (object: platform.objectStore.StoreObject, options: RegistrationOptions): void {
  const address = (object.value as { peerAddress?: unknown } | null)?.peerAddress
  if (typeof address === 'string') options.onRegisteredGateway(address)
  else options.logger.warn({ event: 'gateway-entry-skipped', host: object.name, revision: object.revision })
}
