import type * as types from './ledger-types.js'

/** What a router holds of one budget for one client account. Unit: tokens. */
export interface Holding {
  granted: number
  returned: number
  spent: number
  reserved: number
  drawRate: number
  drawnAt: number
}

/** Names one client account's share of one budget. */
export interface HoldingKey {
  budget: string
  account: string
}

/** Tokens of a request set aside until its true cost is known. */
export interface Reservation extends HoldingKey {
  requestId: string
  tokens: number
}

/** How much a router draws ahead of demand. */
export interface AllotmentPolicy {
  /** Time of drawing that an allotment covers without the platform, in seconds. */
  horizonSeconds: number
  /** Largest share of what a page has left that one grant may take. */
  shareOfRemaining: number
  /** Smallest grant worth a page update, in tokens. */
  minimumTokens: number
}

/** Time constant of the draw rate's moving average, in seconds. */
const DRAW_RATE_WINDOW_SECONDS = 10

/** The allotment that one incarnation holds, and what it has done with it. */
export class AllotmentBook {
  readonly #holdings = new Map<string, Map<string, Holding>>()
  readonly #reservations = new Map<string, Reservation>()

  /** Tokens that can be reserved now. */
  free (key: HoldingKey): number {
    const holding = this.#holding(key)
    return holding.granted - holding.returned - holding.spent - holding.reserved
  }

  /** Sets tokens aside for a request, or returns undefined when they do not fit. */
  reserve (key: HoldingKey, requestId: string, tokens: number): Reservation | undefined {
    if (this.#reservations.has(requestId)) return undefined
    if (tokens > this.free(key)) return undefined
    const reservation = { ...key, requestId, tokens }
    this.#reservations.set(requestId, reservation)
    this.#holding(key).reserved += tokens
    return reservation
  }

  /** Ends a reservation with the tokens that were truly served; 0 where the request did not run. */
  settle (requestId: string, servedTokens: number, nowSeconds: number): void {
    const reservation = this.#reservations.get(requestId)
    if (reservation === undefined) return
    this.#reservations.delete(requestId)
    const holding = this.#holding(reservation)
    holding.reserved -= reservation.tokens
    holding.spent += servedTokens
    updateDrawRate(holding, servedTokens, nowSeconds)
  }

  /** Takes the cumulative counters that the page shows for this incarnation. */
  adopt (key: HoldingKey, counters: types.GrantCounters): void {
    const holding = this.#holding(key)
    holding.granted = Math.max(holding.granted, counters.granted)
    holding.returned = Math.max(holding.returned, counters.returned)
  }

  /** Gives up free tokens before the page is told, so that they cannot be reserved meanwhile. Returns the cumulative counter. */
  release (key: HoldingKey, tokens: number): number {
    const holding = this.#holding(key)
    holding.returned += Math.max(0, Math.min(tokens, this.free(key)))
    return holding.returned
  }

  /** Tokens to ask the page for, so that `needed` fits and the horizon's drawing is covered. */
  wanted (key: HoldingKey, needed: number, pageRemaining: number, policy: AllotmentPolicy): number {
    const holding = this.#holding(key)
    const horizon = Math.ceil(holding.drawRate * policy.horizonSeconds)
    const ahead = Math.max(policy.minimumTokens, horizon)
    const shared = Math.floor(pageRemaining * policy.shareOfRemaining)
    const lacking = needed - this.free(key)
    return Math.max(lacking, Math.min(ahead, shared))
  }

  /** Tokens below which a refill is due, before any request has to wait for it. */
  refillThreshold (key: HoldingKey, policy: AllotmentPolicy): number {
    const horizon = this.#holding(key).drawRate * policy.horizonSeconds
    return Math.max(policy.minimumTokens, horizon) / 2
  }

  /** Every holding, for reports, hand-back and metrics. */
  * entries (): IterableIterator<[HoldingKey, Readonly<Holding>]> {
    for (const [budget, accounts] of this.#holdings) {
      for (const [account, holding] of accounts) yield [{ budget, account }, holding]
    }
  }

  /** Requests that hold a reservation now. */
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
      holding = { granted: 0, returned: 0, spent: 0, reserved: 0, drawRate: 0, drawnAt: 0 }
      accounts.set(key.account, holding)
    }
    return holding
  }
}

function updateDrawRate (holding: Holding, tokens: number, nowSeconds: number): void {
  const elapsed = Math.max(0, nowSeconds - holding.drawnAt)
  const decay = Math.exp(-elapsed / DRAW_RATE_WINDOW_SECONDS)
  holding.drawRate = holding.drawRate * decay + tokens / DRAW_RATE_WINDOW_SECONDS
  holding.drawnAt = nowSeconds
}
