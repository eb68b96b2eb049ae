import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as admitted from './admitted-request.js'
import * as contexts from './call-context.js'
import * as settlers from './intent-settler.js'

const MAXIMUM_TARGET_ATTEMPTS = 3

/** HTTP statuses with which a service rejects a call without running it. */
const REJECTION_STATUSES = new Set([429, 503])

/** Serves one call to a plain service: admits it, sends it to a target and bills it. Rejects with ProblemError. */
export async function serveService (context: contexts.CallContext, call: callers.callerTypes.ServiceCall): Promise<callers.callerTypes.ServiceOutcome> {
  const span = runtime.telemetry.startSpan('serve service call', runtime.telemetry.contextFromHeaders(call.headers), { service: call.service })
  try {
    const agreement = context.currentAgreement()
    const service = agreement.service(call.service)
    if (service === undefined) throw new decisions.problem.ProblemError({ tag: 'unknown_model', step: 'admit', peer: decisions.problem.Peer.caller, detail: call.service })
    const admission = { envelope: call, budget: contexts.resolveBudget(agreement, call), worstCaseTokens: service.tokensPerCall, worstCasePromptTokens: 0 }
    const request = await contexts.admit(context, admission, span)
    return await serveAdmitted(context, call, request, service.timeoutMs, span)
  } finally {
    span.end()
  }
}

async function serveAdmitted (context: contexts.CallContext, call: callers.callerTypes.ServiceCall, request: admitted.AdmittedRequest, timeoutMs: number, span: api.Span): Promise<callers.callerTypes.ServiceOutcome> {
  const progress: CallProgress = { context, call, request, timeoutMs, triedTargets: new Set(), ambiguousFailure: undefined }
  try {
    while (progress.triedTargets.size < MAXIMUM_TARGET_ATTEMPTS) {
      const outcome = await tryTarget(progress, span)
      if (outcome !== undefined) return outcome
    }
    throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: call.service })
  } catch (error) {
    if (progress.ambiguousFailure !== undefined) await billAndReportUnknown(request, progress.ambiguousFailure)
    request.closeAsNotRun()
    throw error
  }
}

/** State of one call across its attempts at several targets. */
interface CallProgress {
  context: contexts.CallContext
  call: callers.callerTypes.ServiceCall
  request: admitted.AdmittedRequest
  timeoutMs: number
  triedTargets: Set<string>
  /** Latest failure of a target that may have run the call. */
  ambiguousFailure: targets.targetError.TargetError | undefined
}

/** Sends the call to one target. Returns undefined if another target may be tried. */
async function tryTarget (progress: CallProgress, span: api.Span): Promise<callers.callerTypes.ServiceOutcome | undefined> {
  const { context, call, request } = progress
  const target = contexts.chooseTarget(context, 'service', call.service, 0, progress.triedTargets)
  progress.triedTargets.add(target)
  await contexts.recordDispatch(request, target, span)
  const releaseTarget = context.targetDirectory.trackRequest(target)
  const targetSpan = runtime.telemetry.startSpan('target answer', span, { target })
  try {
    const answer = await sendCall(progress, targetSpan)
    context.targetDirectory.recordContact(target, true)
    if (REJECTION_STATUSES.has(answer.status)) return undefined
    await request.closeAsBilled(createServiceBill(request))
    return { ...answer, requestId: request.requestId }
  } catch (error) {
    if (!(error instanceof targets.targetError.TargetError)) throw error
    context.targetDirectory.recordContact(target, false)
    await handleTargetFailure(progress, error)
    return undefined
  } finally {
    targetSpan.end()
    releaseTarget()
  }
}

async function sendCall (progress: CallProgress, span: api.Span): Promise<targets.serviceClient.ServiceAnswer> {
  const { context, call, request, timeoutMs } = progress
  const client = context.targetDirectory.serviceClient(request.target)
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

/** Returns if the call may be retried at another target. Otherwise bills it as unknown and throws ProblemError. */
async function handleTargetFailure (progress: CallProgress, error: targets.targetError.TargetError): Promise<void> {
  if (error.knowledge !== decisions.retryRules.DispatchKnowledge.neverSent) progress.ambiguousFailure = error
  const action = decisions.retryRules.decideRetry({ knowledge: error.knowledge, repeatable: progress.call.repeatable, resumable: false })
  if (action === decisions.retryRules.RetryAction.moveToOther) return
  await billAndReportUnknown(progress.request, error)
}

/** Bills a call that may have run, then throws the ProblemError that reports its outcome as unknown. */
async function billAndReportUnknown (request: admitted.AdmittedRequest, error: targets.targetError.TargetError): Promise<never> {
  await request.closeAsBilled(settlers.createUnknownBill(request.intent()))
  throw new decisions.problem.ProblemError({ tag: 'outcome_unknown', step: error.step, peer: decisions.problem.Peer.target, detail: error.message })
}

function createServiceBill (request: admitted.AdmittedRequest): decisions.journalTypes.Bill {
  const intent = request.intent()
  return settlers.createBill(intent, { promptTokens: 0, completionTokens: intent.reservedTokens }, true)
}
