import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import type * as runtime from '@acaciaweir/runtime'

/** How long one watch waits for a change, in milliseconds. A connection that went silent is found within this time. */
const WATCH_WAIT_MS = 2000

/** Time in which changes gather before the next call, in milliseconds. Targets that register or leave together cost one call, not one each. */
const GATHER_MS = 200

/** Pause after a failed call, in milliseconds. Doubles up to the longest. */
const FIRST_PAUSE_MS = 50
const LONGEST_PAUSE_MS = 1000

/** What a watch works with. */
export interface ObjectWatchOptions {
  kind: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Pause before the next call, in milliseconds, where other gateways watch for this one; 0 where it watches itself. */
  pauseMs: () => number
}

/** Follows the objects of one kind: lists them, then watches for changes, and lists anew where history was lost. */
export abstract class ObjectWatch {
  readonly #options: ObjectWatchOptions
  readonly #stop = new AbortController()
  #revision: number | undefined
  /** The last call brought changes. */
  #hasChanged = false
  #connected = false
  #lostAt = -Infinity
  #heardAt = -Infinity
  #pauseMs = FIRST_PAUSE_MS

  constructor (options: ObjectWatchOptions) {
    this.#options = options
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#stop.abort()
  }

  /** Store revision up to which changes are known; 0 before the first list. */
  get revision (): number {
    return this.#revision ?? 0
  }

  /** Time since the store last answered, in milliseconds. */
  silenceMs (): number {
    return this.#options.clock.now() - this.#heardAt
  }

  protected get logger (): runtime.logging.Logger {
    return this.#options.logger
  }

  /** Takes the whole list. `afterOutage` is set where the store had been out of reach just before. */
  protected abstract useList (objects: platform.objectStore.StoreObject[], revision: number, afterOutage: boolean): void
  protected abstract useEvents (events: platform.objectStore.ObjectEvent[], revision: number): void

  async #run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#yieldToOthers()
      const failure = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision)
      if (failure === undefined) {
        this.#reached()
        if (this.#hasChanged) await this.#options.clock.sleep(GATHER_MS, this.#stop.signal)
        continue
      }
      if (failure.status === 'history-gone') {
        this.#options.logger.info({ event: 'history-gone', kind: this.#options.kind, revision: this.#revision })
        this.#revision = undefined
        continue
      }
      this.#lost(failure)
      await this.#options.clock.sleep(this.#pauseMs, this.#stop.signal)
      this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2)
    }
  }

  /** Waits while other gateways watch. What changed meanwhile came from them; a list makes up for what did not. */
  async #yieldToOthers (): Promise<void> {
    if (this.#revision === undefined) return
    for (let pauseMs = this.#options.pauseMs(); pauseMs > 0; pauseMs = this.#options.pauseMs()) {
      await this.#options.clock.sleep(pauseMs, this.#stop.signal)
      if (this.#stop.signal.aborted) return
    }
  }

  async #list (): Promise<platform.objectStore.StoreFailure | undefined> {
    const outcome = await this.#options.store.list(this.#options.kind)
    if (outcome.status !== 'done') return outcome
    this.#revision = outcome.result.revision
    this.#hasChanged = false
    this.useList(outcome.result.objects, outcome.result.revision, !this.#connected && this.#lostAt > -Infinity)
    return undefined
  }

  async #watch (revision: number): Promise<platform.objectStore.StoreFailure | undefined> {
    const outcome = await this.#options.store.watch(this.#options.kind, revision, WATCH_WAIT_MS)
    if (outcome.status !== 'done') return outcome
    this.#revision = Math.max(revision, outcome.result.revision)
    this.#hasChanged = outcome.result.events.length > 0
    if (this.#hasChanged) this.useEvents(outcome.result.events, this.#revision)
    return undefined
  }

  #reached (): void {
    this.#heardAt = this.#options.clock.now()
    this.#pauseMs = FIRST_PAUSE_MS
    if (this.#connected) return
    this.#connected = true
    this.#options.logger.info({ event: 'dependency-regained', dependency: 'store', kind: this.#options.kind, revision: this.#revision })
  }

  #lost (failure: platform.objectStore.StoreFailure): void {
    if (!this.#connected) return
    this.#connected = false
    this.#lostAt = this.#options.clock.now()
    this.#options.logger.warn({ event: 'dependency-lost', dependency: 'store', kind: this.#options.kind, step: failure.step, reason: failure.reason, revision: this.#revision })
  }
}
