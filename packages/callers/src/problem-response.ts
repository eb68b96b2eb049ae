import * as decisions from '@acaciaweir/decisions'
import type * as http from 'node:http'

/** The body of an error response, as application/problem+json. */
export interface ProblemBody {
  type: string
  title: string
  status: number
  detail?: string
  step: string
  peer: string
  /** Execution state of the request: `no` (it did not run), `yes` or `unknown`. */
  ran: decisions.problem.Ran
  retryAfterSeconds?: number
  /** The same information in the fields that the callers' client libraries read. */
  error: { message: string, type: string, code: string }
}

/** Builds the response body that describes a problem. */
export function problemBody (problem: decisions.problem.Problem): ProblemBody {
  const kind = decisions.problem.describeProblem(problem.tag)
  return {
    type: `urn:acaciaweir:problem:${problem.tag}`,
    title: kind.title,
    status: kind.status,
    detail: problem.detail,
    step: problem.step,
    peer: problem.peer,
    ran: problem.ran ?? kind.ran,
    retryAfterSeconds: problem.retryAfterSeconds ?? kind.retryAfterSeconds,
    error: { message: kind.title, type: problem.tag, code: problem.tag }
  }
}

/** Sends a problem as the complete response. */
export function sendProblem (response: http.ServerResponse, problem: decisions.problem.Problem): void {
  const body = problemBody(problem)
  const text = JSON.stringify(body)
  response.writeHead(body.status, problemHeaders(body, text))
  response.end(text)
}

function problemHeaders (body: ProblemBody, text: string): Record<string, string | number> {
  const headers: Record<string, string | number> = {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    'acaciaweir-ran': body.ran
  }
  if (body.retryAfterSeconds !== undefined) headers['retry-after'] = body.retryAfterSeconds
  // The callers' client libraries must not retry a request that may have run, as they cannot determine its outcome.
  if (body.ran !== 'no') headers['x-should-retry'] = 'false'
  return headers
}

/** Converts an error into a problem. Any error other than ProblemError becomes `outcome_unknown`. */
export function toProblem (error: unknown): decisions.problem.Problem {
  if (error instanceof decisions.problem.ProblemError) return error.problem
  return { tag: 'outcome_unknown', step: 'serve', peer: decisions.problem.Peer.self, detail: (error as Error).message }
}
