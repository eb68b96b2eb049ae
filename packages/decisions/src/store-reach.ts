/** Whether a router reaches the store, as told to other routers. Older routers tell nothing, which is `unknown`. */
export const ReachState = {
  /** The router has not called the store lately. */
  unknown: 0,
  reached: 1,
  /** The store answers again, but has failed to lately. */
  regained: 2,
  cutOff: 3
} as const
export type ReachState = typeof ReachState[keyof typeof ReachState]

/** Returns the state for a number that another router told; `unknown` for one of a later release. */
export function toReachState (told: number): ReachState {
  return Object.values(ReachState).find((state) => state === told) ?? ReachState.unknown
}

/** How a call to the store ended. `refused`: nothing was done, as the store turned the call away or couldn't be connected to. */
export const CallEnd = { answered: 'answered', refused: 'refused', unanswered: 'unanswered' } as const
export type CallEnd = typeof CallEnd[keyof typeof CallEnd]

/** Refused calls in a row after which a router counts as cut off. An overloaded store refuses some calls of every router. */
const REFUSALS_TO_CUT_OFF = 2

/** Time after the last failed call for which a router that is answered again ranks behind those that were never cut off, in milliseconds. */
const REGAINED_TIME_MS = 3000

/** Time after the last call for which its outcome tells something, in milliseconds. */
const EVIDENCE_TIME_MS = 5000

/** Judges, by the outcomes of a router's store calls, whether it reaches the store. */
export class StoreReach {
  #answeredAt = -Infinity
  #failedAt = -Infinity
  #cutOffAt = -Infinity
  #refusals = 0
  #isCutOff = false

  /** Records the end of a call. Returns true if the router is cut off since, or no longer is. */
  record (end: CallEnd, nowMs: number): boolean {
    const wasCutOff = this.#isCutOff
    if (end === CallEnd.answered) {
      this.#answeredAt = nowMs
      this.#refusals = 0
      this.#isCutOff = false
    } else {
      this.#failedAt = nowMs
      this.#refusals += 1
      this.#isCutOff ||= end === CallEnd.unanswered || this.#refusals >= REFUSALS_TO_CUT_OFF
      if (this.#isCutOff) this.#cutOffAt = nowMs
    }
    return wasCutOff !== this.#isCutOff
  }

  state (nowMs: number): ReachState {
    if (nowMs - Math.max(this.#answeredAt, this.#failedAt) > EVIDENCE_TIME_MS) return ReachState.unknown
    if (this.#isCutOff) return ReachState.cutOff
    if (nowMs - this.#cutOffAt < REGAINED_TIME_MS) return ReachState.regained
    return this.#answeredAt === -Infinity ? ReachState.unknown : ReachState.reached
  }
}

/** Returns false if routers are cut off from the store, and none is known to reach it. */
export function isReachable (reaches: readonly ReachState[]): boolean {
  return !reaches.includes(ReachState.cutOff) || reaches.some((reach) => reach === ReachState.reached || reach === ReachState.regained)
}
