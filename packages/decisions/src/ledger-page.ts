import type * as types from './ledger-types.js'

/** Creates the page of a budget nobody has drawn on yet. */
export function emptyPage (budget: string, limits: types.BudgetLimits): types.LedgerPage {
  return { budget, limits, foldedSpent: {}, incarnations: {} }
}

/** Takes the limits of a higher generation; a lower or equal generation changes nothing. */
export function withLimits (page: types.LedgerPage, limits: types.BudgetLimits): types.LedgerPage {
  if (limits.generation <= page.limits.generation) return page
  return { ...page, limits }
}

/** Tokens drawn by a client account and not returned, over all incarnations, spent ones included. */
export function drawnByAccount (page: types.LedgerPage, account: string): number {
  let drawn = page.foldedSpent[account] ?? 0
  for (const counters of Object.values(page.incarnations)) {
    const own = counters[account]
    if (own === undefined) continue
    drawn += own.granted - own.returned
  }
  return drawn
}

/** Tokens drawn from the whole budget and not returned. */
export function drawnInTotal (page: types.LedgerPage): number {
  const accounts = new Set(Object.keys(page.foldedSpent))
  for (const counters of Object.values(page.incarnations)) {
    for (const account of Object.keys(counters)) accounts.add(account)
  }
  let drawn = 0
  for (const account of accounts) drawn += drawnByAccount(page, account)
  return drawn
}

/** Tokens that may still be granted to a client account. Never negative. */
export function availableTokens (page: types.LedgerPage, account: string): number {
  return Math.max(0, Math.min(tokensUnderCap(page, account), tokensUnderTotal(page)))
}

/** Tokens that a client account's cap leaves. Negative where the cap was lowered below what is drawn. */
export function tokensUnderCap (page: types.LedgerPage, account: string): number {
  return (page.limits.capTokens[account] ?? 0) - drawnByAccount(page, account)
}

/** Tokens that the budget's total leaves. Negative where the total was lowered below what is drawn. */
export function tokensUnderTotal (page: types.LedgerPage): number {
  return page.limits.totalTokens - drawnInTotal(page)
}

/** Grants up to `wanted` tokens to an incarnation. */
export function grant (page: types.LedgerPage, incarnation: string, account: string, wanted: number): types.GrantResult {
  const granted = Math.min(wanted, availableTokens(page, account))
  if (granted <= 0) return { page, granted: 0 }
  const counters = countersOf(page, incarnation, account)
  return {
    page: withCounters(page, incarnation, account, { ...counters, granted: counters.granted + granted }),
    granted
  }
}

/**
 * Raises an incarnation's cumulative `returned` counter.
 * Safe to repeat: a value at or below the recorded one changes nothing.
 */
export function giveBack (page: types.LedgerPage, incarnation: string, account: string, returnedInTotal: number): types.LedgerPage {
  const counters = countersOf(page, incarnation, account)
  if (returnedInTotal <= counters.returned) return page
  const returned = Math.min(returnedInTotal, counters.granted)
  return withCounters(page, incarnation, account, { ...counters, returned })
}

/**
 * Replaces the counters of an ended incarnation by what it spent.
 * Safe to repeat: an incarnation that the page no longer lists changes nothing.
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

/** Counters of one incarnation for one client account; zeros where it has drawn nothing. */
export function countersOf (page: types.LedgerPage, incarnation: string, account: string): types.GrantCounters {
  return page.incarnations[incarnation]?.[account] ?? { granted: 0, returned: 0 }
}

function withCounters (page: types.LedgerPage, incarnation: string, account: string, counters: types.GrantCounters): types.LedgerPage {
  const own = { ...page.incarnations[incarnation], [account]: counters }
  return { ...page, incarnations: { ...page.incarnations, [incarnation]: own } }
}
