/** Identifies one start of one router process; never used again. */
export type IncarnationId = string

/** Tokens per client account. */
export type TokensByAccount = Record<string, number>

/** Cumulative counters of what one incarnation drew for one client account. Unit: tokens. */
export interface GrantCounters {
  granted: number
  returned: number
}

/** The limits of one budget, taken from one configuration generation. Unit: tokens. */
export interface BudgetLimits {
  generation: number
  totalTokens: number
  capTokens: TokensByAccount
}

/** The durable account of one budget, kept in the platform and changed by conditional update. */
export interface LedgerPage {
  budget: string
  limits: BudgetLimits
  foldedSpent: TokensByAccount
  incarnations: Record<IncarnationId, Record<string, GrantCounters>>
}

/** Result of asking a page for tokens. `granted` may be less than was wanted. */
export interface GrantResult {
  page: LedgerPage
  granted: number
}
