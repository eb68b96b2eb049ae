/**
 * Durable escrow ledger of the prepaid budgets: the tokens drawn by all routers together. A router draws tokens before
 * it spends them and returns those it does not need. Tokens drawn by a crashed router stay drawn, so a crash cannot cause
 * overspending.
 */
export interface TokenPage {
  /** Highest version of an agreement whose totals were applied. */
  version: number
  /** Prepaid total by account. Unit: tokens. */
  totals: Record<string, number>
  /** Tokens drawn and not returned, by account. */
  drawn: Record<string, number>
  /** Number of the last change by router incarnation. After a lost reply, it shows whether the change was applied. */
  changes: Record<string, number>
}

/** Tokens to draw (positive) or to return (negative), by account. */
export type TokenChanges = ReadonlyMap<string, number>

/** The page after a change. */
export interface ChangeResult {
  page: TokenPage
  /** Tokens that were actually drawn (positive) or returned (negative), by account; accounts without a change are missing. */
  applied: Map<string, number>
}

/** Creates a page from which no tokens have been drawn. */
export function emptyPage (): TokenPage {
  return { version: 0, totals: {}, drawn: {}, changes: {} }
}

/** Replaces the totals if the agreement's version is higher. Otherwise returns the same page. */
export function withTotals (page: TokenPage, version: number, totals: Record<string, number>): TokenPage {
  return version > page.version ? { ...page, version, totals } : page
}

/** Returns the tokens that can still be drawn; negative if the total was lowered below what is drawn. */
export function remainingTokens (page: TokenPage, account: string): number {
  return (page.totals[account] ?? 0) - (page.drawn[account] ?? 0)
}

/** Applies a router's changes and stores their number. Limits draws to the remaining tokens and returns to the drawn ones. */
export function applyChanges (page: TokenPage, incarnation: string, changeNumber: number, requested: TokenChanges): ChangeResult {
  const applied = new Map<string, number>()
  const drawn = { ...page.drawn }
  for (const [account, tokens] of requested) {
    const alreadyDrawn = drawn[account] ?? 0
    const delta = tokens > 0
      ? Math.min(tokens, Math.max(0, remainingTokens(page, account)))
      : Math.max(tokens, -alreadyDrawn)
    if (delta === 0) continue
    drawn[account] = alreadyDrawn + delta
    applied.set(account, delta)
  }
  return { page: { ...page, drawn, changes: { ...page.changes, [incarnation]: changeNumber } }, applied }
}
