import type * as types from './ledger-types.js'

/** Creates the page of a budget from which no tokens have been drawn. */
export function emptyPage (budget: string, limits: types.BudgetLimits): types.LedgerPage {
  return { budget, limits, foldedSpent: {}, incarnations: {} }
}

/** Replaces the limits if their generation is higher. Otherwise returns the same page. */
export function withLimits (page: types.LedgerPage, limits: types.BudgetLimits): types.LedgerPage {
  if (limits.generation <= page.limits.generation) return page
  return { ...page, limits }
}

/** Returns the tokens that a client account has drawn and not returned, summed over all incarnations. Spent tokens are included. */
export function drawnByAccount (page: types.LedgerPage, account: string): number {
  let drawn = page.foldedSpent[account] ?? 0
  for (const counters of Object.values(page.incarnations)) {
    const accountCounters = counters[account]
    if (accountCounters === undefined) continue
    drawn += accountCounters.granted - accountCounters.returned
  }
  return drawn
}

/** Returns the tokens drawn from the budget and not returned, summed over all client accounts. */
export function totalDrawn (page: types.LedgerPage): number {
  const accounts = new Set(Object.keys(page.foldedSpent))
  for (const counters of Object.values(page.incarnations)) {
    for (const account of Object.keys(counters)) accounts.add(account)
  }
  let drawn = 0
  for (const account of accounts) drawn += drawnByAccount(page, account)
  return drawn
}

/** Returns the tokens that can still be granted to a client account; never negative. */
export function availableTokens (page: types.LedgerPage, account: string): number {
  return Math.max(0, Math.min(remainingUnderCap(page, account), remainingUnderTotal(page)))
}

/** Returns the tokens left under a client account's cap; negative if the cap was lowered below what is drawn. */
export function remainingUnderCap (page: types.LedgerPage, account: string): number {
  return (page.limits.capTokens[account] ?? 0) - drawnByAccount(page, account)
}

/** Returns the tokens left under the budget's total; negative if the total was lowered below what is drawn. */
export function remainingUnderTotal (page: types.LedgerPage): number {
  return page.limits.totalTokens - totalDrawn(page)
}

/** Grants up to `wanted` tokens to an incarnation, limited by the account's cap and the budget's total. */
export function grant (page: types.LedgerPage, incarnation: string, account: string, wanted: number): types.GrantResult {
  const granted = Math.min(wanted, availableTokens(page, account))
  if (granted <= 0) return { page, granted: 0 }
  const counters = grantCounters(page, incarnation, account)
  return {
    page: withCounters(page, incarnation, account, { ...counters, granted: counters.granted + granted }),
    granted
  }
}

/**
 * Raises an incarnation's cumulative counter `returned` to `returnedInTotal`, at most to what was granted.
 * Idempotent: a value at or below the stored one changes nothing.
 */
export function recordReturn (page: types.LedgerPage, incarnation: string, account: string, returnedInTotal: number): types.LedgerPage {
  const counters = grantCounters(page, incarnation, account)
  if (returnedInTotal <= counters.returned) return page
  const returned = Math.min(returnedInTotal, counters.granted)
  return withCounters(page, incarnation, account, { ...counters, returned })
}

/**
 * Folds (compacts) an ended incarnation: removes its counters and adds its spent tokens to `foldedSpent`.
 * Idempotent: nothing changes if the page does not list the incarnation.
 */
export function foldIncarnation (page: types.LedgerPage, incarnation: string, spent: types.TokensByAccount): types.LedgerPage {
  if (page.incarnations[incarnation] === undefined) return page
  const foldedSpent = { ...page.foldedSpent }
  for (const [account, tokens] of Object.entries(spent)) {
    foldedSpent[account] = (foldedSpent[account] ?? 0) + tokens
  }
  const incarnations = { ...page.incarnations }
  delete incarnations[incarnation]
  return { ...page, foldedSpent, incarnations }
}

/** Returns the counters of one incarnation for one client account; zeros if it has drawn nothing. */
export function grantCounters (page: types.LedgerPage, incarnation: string, account: string): types.GrantCounters {
  return page.incarnations[incarnation]?.[account] ?? { granted: 0, returned: 0 }
}

function withCounters (page: types.LedgerPage, incarnation: string, account: string, counters: types.GrantCounters): types.LedgerPage {
  const byAccount = { ...page.incarnations[incarnation], [account]: counters }
  return { ...page, incarnations: { ...page.incarnations, [incarnation]: byAccount } }
}
