/** Limits on the retries of the whole fleet. */
export interface RetryBudget {
  /** Retries allowed per request. */
  ratio: number
  /** Retries that all routers together may make in a window in addition to the ratio. */
  slack: number
  windowMs: number
}

/** Share of the allowance that a router uses. The rest absorbs retries that other routers count in a different window. */
const USABLE_SHARE = 0.8

/** Monotonic times of the requests and retries of one service. */
interface ServiceHistory {
  requestTimes: number[]
  retryTimes: number[]
}

/**
 * Enforces this router's part of the fleet's retry budget. Each router may retry in proportion to its own requests and
 * gets an equal part of the slack, so routers need no coordination. Limits retries when targets fail or are overloaded,
 * where unbounded retries multiply the load.
 */
export class RetryAllowance {
  #budget: RetryBudget
  readonly #services = new Map<string, ServiceHistory>()

  constructor (budget: RetryBudget) {
    this.#budget = budget
  }

  /** Replaces the budget; requests and retries counted so far stay. */
  setBudget (budget: RetryBudget): void {
    this.#budget = budget
  }

  /** Counts a caller's request for a service. */
  recordRequest (service: string, now: number): void {
    this.#history(service).requestTimes.push(now)
  }

  /** Counts a retry and returns true, or returns false if the allowance is exhausted. `routers` is the size of the fleet. */
  tryConsumeRetry (service: string, routers: number, now: number): boolean {
    if (!this.hasRetry(service, routers, now)) return false
    this.#history(service).retryTimes.push(now)
    return true
  }

  /** Returns true if a retry is allowed, without counting one. */
  hasRetry (service: string, routers: number, now: number): boolean {
    const history = this.#history(service)
    this.#dropExpired(history, now)
    const allowed = USABLE_SHARE * (history.requestTimes.length * this.#budget.ratio + this.#budget.slack / Math.max(1, routers))
    return history.retryTimes.length + 1 <= allowed
  }

  #dropExpired (history: ServiceHistory, now: number): void {
    const windowStart = now - this.#budget.windowMs
    history.requestTimes = history.requestTimes.filter((at) => at > windowStart)
    history.retryTimes = history.retryTimes.filter((at) => at > windowStart)
  }

  #history (service: string): ServiceHistory {
    let history = this.#services.get(service)
    if (history === undefined) {
      history = { requestTimes: [], retryTimes: [] }
      this.#services.set(service, history)
    }
    return history
  }
}
