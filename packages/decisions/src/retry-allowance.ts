/** Bounds on repeats that all routers share. */
export interface RetryBudget {
  /** Repeats allowed for each request. */
  ratio: number
  /** Repeats allowed beyond the ratio, by all routers together within a window. */
  slack: number
  windowMs: number
}

/** Part of the shared allowance that is used; the rest covers repeats that were counted in another window elsewhere. */
const USED_SHARE = 0.8

interface WindowCount {
  requests: number[]
  repeats: number[]
}

/**
 * Divides the fleet's retry budget without talking: each router may repeat in proportion to its own requests and to
 * its share of the slack. Answers overload and failing targets, where unbounded retries multiply the load.
 */
export class RetryAllowance {
  #budget: RetryBudget
  readonly #services = new Map<string, WindowCount>()

  constructor (budget: RetryBudget) {
    this.#budget = budget
  }

  /** Takes changed bounds. */
  use (budget: RetryBudget): void {
    this.#budget = budget
  }

  /** Notes a caller's request for a service. */
  noteRequest (service: string, now: number): void {
    this.#count(service).requests.push(now)
  }

  /** Takes one repeat from the allowance, or returns false where it is used up. */
  tryRepeat (service: string, routers: number, now: number): boolean {
    const count = this.#count(service)
    this.#forgetOld(count, now)
    const allowed = USED_SHARE * (count.requests.length * this.#budget.ratio + this.#budget.slack / Math.max(1, routers))
    if (count.repeats.length + 1 > allowed) return false
    count.repeats.push(now)
    return true
  }

  #forgetOld (count: WindowCount, now: number): void {
    const start = now - this.#budget.windowMs
    count.requests = count.requests.filter((at) => at > start)
    count.repeats = count.repeats.filter((at) => at > start)
  }

  #count (service: string): WindowCount {
    let count = this.#services.get(service)
    if (count === undefined) {
      count = { requests: [], repeats: [] }
      this.#services.set(service, count)
    }
    return count
  }
}
