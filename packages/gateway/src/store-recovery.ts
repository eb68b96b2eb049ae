import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import type * as runtime from '@acaciaweir/runtime'
import type * as tokenPageClients from './token-page-client.js'

/** Pause between two attempts to complete the token page, in milliseconds. */
const RETRY_MS = 300

/** Longest delay until a gateway checks its registration, in milliseconds. It is random, as all gateways learn of the new epoch together. */
const MAXIMUM_REGISTRATION_DELAY_MS = 2000

/** Dependencies of the recovery. */
export interface StoreRecoveryOptions {
  store: platform.objectStore.ObjectStore
  tokenPages: tokenPageClients.TokenPageClient
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  /** Sends a heartbeat with the new epoch to the other gateways. */
  announce: () => void
  /** Registers this gateway again if its entry is missing. */
  restoreRegistration: () => Promise<void>
}

/** Writes again what this gateway wrote to the store, when the store comes back from a backup, and tells the other gateways of it. */
export class StoreRecovery {
  readonly #options: StoreRecoveryOptions
  readonly #stop = new AbortController()

  constructor (options: StoreRecoveryOptions) {
    this.#options = options
    options.store.onNewEpoch((epoch) => { this.#start(epoch) })
  }

  stop (): void {
    this.#stop.abort()
  }

  #start (epoch: number): void {
    if (this.#stop.signal.aborted) return
    this.#options.logger.warn({ event: 'store-epoch', epoch, pageEpoch: this.#options.tokenPages.pageEpoch })
    this.#options.announce()
    void this.#completeTokenPage(epoch)
    void this.#register()
  }

  /** Does nothing at a gateway that knows no token page. */
  async #completeTokenPage (epoch: number): Promise<void> {
    const { announce, clock, store, tokenPages } = this.#options
    while (tokenPages.pageEpoch > 0 && tokenPages.pageEpoch < epoch && store.epoch === epoch && !this.#stop.signal.aborted) {
      await tokenPages.ask(new Map())
      if (tokenPages.pageEpoch >= epoch) announce()
      else await clock.sleep(RETRY_MS, this.#stop.signal)
    }
  }

  async #register (): Promise<void> {
    await this.#options.clock.sleep(this.#options.random.integer(MAXIMUM_REGISTRATION_DELAY_MS), this.#stop.signal)
    await this.#options.restoreRegistration()
  }
}
