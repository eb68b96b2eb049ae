/**
 * The durable account of prepaid budgets: tokens drawn by all routers together. A router draws before it spends and
 * returns what it does not need; what a dead router had drawn stays drawn, so no crash can lead to overspending.
 */
export interface TokenPage {
  /** Highest version of the agreement whose totals were entered. */
  version: number
  /** Prepaid total of each account. Unit: tokens. */
  totals: Record<string, number>
  /** Drawn and not returned, of each account. Unit: tokens. */
  drawn: Record<string, number>
  /** Number of the last change of each router's incarnation. Tells after a lost answer whether the change took effect. */
  changes: Record<string, number>
}

/** Tokens that a router wants to draw (positive) or returns (negative), by account. */
export type TokenChanges = ReadonlyMap<string, number>

/** A changed page, and what was truly drawn or returned. */
export interface ChangedPage {
  page: TokenPage
  applied: Map<string, number>
}

/** The page before anything was drawn. */
export function emptyPage (): TokenPage {
  return { version: 0, totals: {}, drawn: {}, changes: {} }
}

/** Enters the totals of a newer agreement. An older or equal one changes nothing. */
export function withTotals (page: TokenPage, version: number, totals: Record<string, number>): TokenPage {
  return version > page.version ? { ...page, version, totals } : page
}

/** Tokens that may still be drawn. Negative where a total was lowered below what is drawn. */
export function remainingTokens (page: TokenPage, account: string): number {
  return (page.totals[account] ?? 0) - (page.drawn[account] ?? 0)
}

/** Applies a router's change and numbers it. Draws are cut to what remains. */
export function change (page: TokenPage, incarnation: string, changeNumber: number, wanted: TokenChanges): ChangedPage {
  const applied = new Map<string, number>()
  const drawn = { ...page.drawn }
  for (const [account, tokens] of wanted) {
    const present = drawn[account] ?? 0
    const delta = tokens > 0
      ? Math.min(tokens, Math.max(0, remainingTokens(page, account)))
      : Math.max(tokens, -present)
    if (delta === 0) continue
    drawn[account] = present + delta
    applied.set(account, delta)
  }
  return { page: { ...page, drawn, changes: { ...page.changes, [incarnation]: changeNumber } }, applied }
}
