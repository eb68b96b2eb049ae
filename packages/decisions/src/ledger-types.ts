/** Identifies one start of a router process. Never reused. */
export type IncarnationId = string

/** Tokens per client account. */
export type TokensByAccount = Record<string, number>

/** Cumulative counters of the tokens granted to, and returned by, one incarnation for one client account. Unit: tokens. */
export interface GrantCounters {
  granted: number
  returned: number
}

/** Limits of one budget: its total and the cap of each client account. They come from one configuration generation. Unit: tokens. */
export interface BudgetLimits {
  generation: number
  totalTokens: number
  capTokens: TokensByAccount
}

/** Durable escrow ledger of one budget: one object in the platform, changed only by conditional updates. */
export interface LedgerPage {
  budget: string
  limits: BudgetLimits
  /** Tokens spent by incarnations that have ended and were folded (compacted) into the page. */
  foldedSpent: TokensByAccount
  /** Counters by incarnation, then by client account. */
  incarnations: Record<IncarnationId, Record<string, GrantCounters>>
}

/** The page after a grant and the number of tokens granted, which may be less than requested. */
export interface GrantResult {
  page: LedgerPage
  granted: number
}
