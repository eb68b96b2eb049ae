import type * as answers from './answers.js'

/** Outcome of sending a request to one target. */
export type SendOutcome =
  | { kind: 'answered', status: number }
  /** The target did not run the request, and the caller received nothing. */
  | { kind: 'not-run', reason: string }
  /** The target may have run the request, but the caller received nothing. */
  | { kind: 'lost', reason: string, isConnectionLost: boolean }
  /** The target answered with a server error, which is not forwarded yet. */
  | { kind: 'failed', answer: answers.BufferedAnswer }
  /** The stream ended early, after the caller received events. */
  | { kind: 'cut', reason: string, isConnectionLost: boolean }
  /** Another send of the call began to answer the caller first, or the call ended. The target may have run the request. */
  | { kind: 'overtaken' }

/** Returns true if the connection to the target was lost while it had the request. */
export function isConnectionLost (outcome: SendOutcome): boolean {
  return 'isConnectionLost' in outcome && outcome.isConnectionLost
}
