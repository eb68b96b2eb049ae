import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as admitted from './admitted-request.js'
import type * as agreements from './agreement.js'
import * as incarnations from './incarnation.js'
import type * as keys from './key-gate.js'
import type * as streams from './running-streams.js'
import type * as directories from './target-directory.js'

/** What serving a call needs from the router. */
export interface CallContext {
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  directory: directories.TargetDirectory
  policy: decisions.routingPolicy.RoutingPolicy
  keyGate: keys.KeyGate
  streams: streams.RunningStreams
  limits: admitted.AdmissionLimits
  resumeGraceMs: number
  agreement: () => agreements.Agreement
  incarnation: () => incarnations.Incarnation
  /** Keeps asking the target of a request whose answer was lost what became of it. `deliveredTokens` have reached the caller. */
  settleLater: (request: admitted.AdmittedRequest, deliveredTokens: number) => void
}

/** The budget that a call draws on. Throws ProblemError where the client account is no member. */
export function budgetOf (agreement: agreements.Agreement, envelope: callers.callerTypes.CallEnvelope): string {
  const { account } = envelope.caller
  const budget = envelope.budget ?? agreement.account(account)?.defaultBudget ?? ''
  if (agreement.limits(budget)?.capTokens[account] !== undefined) return budget
  throw new decisions.problem.ProblemError({ tag: 'forbidden_budget', step: 'admit', peer: decisions.problem.Peer.caller, detail: budget })
}

/** Admits a call: its key, then its worst case. Throws ProblemError. */
export async function admit (context: CallContext, question: admitted.AdmissionQuestion, span: api.Span): Promise<admitted.AdmittedRequest> {
  const incarnation = context.incarnation()
  const leave = await context.keyGate.enter(incarnation, question.envelope)
  const reserveSpan = runtime.telemetry.startSpan('reserve', span, { tokens: question.tokens })
  try {
    const requestId = incarnations.newRequestId(incarnation.id)
    await admitted.reserveWorstCase(incarnation, requestId, question, context.limits)
    return new admitted.AdmittedRequest(requestId, incarnation, question, context.limits, leave)
  } catch (error) {
    leave()
    throw error
  } finally {
    reserveSpan.end()
  }
}

/** Chooses a target that serves a model or service. Throws ProblemError where none can. */
export function chooseTarget (context: CallContext, kind: 'engine' | 'service', id: string, prefixHash: number, tried: ReadonlySet<string>): string {
  const serving = context.agreement().targetsServing(kind, id)
  const candidates = serving.map((target) => context.directory.candidate(target.id)).filter((candidate) => candidate !== undefined)
  const usable = decisions.routingPolicy.usableCandidates(candidates).filter((candidate) => !tried.has(candidate.id))
  const chosen = context.policy.choose(usable, { prefixHash })
  if (chosen !== undefined) return chosen.id
  throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: id })
}

/** Records the dispatch of a request, with a span. Throws ProblemError. */
export async function recordDispatch (request: admitted.AdmittedRequest, target: string, span: api.Span): Promise<void> {
  const recordSpan = runtime.telemetry.startSpan('record dispatch', span, { target })
  try {
    await request.open(target)
  } finally {
    recordSpan.end()
  }
}
