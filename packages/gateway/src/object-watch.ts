import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import type * as runtime from '@acaciaweir/runtime'

/** Time for which the store holds a watch open without changes by default, in milliseconds. A silent connection is noticed after this time plus the store client's margin. */
export const DEFAULT_WAIT_MS = 2000

/** Delay before the next watch after one that returned changes, in milliseconds. Targets that register or leave together then cost one call instead of one each. */
const EVENT_BATCH_DELAY_MS = 200

/** Exponential backoff after failed calls: the delay doubles from the initial value up to the maximum. */
const INITIAL_BACKOFF_MS = 50
const MAXIMUM_BACKOFF_MS = 1000

/** Dependencies and settings of a watch. */
export interface ObjectWatchOptions {
  /** Kind of the objects to watch. */
  kind: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Time for which the store holds a watch open without changes, in milliseconds; `DEFAULT_WAIT_MS` by default. */
  waitMs?: number
  /** Time until this gateway checks again whether it has to watch, in milliseconds, while other gateways watch on its behalf; 0 if it has to watch itself. */
  pauseMs: () => number
}

/**
 * Keeps up with the objects of one kind: lists them once, then watches for changes from the last known revision. Lists
 * again if the store no longer has the history since that revision, or has another one as it came back from a backup.
 */
export abstract class ObjectWatch {
  readonly #options: ObjectWatchOptions
  readonly #waitMs: number
  readonly #abortController = new AbortController()
  #revision: number | undefined
  /** Epoch of the store to which the revision belongs. */
  #epoch = 0
  /** The last call was a watch that returned changes. */
  #hadChanges = false
  #isConnected = false
  #disconnectedAt = -Infinity
  #lastAnswerAt = -Infinity
  #backoffMs = INITIAL_BACKOFF_MS

  constructor (options: ObjectWatchOptions) {
    this.#options = options
    this.#waitMs = options.waitMs ?? DEFAULT_WAIT_MS
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#abortController.abort()
  }

  /** Store revision up to which this watch has read changes; 0 before the first list. */
  get revision (): number {
    return this.#revision ?? 0
  }

  /** Epoch of the store to which `revision` belongs. */
  get epoch (): number {
    return this.#epoch
  }

  /** Returns the time since the last successful store call, in milliseconds; infinite before the first. */
  silenceMs (): number {
    return this.#options.clock.now() - this.#lastAnswerAt
  }

  protected get logger (): runtime.logging.Logger {
    return this.#options.logger
  }

  /** Returns true if this gateway has to list the objects although others watch on its behalf. Asked before the first list and after the store's history is gone. */
  protected isListNeeded (): boolean {
    return true
  }

  /** Applies a complete list of the objects. `afterOutage` is true if calls failed just before and had succeeded earlier, or the store came back from a backup. */
  protected abstract applyList (objects: platform.objectStore.StoreObject[], revision: number, afterOutage: boolean): void
  /** Applies changes in the order of the store. */
  protected abstract applyEvents (events: platform.objectStore.ObjectEvent[], revision: number): void

  async #run (): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      await this.#waitForWatchDuty()
      if (this.#epoch !== this.#options.store.epoch) this.#revision = undefined
      const failure = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision)
      if (failure === undefined) {
        this.#recordSuccess()
        if (this.#hadChanges) await this.#options.clock.sleep(EVENT_BATCH_DELAY_MS, this.#abortController.signal)
        continue
      }
      if (failure.status === 'history-gone') {
        this.#options.logger.info({ event: 'history-gone', kind: this.#options.kind, revision: this.#revision })
        this.#revision = undefined
        continue
      }
      this.#recordFailure(failure)
      await this.#options.clock.sleep(this.#backoffMs, this.#abortController.signal)
      this.#backoffMs = Math.min(MAXIMUM_BACKOFF_MS, this.#backoffMs * 2)
    }
  }

  /**
   * Waits while other gateways watch on behalf of this one. Changes made meanwhile arrive from those gateways. A change
   * that does not arrive is read later: the watch resumes at the last known revision, or a new list replaces it if the
   * store has dropped that history.
   */
  async #waitForWatchDuty (): Promise<void> {
    if (this.#revision === undefined && this.isListNeeded()) return
    for (let pauseMs = this.#options.pauseMs(); pauseMs > 0; pauseMs = this.#options.pauseMs()) {
      await this.#options.clock.sleep(pauseMs, this.#abortController.signal)
      if (this.#abortController.signal.aborted || (this.#revision === undefined && this.isListNeeded())) return
    }
  }

  async #list (): Promise<platform.objectStore.StoreFailure | undefined> {
    const outcome = await this.#options.store.list(this.#options.kind)
    if (outcome.status !== 'done') return outcome
    const isRestored = this.#epoch > 0 && this.#epoch !== this.#options.store.epoch
    this.#epoch = this.#options.store.epoch
    this.#revision = outcome.result.revision
    this.#hadChanges = false
    if (isRestored) this.logger.warn({ event: 'store-restored', kind: this.#options.kind, epoch: this.#epoch, revision: this.#revision })
    this.applyList(outcome.result.objects, outcome.result.revision, isRestored || (!this.#isConnected && this.#disconnectedAt > -Infinity))
    return undefined
  }

  async #watch (revision: number): Promise<platform.objectStore.StoreFailure | undefined> {
    const outcome = await this.#options.store.watch(this.#options.kind, revision, this.#waitMs)
    if (outcome.status !== 'done') return outcome
    // The events follow a revision of another history.
    if (this.#epoch !== this.#options.store.epoch) return undefined
    this.#revision = Math.max(revision, outcome.result.revision)
    this.#hadChanges = outcome.result.events.length > 0
    if (this.#hadChanges) this.applyEvents(outcome.result.events, this.#revision)
    return undefined
  }

  #recordSuccess (): void {
    this.#lastAnswerAt = this.#options.clock.now()
    this.#backoffMs = INITIAL_BACKOFF_MS
    if (this.#isConnected) return
    this.#isConnected = true
    this.#options.logger.info({ event: 'dependency-regained', dependency: 'store', kind: this.#options.kind, revision: this.#revision })
  }

  #recordFailure (failure: platform.objectStore.StoreFailure): void {
    if (!this.#isConnected) return
    this.#isConnected = false
    this.#disconnectedAt = this.#options.clock.now()
    this.#options.logger.warn({ event: 'dependency-lost', dependency: 'store', kind: this.#options.kind, step: failure.step, reason: failure.reason, revision: this.#revision })
  }
}
