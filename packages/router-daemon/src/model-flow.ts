import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import * as contexts from './call-context.js'
import type * as admitted from './admitted-request.js'
import * as relays from './frame-relay.js'

/** Characters of a prompt that decide about its usual target. */
const PREFIX_CHARACTERS = 256

/** Targets tried for one request before it is refused. */
const TARGET_TRIES = 3

/** Serves one model request: admits it, sends it to a target, relays the whole answer, bills it. Rejects with ProblemError. */
export async function serveModel (context: contexts.CallContext, call: callers.callerTypes.ModelCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const span = runtime.telemetry.startSpan('serve model request', runtime.telemetry.contextFromHeaders(call.headers), { model: call.model })
  try {
    const question = modelQuestion(context, call)
    const request = await contexts.admit(context, question, span)
    await runAdmitted(context, call, request, sink, span)
  } finally {
    span.end()
  }
}

function modelQuestion (context: contexts.CallContext, call: callers.callerTypes.ModelCall): admitted.AdmissionQuestion {
  const agreement = context.agreement()
  const model = agreement.model(call.model)
  if (model === undefined) throw new decisions.problem.ProblemError({ tag: 'unknown_model', step: 'admit', peer: decisions.problem.Peer.caller, detail: call.model })
  const maximumOutputTokens = Math.min(call.maximumOutputTokens ?? model.maximumOutputTokens, model.maximumOutputTokens)
  const promptTokens = decisions.worstCase.worstCasePromptTokens(call.messages)
  call.body.max_tokens = maximumOutputTokens
  return { envelope: call, budget: contexts.budgetOf(agreement, call), tokens: promptTokens + maximumOutputTokens, promptTokens }
}

async function runAdmitted (context: contexts.CallContext, call: callers.callerTypes.ModelCall, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink, span: api.Span): Promise<void> {
  const tried = new Set<string>()
  try {
    while (!await tryTarget(context, call, request, sink, tried, span)) {
      if (tried.size >= TARGET_TRIES) throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: call.model })
    }
  } catch (error) {
    if (!request.closed && isNotRun(error)) request.closeNotRun()
    if (!request.closed) context.settleLater(request, sink.frames)
    throw error
  }
}

/** Sends the request to one target. Returns false where the target never took it, so that another may be tried. */
async function tryTarget (context: contexts.CallContext, call: callers.callerTypes.ModelCall, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink, tried: Set<string>, span: api.Span): Promise<boolean> {
  const prefixHash = decisions.hashing.hashText(call.messages[0].content.slice(0, PREFIX_CHARACTERS))
  const target = contexts.chooseTarget(context, 'engine', call.model, prefixHash, tried)
  tried.add(target)
  await contexts.recordDispatch(request, target, span)
  const leave = context.directory.enter(target)
  const targetSpan = runtime.telemetry.startSpan('target answer', span, { target })
  try {
    const relay = new relays.FrameRelay({ context, envelope: call, body: call.body, firstOffset: 0, request, sink, span: targetSpan })
    await relays.relayAndBill(context, relay, request, sink)
    return true
  } catch (error) {
    if (error instanceof targets.targetError.TargetError && error.knowledge === decisions.retryRules.DispatchKnowledge.neverSent) {
      context.directory.noteContact(target, false)
      if (call.gone.aborted) throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.caller, detail: 'the caller has gone' })
      return false
    }
    throw error
  } finally {
    targetSpan.end()
    leave()
  }
}

function isNotRun (error: unknown): boolean {
  if (!(error instanceof decisions.problem.ProblemError)) return false
  return decisions.problem.describeProblem(error.problem.tag).ran === decisions.problem.Ran.no
}
