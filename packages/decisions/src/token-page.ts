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
  /** Epoch of the store for which the page was written. Missing after a write of a release that doesn't know epochs. */
  storeEpoch?: number
  /** What the incarnations that wrote last have drawn, included in `drawn`. Shows which draws the page lacks after the store came back from a backup. */
  drawnBy?: Record<string, IncarnationDraws>
}

/** Tokens that one router incarnation has drawn and not returned. */
export interface IncarnationDraws {
  /** Number of the incarnation's change after which it had drawn this. Of two states, the one with the higher number is newer. */
  change: number
  /** Tokens by account. Negative if the incarnation returned tokens that others had drawn. */
  tokens: Record<string, number>
}

/** Incarnations whose draws the page lists. The draws of others stay in the sum only. */
const MAXIMUM_LISTED_INCARNATIONS = 64

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

/**
 * Applies a router's changes and stores their number, together with what the router has drawn after them (`own` before them). Limits draws
 * to the remaining tokens and returns to the drawn ones.
 */
export function applyChanges (page: TokenPage, incarnation: string, changeNumber: number, requested: TokenChanges, own: Readonly<Record<string, number>>): ChangeResult {
  const applied = new Map<string, number>()
  const drawn = { ...page.drawn }
  const ownTokens = { ...own }
  for (const [account, tokens] of requested) {
    const alreadyDrawn = drawn[account] ?? 0
    const delta = tokens > 0
      ? Math.min(tokens, Math.max(0, remainingTokens(page, account)))
      : Math.max(tokens, -alreadyDrawn)
    if (delta === 0) continue
    drawn[account] = alreadyDrawn + delta
    ownTokens[account] = (ownTokens[account] ?? 0) + delta
    applied.set(account, delta)
  }
  const drawnBy = listLast(page.drawnBy ?? {}, incarnation, { change: changeNumber, tokens: ownTokens })
  return { page: { ...page, drawn, drawnBy, changes: { ...page.changes, [incarnation]: changeNumber } }, applied }
}

/** Returns the page with the known draws that it lacks; the same page if it lacks none. */
export function withKnownDraws (page: TokenPage, known: ReadonlyMap<string, IncarnationDraws>): TokenPage {
  const recorded = page.drawnBy ?? {}
  const missing = [...known].filter(([incarnation, { change }]) => change > (recorded[incarnation]?.change ?? -1))
  if (missing.length === 0) return page
  const drawn = { ...page.drawn }
  let drawnBy = recorded
  for (const [incarnation, draws] of missing) {
    const before = recorded[incarnation]?.tokens ?? {}
    for (const account of new Set([...Object.keys(before), ...Object.keys(draws.tokens)])) {
      drawn[account] = Math.max(0, (drawn[account] ?? 0) + (draws.tokens[account] ?? 0) - (before[account] ?? 0))
    }
    drawnBy = listLast(drawnBy, incarnation, draws)
  }
  return { ...page, drawn, drawnBy }
}

/** Returns the page with a share of all remaining tokens counted as drawn. */
export function withReserve (page: TokenPage, share: number): TokenPage {
  const drawn = { ...page.drawn }
  for (const account of Object.keys(page.totals)) drawn[account] = (drawn[account] ?? 0) + Math.ceil(Math.max(0, remainingTokens(page, account)) * share)
  return { ...page, drawn }
}

function listLast (drawnBy: Record<string, IncarnationDraws>, incarnation: string, draws: IncarnationDraws): Record<string, IncarnationDraws> {
  const others = Object.entries(drawnBy).filter(([name]) => name !== incarnation)
  return Object.fromEntries([...others.slice(1 - MAXIMUM_LISTED_INCARNATIONS), [incarnation, draws]])
}
