import type * as types from './ledger-types.js'

/**
 * Local balance of one client account in one budget. Unit: tokens.
 * `granted`, `returned` and `spent` are cumulative; `reserved` is the sum of the open reservations.
 */
export interface Holding {
  granted: number
  returned: number
  spent: number
  reserved: number
  /** Moving average of the spending, in tokens per second, as of `rateUpdatedAt`. */
  tokensPerSecond: number
  /** Time of the last update of `tokensPerSecond`, in seconds. */
  rateUpdatedAt: number
}

/** Identifies a holding: one client account in one budget. */
export interface HoldingKey {
  budget: string
  account: string
}

/** Tokens set aside for a request until its actual cost is known. */
export interface Reservation extends HoldingKey {
  requestId: string
  tokens: number
}

/** How many tokens a router requests from a ledger page ahead of demand. */
export interface AllotmentPolicy {
  /** How long an allotment lasts at the present spending rate without the platform, in seconds. */
  horizonSeconds: number
  /** Largest fraction of a page's remaining tokens that one refill may request ahead of demand. */
  shareOfRemaining: number
  /** Smallest refill that justifies a page update, in tokens. */
  minimumTokens: number
}

/** Time constant of the spending rate's exponential moving average, in seconds. */
const RATE_TIME_CONSTANT_SECONDS = 10

/**
 * Tracks the allotment of one incarnation: the tokens that ledger pages have granted to it in advance (an escrow lease),
 * and how many of them it has reserved, spent and returned.
 */
export class AllotmentTracker {
  readonly #holdings = new Map<string, Map<string, Holding>>()
  readonly #reservations = new Map<string, Reservation>()

  /** Tokens that can be reserved now. */
  freeTokens (key: HoldingKey): number {
    const holding = this.#holding(key)
    return holding.granted - holding.returned - holding.spent - holding.reserved
  }

  /** Reserves tokens for a request. Returns undefined if they exceed the free tokens or the request holds a reservation already. */
  reserve (key: HoldingKey, requestId: string, tokens: number): Reservation | undefined {
    if (this.#reservations.has(requestId)) return undefined
    if (tokens > this.freeTokens(key)) return undefined
    const reservation = { ...key, requestId, tokens }
    this.#reservations.set(requestId, reservation)
    this.#holding(key).reserved += tokens
    return reservation
  }

  /** Closes a reservation and charges the tokens that were served; 0 if the request did not run. Ignores requests without a reservation. */
  settle (requestId: string, servedTokens: number, nowSeconds: number): void {
    const reservation = this.#reservations.get(requestId)
    if (reservation === undefined) return
    this.#reservations.delete(requestId)
    const holding = this.#holding(reservation)
    holding.reserved -= reservation.tokens
    holding.spent += servedTokens
    updateSpendingRate(holding, servedTokens, nowSeconds)
  }

  /** Merges the cumulative counters that the page records for this incarnation. The higher value of each counter wins. */
  mergeCounters (key: HoldingKey, counters: types.GrantCounters): void {
    const holding = this.#holding(key)
    holding.granted = Math.max(holding.granted, counters.granted)
    holding.returned = Math.max(holding.returned, counters.returned)
  }

  /**
   * Marks up to `tokens` free tokens as returned, before the page is updated, so that no request reserves them meanwhile.
   * Returns the cumulative counter `returned` for the page.
   */
  markReturned (key: HoldingKey, tokens: number): number {
    const holding = this.#holding(key)
    holding.returned += Math.max(0, Math.min(tokens, this.freeTokens(key)))
    return holding.returned
  }

  /**
   * Returns the tokens to request from the page: enough for `needed`, and for the spending of `policy.horizonSeconds`
   * as far as `policy.shareOfRemaining` allows.
   */
  refillSize (key: HoldingKey, needed: number, pageRemaining: number, policy: AllotmentPolicy): number {
    const holding = this.#holding(key)
    const expectedSpending = Math.ceil(holding.tokensPerSecond * policy.horizonSeconds)
    const aheadOfDemand = Math.max(policy.minimumTokens, expectedSpending)
    const maximumAhead = Math.floor(pageRemaining * policy.shareOfRemaining)
    const shortfall = needed - this.freeTokens(key)
    return Math.max(shortfall, Math.min(aheadOfDemand, maximumAhead))
  }

  /** Returns the number of free tokens below which to refill, so that the refill ends before requests have to wait for it. */
  refillThreshold (key: HoldingKey, policy: AllotmentPolicy): number {
    const expectedSpending = this.#holding(key).tokensPerSecond * policy.horizonSeconds
    return Math.max(policy.minimumTokens, expectedSpending) / 2
  }

  /** Iterates over all holdings; used to return tokens at shutdown and for reports and metrics. */
  * entries (): IterableIterator<[HoldingKey, Readonly<Holding>]> {
    for (const [budget, accounts] of this.#holdings) {
      for (const [account, holding] of accounts) yield [{ budget, account }, holding]
    }
  }

  /** Number of open reservations. */
  get openReservations (): number {
    return this.#reservations.size
  }

  #holding (key: HoldingKey): Holding {
    let accounts = this.#holdings.get(key.budget)
    if (accounts === undefined) {
      accounts = new Map()
      this.#holdings.set(key.budget, accounts)
    }
    let holding = accounts.get(key.account)
    if (holding === undefined) {
      holding = { granted: 0, returned: 0, spent: 0, reserved: 0, tokensPerSecond: 0, rateUpdatedAt: 0 }
      accounts.set(key.account, holding)
    }
    return holding
  }
}

function updateSpendingRate (holding: Holding, tokens: number, nowSeconds: number): void {
  const elapsed = Math.max(0, nowSeconds - holding.rateUpdatedAt)
  const decay = Math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
  holding.tokensPerSecond = holding.tokensPerSecond * decay + tokens / RATE_TIME_CONSTANT_SECONDS
  holding.rateUpdatedAt = nowSeconds
}
