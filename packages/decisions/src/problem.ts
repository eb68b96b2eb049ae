/** The party at which an error arises. */
export const Peer = { caller: 'caller', target: 'target', platform: 'platform', router: 'router', operator: 'operator', self: 'self' } as const
export type Peer = typeof Peer[keyof typeof Peer]

/** Execution state of a request, as far as it is known. */
export const Ran = { no: 'no', yes: 'yes', unknown: 'unknown' } as const
export type Ran = typeof Ran[keyof typeof Ran]

interface ProblemKind {
  status: number
  title: string
  ran: Ran
  retryAfterSeconds?: number
}

/** All errors that callers may receive, each with its HTTP status and whether the request ran. */
export const problemKinds = {
  unauthorized: { status: 401, title: 'The bearer key is missing or unknown', ran: Ran.no },
  forbidden_budget: { status: 403, title: 'The client account is no member of this budget', ran: Ran.no },
  bad_request: { status: 400, title: 'The request is not valid', ran: Ran.no },
  not_found: { status: 404, title: 'There is nothing at this address', ran: Ran.no },
  unknown_model: { status: 404, title: 'No target serves this model', ran: Ran.no },
  budget_exhausted: { status: 402, title: 'The request does not fit into the budget or the account cap', ran: Ran.no },
  budget_unreachable: { status: 503, title: 'The budget cannot be drawn on now', ran: Ran.no, retryAfterSeconds: 2 },
  not_durable: { status: 503, title: 'The request cannot be recorded safely now', ran: Ran.no, retryAfterSeconds: 2 },
  withdrawal_unknown: { status: 503, title: 'The request was not sent, but it may be billed as unknown', ran: Ran.unknown, retryAfterSeconds: 2 },
  held_prompt_part: { status: 503, title: 'Targets end under a part of the prompt', ran: Ran.no },
  no_target: { status: 503, title: 'No target can take the request now', ran: Ran.no, retryAfterSeconds: 1 },
  overloaded: { status: 429, title: 'The queue for this priority is full', ran: Ran.no, retryAfterSeconds: 1 },
  shutting_down: { status: 503, title: 'This entry host is leaving; use another', ran: Ran.no, retryAfterSeconds: 0 },
  not_ready: { status: 503, title: 'This entry host has no configuration yet', ran: Ran.no, retryAfterSeconds: 1 },
  duplicate_running: { status: 409, title: 'A request with this key is running', ran: Ran.yes },
  already_ran: { status: 409, title: 'A request with this key has run', ran: Ran.yes },
  key_expired: { status: 410, title: 'The key belongs to an ended incarnation and did not run; take a new key', ran: Ran.no },
  key_foreign: { status: 503, title: 'The key belongs to an entry host that cannot be reached', ran: Ran.unknown, retryAfterSeconds: 5 },
  key_required: { status: 400, title: 'A request that may run at most once needs an Idempotency-Key with the prefix of an entry host', ran: Ran.no },
  outcome_unknown: { status: 502, title: 'The target was given the request and its answer is lost', ran: Ran.unknown },
  answer_cut: { status: 502, title: 'The answer was cut and cannot be completed', ran: Ran.yes },
  bill_not_durable: { status: 503, title: 'The answer is complete but its bill cannot be recorded', ran: Ran.yes },
  stream_unknown: { status: 404, title: 'There is no such stream to resume', ran: Ran.unknown },
  target_refused: { status: 502, title: 'The target refused the request', ran: Ran.no }
} as const satisfies Record<string, ProblemKind>

export type ProblemTag = keyof typeof problemKinds

/** An error with the step that failed and the peer at which it arose. */
export interface Problem {
  tag: ProblemTag
  step: string
  peer: Peer
  detail?: string
  /** Overrides the execution state of the tag where more, or less, is known about this request. */
  ran?: Ran
  /** Delay before a retry can succeed, in seconds, where it is known better than for the tag. */
  retryAfterSeconds?: number
}

/** Wraps a problem as an exception. */
export class ProblemError extends Error {
  readonly problem: Problem

  constructor (problem: Problem) {
    super(`${problem.tag} at ${problem.step} (${problem.peer}): ${problem.detail ?? problemKinds[problem.tag].title}`)
    this.problem = problem
  }
}

/** Returns the status, title and execution state that belong to a tag. */
export function describeProblem (tag: ProblemTag): ProblemKind {
  return problemKinds[tag]
}
