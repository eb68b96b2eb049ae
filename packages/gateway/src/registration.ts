import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as runtime from '@acaciaweir/runtime'

/** Pause between two tries to register, in milliseconds. */
const REGISTER_PAUSE_MS = 500

/** What registering works with. */
export interface RegistrationOptions {
  host: string
  peerAddress: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Called with the address of each gateway that is registered, and that may be gone. */
  onGateway: (peerAddress: string) => void
}

/** Registers a gateway in the store, and learns of those that registered before. Tries until it is done or stopped. */
export async function register (options: RegistrationOptions, stop: AbortSignal): Promise<void> {
  while (!stop.aborted) {
    if (await tryRegister(options)) return
    await options.clock.sleep(REGISTER_PAUSE_MS, stop)
  }
}

async function tryRegister (options: RegistrationOptions): Promise<boolean> {
  const { host, store } = options
  const kind = adapter.objectKinds.ObjectKind.routers
  const listed = await store.list(kind)
  if (listed.status !== 'done') return false
  for (const object of listed.result.objects) meet(object, options)
  const own = listed.result.objects.find((object) => object.name === host)
  const value = { peerAddress: options.peerAddress }
  const written = own === undefined ? await store.create(kind, host, value) : await store.replace(kind, host, value, own.revision)
  return written.status === 'done'
}

function meet (object: platform.objectStore.StoreObject, options: RegistrationOptions): void {
  const address = (object.value as { peerAddress?: unknown } | null)?.peerAddress
  if (typeof address === 'string') options.onGateway(address)
  else options.logger.warn({ event: 'gateway-entry-skipped', host: object.name, revision: object.revision })
}
