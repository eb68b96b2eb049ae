import * as decisions from '@acaciaweir/decisions'
import * as callers from './trace-caller.js'

/** One run of a request on a target. */
export interface ServedRun {
  /** Tokens served. */
  tokens: number
  /** The target was killed during the run, so that the router cannot know how much it served. */
  cutByKill: boolean
}

/**
 * Checks a bill against the run on the target and the outcome at the caller.
 * A bill must equal the tokens served. A bill of unknown outcome charges the whole reservation. It is correct only if
 * the router could not know the outcome: the call was never answered and the target recorded no run, or the target was
 * killed during the run and the caller got no whole answer.
 */
export function isCorrectBill (bill: decisions.journalTypes.Bill, run: ServedRun | undefined, request: Pick<callers.RequestReport, 'outcome' | 'tokens'>): boolean {
  const isUnknown = bill.outcome === decisions.journalTypes.BillOutcome.unknown
  if (run === undefined) return isUnknown
  const billed = bill.promptTokens + bill.completionTokens
  if (billed === run.tokens) return true
  const isOutcomeKnowable = !run.cutByKill || request.outcome === callers.CallerOutcome.whole
  if (!isUnknown || isOutcomeKnowable) return false
  return billed === request.tokens
}
