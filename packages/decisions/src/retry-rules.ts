import * as pattern from 'ts-pattern'

/** What is known about a dispatch that failed. */
export const DispatchKnowledge = { neverSent: 'never-sent', sentNoAnswer: 'sent-no-answer', partOfAnswer: 'part-of-answer' } as const
export type DispatchKnowledge = typeof DispatchKnowledge[keyof typeof DispatchKnowledge]

/** What to do after a failed dispatch. */
export const RetryAction = { moveToOther: 'move-to-other', resume: 'resume', reportUnknown: 'report-unknown' } as const
export type RetryAction = typeof RetryAction[keyof typeof RetryAction]

/** The facts that decide about a retry. */
export interface RetryQuestion {
  knowledge: DispatchKnowledge
  repeatable: boolean
  resumable: boolean
}

/** Decides what to do after a failed dispatch. A part of an answer is never followed by a new run. */
export function decideRetry (question: RetryQuestion): RetryAction {
  return pattern.match(question)
    .with({ knowledge: 'never-sent' }, () => RetryAction.moveToOther)
    .with({ knowledge: 'part-of-answer', resumable: true }, () => RetryAction.resume)
    .with({ knowledge: 'part-of-answer' }, () => RetryAction.reportUnknown)
    .with({ resumable: true }, () => RetryAction.resume)
    .with({ repeatable: true }, () => RetryAction.moveToOther)
    .otherwise(() => RetryAction.reportUnknown)
}
