import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as agreements from './agreement.js'

/** Longest watch of the configuration head, in milliseconds. Each watch is followed by a read. */
const WATCH_WAIT_MS = 4000

/** Pause after the platform did not answer, in milliseconds. */
const RETRY_PAUSE_MS = 300

/** Longest wait for a peer's configuration, in milliseconds. */
const FETCH_TIMEOUT_MS = 2000

/** What a configuration task works with. */
export interface ConfigurationOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  onAgreement: (agreement: agreements.Agreement) => void
}

/** Keeps the newest configuration in force, from the platform or from other routers. */
export class ConfigurationTask {
  readonly #options: ConfigurationOptions
  readonly #store: operators.configurationStore.ConfigurationStore
  readonly #tracker = new decisions.configurationHead.ConfigurationTracker<agreements.Agreement>()
  readonly #stop = new AbortController()
  #loop: Promise<void> | undefined
  #fetching = false

  constructor (options: ConfigurationOptions) {
    this.#options = options
    this.#store = new operators.configurationStore.ConfigurationStore(options.platform)
  }

  start (): void {
    this.#loop = this.#watchLoop()
  }

  /** The agreement in force; undefined before the first. */
  get agreement (): agreements.Agreement | undefined {
    return this.#tracker.manifest
  }

  get generation (): number {
    return this.#tracker.generation
  }

  /** The configuration as text, for another router. */
  asText (): routers.peerMessages.ConfigurationReply {
    const head = this.#tracker.head
    if (head === undefined) return { head: '', manifest: '' }
    return { head: JSON.stringify(head), manifest: JSON.stringify(this.#tracker.manifest?.manifest) }
  }

  /** Notes the generation that another router has in force, and fetches it where it is newer. */
  async peerHas (address: string, generation: number): Promise<void> {
    if (this.#fetching || !this.#tracker.isNewer({ generation })) return
    this.#fetching = true
    try {
      const reply = await this.#options.peers.call(address, 'FetchConfiguration', {}, FETCH_TIMEOUT_MS)
      if (reply.head !== '') this.#accept(JSON.parse(reply.head), JSON.parse(reply.manifest), 'router')
    } catch (error) {
      this.#options.logger.warn({ event: 'configuration-fetch-failed', step: 'fetch configuration', peer: 'router', reason: (error as Error).message })
    } finally {
      this.#fetching = false
    }
  }

  async stop (): Promise<void> {
    this.#stop.abort()
    await Promise.race([this.#loop, this.#options.clock.sleep(RETRY_PAUSE_MS)])
  }

  async #watchLoop (): Promise<void> {
    let version: string | undefined
    while (!this.#stop.signal.aborted) {
      try {
        version = await this.#watchOnce(version)
      } catch (error) {
        this.#options.logger.warn({ event: 'configuration-unreachable', step: 'watch head', peer: 'platform', reason: (error as Error).message })
        await this.#options.clock.sleep(RETRY_PAUSE_MS, this.#stop.signal)
      }
    }
  }

  async #watchOnce (version: string | undefined): Promise<string | undefined> {
    const stored = await this.#store.watchHead(version, WATCH_WAIT_MS)
    if (stored === undefined) return undefined
    const head = stored.value as decisions.configurationHead.ConfigurationHead
    if (this.#tracker.isNewer(head)) this.#accept(head, await this.#store.readManifest(head), 'platform')
    return stored.version
  }

  #accept (head: decisions.configurationHead.ConfigurationHead, manifest: operators.manifest.Manifest, source: string): void {
    const agreement = new agreements.Agreement(head.generation, manifest)
    if (!this.#tracker.accept(head, agreement)) return
    this.#options.logger.info({ event: 'configuration-in-force', generation: head.generation, step: 'accept', peer: source })
    this.#options.onAgreement(agreement)
  }
}
