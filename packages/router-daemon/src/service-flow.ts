import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as admitted from './admitted-request.js'
import * as contexts from './call-context.js'
import * as settlers from './intent-settler.js'

/** Targets tried for one call before it is refused. */
const TARGET_TRIES = 3

/** Statuses by which a service says that it did not take the call. */
const NOT_TAKEN_STATUSES = new Set([429, 503])

/** Serves one call to a plain service: admits it, sends it to a target, bills it. Rejects with ProblemError. */
export async function serveService (context: contexts.CallContext, call: callers.callerTypes.ServiceCall): Promise<callers.callerTypes.ServiceOutcome> {
  const span = runtime.telemetry.startSpan('serve service call', runtime.telemetry.contextFromHeaders(call.headers), { service: call.service })
  try {
    const agreement = context.agreement()
    const service = agreement.service(call.service)
    if (service === undefined) throw new decisions.problem.ProblemError({ tag: 'unknown_model', step: 'admit', peer: decisions.problem.Peer.caller, detail: call.service })
    const question = { envelope: call, budget: contexts.budgetOf(agreement, call), tokens: service.tokensPerCall, promptTokens: 0 }
    const request = await contexts.admit(context, question, span)
    return await runAdmitted(context, call, request, service.timeoutMs, span)
  } finally {
    span.end()
  }
}

async function runAdmitted (context: contexts.CallContext, call: callers.callerTypes.ServiceCall, request: admitted.AdmittedRequest, timeoutMs: number, span: api.Span): Promise<callers.callerTypes.ServiceOutcome> {
  const attempt: CallAttempt = { context, call, request, timeoutMs, tried: new Set(), unanswered: undefined }
  try {
    while (attempt.tried.size < TARGET_TRIES) {
      const outcome = await tryTarget(attempt, span)
      if (outcome !== undefined) return outcome
    }
    throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: call.service })
  } catch (error) {
    if (attempt.unanswered !== undefined) await reportUnknown(request, attempt.unanswered)
    request.closeNotRun()
    throw error
  }
}

/** The state of one call over the targets that it is sent to. */
interface CallAttempt {
  context: contexts.CallContext
  call: callers.callerTypes.ServiceCall
  request: admitted.AdmittedRequest
  timeoutMs: number
  tried: Set<string>
  /** The failure of a target that may have run the call. */
  unanswered: targets.targetError.TargetError | undefined
}

/** Sends the call to one target. Returns undefined where another may be tried. */
async function tryTarget (attempt: CallAttempt, span: api.Span): Promise<callers.callerTypes.ServiceOutcome | undefined> {
  const { context, call, request } = attempt
  const target = contexts.chooseTarget(context, 'service', call.service, 0, attempt.tried)
  attempt.tried.add(target)
  await contexts.recordDispatch(request, target, span)
  const leave = context.directory.enter(target)
  const targetSpan = runtime.telemetry.startSpan('target answer', span, { target })
  try {
    const answer = await sendCall(attempt, targetSpan)
    context.directory.noteContact(target, true)
    if (NOT_TAKEN_STATUSES.has(answer.status)) return undefined
    await request.closeBilled(serviceBill(request))
    return { ...answer, requestId: request.requestId }
  } catch (error) {
    if (!(error instanceof targets.targetError.TargetError)) throw error
    context.directory.noteContact(target, false)
    await afterFailure(attempt, error)
    return undefined
  } finally {
    targetSpan.end()
    leave()
  }
}

async function sendCall (attempt: CallAttempt, span: api.Span): Promise<targets.serviceClient.ServiceAnswer> {
  const { context, call, request, timeoutMs } = attempt
  const client = context.directory.service(request.target)
  if (client === undefined) throw new targets.targetError.TargetError(request.target, 'connect', 'the target is no longer configured', decisions.retryRules.DispatchKnowledge.neverSent)
  return await client.call({
    requestId: request.requestId,
    method: call.method,
    path: call.path,
    contentType: call.contentType,
    body: call.body,
    timeoutMs,
    traceHeaders: runtime.telemetry.headersFromSpan(span)
  })
}

/** Returns where the call may go to another target. Throws ProblemError otherwise. */
async function afterFailure (attempt: CallAttempt, error: targets.targetError.TargetError): Promise<void> {
  if (error.knowledge !== decisions.retryRules.DispatchKnowledge.neverSent) attempt.unanswered = error
  const action = decisions.retryRules.decideRetry({ knowledge: error.knowledge, repeatable: attempt.call.repeatable, resumable: false })
  if (action === decisions.retryRules.RetryAction.moveToOther) return
  await reportUnknown(attempt.request, error)
}

/** Bills a call that may have run, and throws the ProblemError that says so. */
async function reportUnknown (request: admitted.AdmittedRequest, error: targets.targetError.TargetError): Promise<never> {
  await request.closeBilled(settlers.unknownBill(request.intent()))
  throw new decisions.problem.ProblemError({ tag: 'outcome_unknown', step: error.step, peer: decisions.problem.Peer.target, detail: error.message })
}

function serviceBill (request: admitted.AdmittedRequest): decisions.journalTypes.Bill {
  const intent = request.intent()
  return settlers.billOf(intent, { promptTokens: 0, completionTokens: intent.reservedTokens }, true)
}
