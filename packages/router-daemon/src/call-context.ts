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

/** Dependencies of serving a call. */
export interface CallContext {
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  targetDirectory: directories.TargetDirectory
  routingPolicy: decisions.routingPolicy.RoutingPolicy
  keyGate: keys.KeyGate
  runningStreams: streams.RunningStreams
  promptParts: decisions.promptPartBoard.PromptPartBoard
  /** Position of this router in an order of all live routers for a key, from 0. */
  rankFor: (key: string) => number
  timeouts: admitted.AdmissionTimeouts
  resumeGraceMs: number
  currentAgreement: () => agreements.Agreement
  currentIncarnation: () => incarnations.Incarnation
  /** Settles a request whose answer was lost, by retrying until its target answers. `deliveredTokens` have reached the caller. */
  settleLater: (request: admitted.AdmittedRequest, deliveredTokens: number) => void
}

/** Returns the budget named by a call, or its client account's default. Throws ProblemError if the client account is not a member. */
export function resolveBudget (agreement: agreements.Agreement, envelope: callers.callerTypes.CallEnvelope): string {
  const { account } = envelope.caller
  const budget = envelope.budget ?? agreement.account(account)?.defaultBudget ?? ''
  if (agreement.limits(budget)?.capTokens[account] !== undefined) return budget
  throw new decisions.problem.ProblemError({ tag: 'forbidden_budget', step: 'admit', peer: decisions.problem.Peer.caller, detail: budget })
}

/** Admits a call: checks its idempotency key, then reserves its worst-case tokens. Throws ProblemError if either fails. */
export async function admit (context: CallContext, admission: admitted.AdmissionRequest, span: api.Span): Promise<admitted.AdmittedRequest> {
  const incarnation = context.currentIncarnation()
  const releaseKey = await context.keyGate.admitKey(incarnation, admission.envelope)
  const reserveSpan = runtime.telemetry.startSpan('reserve', span, { tokens: admission.worstCaseTokens })
  try {
    const requestId = incarnations.newRequestId(incarnation.id)
    await admitted.reserveWorstCase(incarnation, requestId, admission, context.timeouts)
    return new admitted.AdmittedRequest(requestId, incarnation, admission, context.timeouts, releaseKey)
  } catch (error) {
    releaseKey()
    throw error
  } finally {
    reserveSpan.end()
  }
}

/** Chooses a target that serves a model or service and has not been tried. Throws ProblemError if there is none. */
export function chooseTarget (context: CallContext, kind: 'engine' | 'service', id: string, prefixHash: number, triedTargets: ReadonlySet<string>): string {
  const servingTargets = context.currentAgreement().targetsServing(kind, id)
  const candidates = servingTargets.map((target) => context.targetDirectory.candidate(target.id)).filter((candidate) => candidate !== undefined)
  const untriedCandidates = decisions.routingPolicy.usableCandidates(candidates).filter((candidate) => !triedTargets.has(candidate.id))
  const chosenCandidate = context.routingPolicy.choose(untriedCandidates, { prefixHash })
  if (chosenCandidate !== undefined) return chosenCandidate.id
  throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: id })
}

/** Records the dispatch of a request within a trace span. Throws ProblemError if the record does not become durable. */
export async function recordDispatch (request: admitted.AdmittedRequest, target: string, span: api.Span): Promise<void> {
  const recordSpan = runtime.telemetry.startSpan('record dispatch', span, { target })
  try {
    await request.recordDispatch(target)
  } finally {
    recordSpan.end()
  }
}
