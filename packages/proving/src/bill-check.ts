import * as decisions from '@acaciaweir/decisions'
import * as callers from './trace-caller.js'

/** What a target served for one request. */
export interface ServedRun {
  tokens: number
  /** The target was killed in the middle of it, so that nobody knows what it served. */
  cutByKill: boolean
}

/**
 * Whether a bill is right for what the caller and the target saw.
 * A bill equals what the target served. One of unknown outcome charges the whole reservation, and is right only where
 * nobody could tell: the call was never answered and its target kept no run of it, or the target was killed in the
 * middle of it and the caller got no whole answer.
 */
export function isRightBill (bill: decisions.journalTypes.Bill, run: ServedRun | undefined, request: Pick<callers.RequestReport, 'outcome' | 'tokens'>): boolean {
  const isUnknown = bill.outcome === decisions.journalTypes.BillOutcome.unknown
  if (run === undefined) return isUnknown
  const billed = bill.promptTokens + bill.completionTokens
  if (billed === run.tokens) return true
  const couldBeKnown = !run.cutByKill || request.outcome === callers.CallerOutcome.whole
  if (!isUnknown || couldBeKnown) return false
  return billed === request.tokens
}
