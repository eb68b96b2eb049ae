import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import * as crypto from 'node:crypto'
import * as contexts from './call-context.js'
import type * as admitted from './admitted-request.js'
import * as relays from './frame-relay.js'

/** Leading characters of the first message that are hashed to find the preferred target of prompts with this prefix. */
const PROMPT_PREFIX_CHARACTERS = 256

const MAXIMUM_TARGET_ATTEMPTS = 3

/** Length of the hexadecimal id of a message. */
const PART_ID_CHARACTERS = 16

/** Serves one model request: admits it, sends it to a target, relays the whole answer and bills it. Rejects with ProblemError. */
export async function serveModel (context: contexts.CallContext, call: callers.callerTypes.ModelCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const span = runtime.telemetry.startSpan('serve model request', runtime.telemetry.contextFromHeaders(call.headers), { model: call.model })
  try {
    refuseHeldPart(context, call)
    const admission = createAdmissionRequest(context, call)
    const request = await contexts.admit(context, admission, span)
    await serveAdmitted(context, call, request, sink, span)
  } finally {
    span.end()
  }
}

/** Throws ProblemError if targets are known to crash under a part of the prompt. */
function refuseHeldPart (context: contexts.CallContext, call: callers.callerTypes.ModelCall): void {
  const held = context.promptParts.refusal(sharedParts(call), call.caller.account, context.rankFor, context.clock.now())
  if (held === undefined) return
  context.logger.info({ event: 'request-held-back', account: call.caller.account, ...held })
  throw new decisions.problem.ProblemError({ tag: 'held_prompt_part', step: 'admit', peer: decisions.problem.Peer.target, detail: held.part, retryAfterSeconds: Math.ceil(held.retryAfterMs / 1000) })
}

/** Returns ids of the messages that other requests may share: all but the last, which belongs to the request. */
function sharedParts (call: callers.callerTypes.ModelCall): string[] {
  return call.messages.slice(0, -1).map(({ role, content }) => crypto.createHash('sha256').update(`${role}\n${content}`).digest('hex').slice(0, PART_ID_CHARACTERS))
}

function createAdmissionRequest (context: contexts.CallContext, call: callers.callerTypes.ModelCall): admitted.AdmissionRequest {
  const agreement = context.currentAgreement()
  const model = agreement.model(call.model)
  if (model === undefined) throw new decisions.problem.ProblemError({ tag: 'unknown_model', step: 'admit', peer: decisions.problem.Peer.caller, detail: call.model })
  const maximumOutputTokens = Math.min(call.maximumOutputTokens ?? model.maximumOutputTokens, model.maximumOutputTokens)
  const worstCasePromptTokens = decisions.worstCase.worstCasePromptTokens(call.messages)
  call.body.max_tokens = maximumOutputTokens
  return { envelope: call, budget: contexts.resolveBudget(agreement, call), worstCaseTokens: worstCasePromptTokens + maximumOutputTokens, worstCasePromptTokens }
}

async function serveAdmitted (context: contexts.CallContext, call: callers.callerTypes.ModelCall, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink, span: api.Span): Promise<void> {
  const triedTargets = new Set<string>()
  try {
    while (!await tryTarget(context, call, request, sink, triedTargets, span)) {
      if (triedTargets.size >= MAXIMUM_TARGET_ATTEMPTS) throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.target, detail: call.model })
    }
  } catch (error) {
    if (!request.isClosed && isProblemWithoutRun(error)) request.closeAsNotRun()
    if (!request.isClosed) context.settleLater(request, sink.frameCount)
    throw error
  }
}

/** Sends the request to one target. Returns false if it is certain not to have run there, so that another target may be tried. */
async function tryTarget (context: contexts.CallContext, call: callers.callerTypes.ModelCall, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink, triedTargets: Set<string>, span: api.Span): Promise<boolean> {
  const prefixHash = decisions.hashing.hashText(call.messages[0].content.slice(0, PROMPT_PREFIX_CHARACTERS))
  const target = contexts.chooseTarget(context, 'engine', call.model, prefixHash, triedTargets)
  triedTargets.add(target)
  await contexts.recordDispatch(request, target, span)
  const releaseTarget = context.targetDirectory.trackRequest(target)
  const targetSpan = runtime.telemetry.startSpan('target answer', span, { target })
  try {
    const relay = new relays.FrameRelay({ context, envelope: call, body: call.body, sharedParts: sharedParts(call), firstOffset: 0, request, sink, span: targetSpan })
    await relays.relayAndBill(context, relay, request, sink)
    return true
  } catch (error) {
    if (error instanceof targets.targetError.TargetError && error.knowledge === decisions.retryRules.DispatchKnowledge.neverSent) {
      context.targetDirectory.recordContact(target, false)
      if (call.disconnectSignal.aborted) throw new decisions.problem.ProblemError({ tag: 'no_target', step: 'route', peer: decisions.problem.Peer.caller, detail: 'the caller disconnected' })
      return false
    }
    throw error
  } finally {
    targetSpan.end()
    releaseTarget()
  }
}

function isProblemWithoutRun (error: unknown): boolean {
  if (!(error instanceof decisions.problem.ProblemError)) return false
  return decisions.problem.describeProblem(error.problem.tag).ran === decisions.problem.Ran.no
}
