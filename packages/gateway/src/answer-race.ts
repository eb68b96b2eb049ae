import type * as decisions from '@acaciaweir/decisions'
import type * as sendOutcomes from './send-outcome.js'

/** One send of a call to a target, until its answer has ended. */
export class SendInProgress {
  readonly target: decisions.agreementTypes.TargetEntry
  readonly #clock: decisions.clock.Clock
  readonly #maximumSilenceMs: number
  readonly #controller = new AbortController()
  #heardAt: number
  #isPaused = false
  #isOvertaken = false
  /** The silence in progress has been counted against the target. */
  isSilenceRecorded = false

  /** `maximumSilenceMs` is the silence after which another target may be asked as well. */
  constructor (target: decisions.agreementTypes.TargetEntry, clock: decisions.clock.Clock, maximumSilenceMs: number) {
    this.target = target
    this.#clock = clock
    this.#maximumSilenceMs = maximumSilenceMs
    this.#heardAt = clock.now()
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Another send has begun to answer the caller, or the call has ended. */
  get isOvertaken (): boolean {
    return this.#isOvertaken
  }

  /** Time until the target counts as silent, in milliseconds; negative if it does already. */
  get timeToSilenceMs (): number {
    return this.#isPaused ? this.#maximumSilenceMs : this.#heardAt + this.#maximumSilenceMs - this.#clock.now()
  }

  /** The target has sent bytes. */
  recordProgress (): void {
    this.#heardAt = this.#clock.now()
    this.isSilenceRecorded = false
  }

  /** Waits for the caller to read. The target is not read meanwhile, so that its silence does not count. */
  async waitForCaller (drained: Promise<void>): Promise<void> {
    this.#isPaused = true
    await drained
    this.#isPaused = false
    this.recordProgress()
  }

  abort (): void {
    this.#controller.abort()
  }

  overtake (): void {
    this.#isOvertaken = true
    this.abort()
  }
}

interface EndedSend {
  send: SendInProgress
  outcome: sendOutcomes.SendOutcome
}

/**
 * The sends of one call that are in progress. A target that falls silent keeps its send, since it may go on, while another one is asked too.
 * The first that answers the caller ends the others.
 */
export class AnswerRace {
  readonly #sends = new Map<SendInProgress, Promise<sendOutcomes.SendOutcome>>()

  get size (): number {
    return this.#sends.size
  }

  /** Sends in progress whose targets are silent. */
  get silentSends (): SendInProgress[] {
    return [...this.#sends.keys()].filter((send) => send.timeToSilenceMs <= 0)
  }

  /** Returns true if sends are in progress and none of them has made progress lately. */
  get isSilent (): boolean {
    return this.size > 0 && this.silentSends.length === this.size
  }

  add (send: SendInProgress, outcome: Promise<sendOutcomes.SendOutcome>): void {
    this.#sends.set(send, outcome)
    // A failure is thrown by `next`.
    outcome.catch(() => {})
  }

  /** Ends all other sends, as this one has something for the caller. Returns false if it has been overtaken itself. */
  claim (send: SendInProgress): boolean {
    if (send.isOvertaken) return false
    for (const other of this.#sends.keys()) {
      if (other !== send) other.overtake()
    }
    return true
  }

  /** Resolves with the outcome of the next send that ends, or with undefined after `maximumMs`. */
  async next (maximumMs: number): Promise<sendOutcomes.SendOutcome | undefined> {
    let timer: NodeJS.Timeout | undefined
    const contenders: Array<Promise<EndedSend | undefined>> = [...this.#sends].map(async ([send, outcome]) => ({ send, outcome: await outcome }))
    if (maximumMs !== Infinity) contenders.push(new Promise((resolve) => { timer = setTimeout(() => { resolve(undefined) }, maximumMs) }))
    const ended = await Promise.race(contenders)
    clearTimeout(timer)
    if (ended === undefined) return undefined
    this.#sends.delete(ended.send)
    return ended.outcome
  }

  /** Time until no send in progress has made progress lately, in milliseconds. */
  timeToSilenceMs (): number {
    return Math.max(0, ...[...this.#sends.keys()].map((send) => send.timeToSilenceMs))
  }

  /** Ends all sends. Resolves once their outcomes are recorded. */
  async end (): Promise<void> {
    for (const send of this.#sends.keys()) send.overtake()
    await Promise.allSettled(this.#sends.values())
  }
}
