import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as agreements from './agreement.js'

/** Timeout of one watch of the configuration head, in milliseconds. Each watch is followed by a read. */
const WATCH_TIMEOUT_MS = 4000

/** Backoff after a failed watch, in milliseconds. */
const RETRY_BACKOFF_MS = 300

/** Timeout of the call that fetches another router's configuration, in milliseconds. */
const FETCH_TIMEOUT_MS = 2000

/** Dependencies of the configuration task. */
export interface ConfigurationTaskOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  onAgreement: (agreement: agreements.Agreement) => void
}

/** Watches the configuration in the platform, fetches newer ones from other routers, and puts the newest in force. */
export class ConfigurationTask {
  readonly #options: ConfigurationTaskOptions
  readonly #store: operators.configurationStore.ConfigurationStore
  readonly #tracker = new decisions.configurationHead.ConfigurationTracker<agreements.Agreement>()
  readonly #abort = new AbortController()
  #loop: Promise<void> | undefined
  #isFetching = false

  constructor (options: ConfigurationTaskOptions) {
    this.#options = options
    this.#store = new operators.configurationStore.ConfigurationStore(options.platform)
  }

  start (): void {
    this.#loop = this.#watchLoop()
  }

  /** Agreement in force; undefined before the first configuration. */
  get agreement (): agreements.Agreement | undefined {
    return this.#tracker.manifest
  }

  get generation (): number {
    return this.#tracker.generation
  }

  /** Returns the configuration in force as JSON texts for another router; empty texts before the first configuration. */
  toReply (): routers.peerMessages.ConfigurationReply {
    const head = this.#tracker.head
    if (head === undefined) return { head: '', manifest: '' }
    return { head: JSON.stringify(head), manifest: JSON.stringify(this.#tracker.manifest?.manifest) }
  }

  /**
   * Fetches the configuration of another router if its generation is newer than the one in force. Does nothing while
   * another fetch is in progress; a later heartbeat triggers it again. A failed fetch is logged.
   */
  async fetchIfNewer (address: string, generation: number): Promise<void> {
    if (this.#isFetching || !this.#tracker.isNewer({ generation })) return
    this.#isFetching = true
    try {
      const reply = await this.#options.peers.call(address, 'FetchConfiguration', {}, FETCH_TIMEOUT_MS)
      if (reply.head !== '') this.#activate(JSON.parse(reply.head), JSON.parse(reply.manifest), 'router')
    } catch (error) {
      this.#options.logger.warn({ event: 'configuration-fetch-failed', step: 'fetch configuration', peer: 'router', reason: (error as Error).message })
    } finally {
      this.#isFetching = false
    }
  }

  async stop (): Promise<void> {
    this.#abort.abort()
    // A watch in progress cannot be cancelled and may last longer.
    await Promise.race([this.#loop, this.#options.clock.sleep(RETRY_BACKOFF_MS)])
  }

  async #watchLoop (): Promise<void> {
    let version: string | undefined
    while (!this.#abort.signal.aborted) {
      try {
        version = await this.#watchOnce(version)
      } catch (error) {
        this.#options.logger.warn({ event: 'configuration-unreachable', step: 'watch head', peer: 'platform', reason: (error as Error).message })
        await this.#options.clock.sleep(RETRY_BACKOFF_MS, this.#abort.signal)
      }
    }
  }

  async #watchOnce (version: string | undefined): Promise<string | undefined> {
    const stored = await this.#store.watchHead(version, WATCH_TIMEOUT_MS)
    if (stored === undefined) return undefined
    const head = stored.value as decisions.configurationHead.ConfigurationHead
    if (this.#tracker.isNewer(head)) this.#activate(head, await this.#store.readManifest(head), 'platform')
    return stored.version
  }

  #activate (head: decisions.configurationHead.ConfigurationHead, manifest: operators.manifest.Manifest, source: string): void {
    const agreement = new agreements.Agreement(head.generation, manifest)
    if (!this.#tracker.accept(head, agreement)) return
    this.#options.logger.info({ event: 'configuration-in-force', generation: head.generation, step: 'accept', peer: source })
    this.#options.onAgreement(agreement)
  }
}
