import * as pattern from 'ts-pattern'

/** How far a failed dispatch is known to have progressed. */
export const DispatchKnowledge = { neverSent: 'never-sent', sentNoAnswer: 'sent-no-answer', partOfAnswer: 'part-of-answer' } as const
export type DispatchKnowledge = typeof DispatchKnowledge[keyof typeof DispatchKnowledge]

/** Action after a failed dispatch: retry at another target, resume the answer, or report the outcome as unknown. */
export const RetryAction = { moveToOther: 'move-to-other', resume: 'resume', reportUnknown: 'report-unknown' } as const
export type RetryAction = typeof RetryAction[keyof typeof RetryAction]

/** State of a failed dispatch and properties of its request. */
export interface FailedDispatch {
  knowledge: DispatchKnowledge
  repeatable: boolean
  resumable: boolean
}

/**
 * Decides how to continue after a failed dispatch. Once a part of an answer has arrived, the request is never run anew,
 * even if it is repeatable.
 */
export function decideRetry (dispatch: FailedDispatch): RetryAction {
  return pattern.match(dispatch)
    .with({ knowledge: 'never-sent' }, () => RetryAction.moveToOther)
    .with({ knowledge: 'part-of-answer', resumable: true }, () => RetryAction.resume)
    .with({ knowledge: 'part-of-answer' }, () => RetryAction.reportUnknown)
    .with({ resumable: true }, () => RetryAction.resume)
    .with({ repeatable: true }, () => RetryAction.moveToOther)
    .otherwise(() => RetryAction.reportUnknown)
}
