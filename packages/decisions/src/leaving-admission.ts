/** Span of one of the two windows for which durations are kept, in milliseconds. */
const WINDOW_MS = 30_000

/** Finished requests of a kind from which its longest duration is taken as typical. */
const MINIMUM_SAMPLES = 5

/** Multiple of the longest recent duration of a kind that a request of that kind may take. */
const DURATION_MARGIN = 2

/** Time after the start of leaving from which only requests are taken that end in time for sure, in milliseconds. Most callers have moved by then. */
const CERTAINTY_DELAY_MS = 2500

interface Durations {
  longestMs: number
  samples: number
}

/**
 * Decides which requests a host takes while it is leaving: those that end before it stops. Answers the load pattern of callers that
 * keep an old address and send work that lasts longer than what is left of the grace period. A refused caller reaches another host at
 * once, while work that is cut off is lost.
 */
export class LeavingAdmission {
  /** Durations by kind of request, in the window in progress and in the one before. */
  #current = new Map<string, Durations>()
  #previous = new Map<string, Durations>()
  #windowStartedAt = -Infinity
  #startedAt: number | undefined
  #stopAt = Infinity

  /** Keeps how long a request took from its arrival to its end, in milliseconds. */
  recordDuration (kind: string, milliseconds: number, now: number): void {
    this.#rotate(now)
    const durations = this.#current.get(kind) ?? { longestMs: 0, samples: 0 }
    this.#current.set(kind, { longestMs: Math.max(durations.longestMs, milliseconds), samples: durations.samples + 1 })
  }

  /** Starts to leave. Work that lasts beyond `stopAt` is cut off. */
  startLeaving (now: number, stopAt: number): void {
    this.#startedAt = now
    this.#stopAt = stopAt
  }

  /** Takes no more requests. */
  refuseAll (): void {
    this.#stopAt = -Infinity
  }

  /** Returns whether a request may start now. `limitMs` is the most time that it has left. */
  mayStart (kind: string, limitMs: number, now: number): boolean {
    if (this.#startedAt === undefined) return true
    const leftMs = this.#stopAt - now
    if (limitMs <= leftMs) return true
    return now - this.#startedAt < CERTAINTY_DELAY_MS && this.#expectedMs(kind, now) <= leftMs
  }

  /** Returns the time that a request of a kind may take, in milliseconds; Infinity if too few have ended recently. */
  #expectedMs (kind: string, now: number): number {
    this.#rotate(now)
    const known = [this.#current.get(kind), this.#previous.get(kind)].filter((durations) => durations !== undefined)
    if (known.reduce((sum, { samples }) => sum + samples, 0) < MINIMUM_SAMPLES) return Infinity
    return DURATION_MARGIN * Math.max(...known.map(({ longestMs }) => longestMs))
  }

  #rotate (now: number): void {
    if (now - this.#windowStartedAt < WINDOW_MS) return
    this.#previous = now - this.#windowStartedAt < 2 * WINDOW_MS ? this.#current : new Map()
    this.#current = new Map()
    this.#windowStartedAt = now
  }
}
