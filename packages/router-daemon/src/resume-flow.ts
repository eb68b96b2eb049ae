import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as admitted from './admitted-request.js'
import type * as contexts from './call-context.js'
import * as relays from './frame-relay.js'
import * as incarnations from './incarnation.js'

const TAKE_OVER_TIMEOUT_MS = 1000

/** Dependencies of resuming a stream, in addition to those of serving a call. */
export interface ResumeContext extends contexts.CallContext {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  addressOf: (incarnation: string) => string | undefined
  takeOverLocalStream: (requestId: string, account: string) => routers.peerMessages.TakeOverReply
}

/**
 * Continues a stream whose caller lost the connection to its router. Bills it at this router unless it has been billed already.
 * Rejects with ProblemError.
 */
export async function resumeStream (context: ResumeContext, call: callers.callerTypes.ResumeCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const takeOverReply = await takeOver(context, call)
  if (takeOverReply.state === routers.peerMessages.TakeOverState.billed) {
    await relayBilledStream(context, call, sink)
    return
  }
  const { intent } = takeOverReply
  if (intent === undefined || intent.account !== call.caller.account) throw createUnknownStreamProblem(call)
  await continueStream(context, call, intent, sink)
}

async function takeOver (context: ResumeContext, call: callers.callerTypes.ResumeCall): Promise<routers.peerMessages.TakeOverReply> {
  const request = { requestId: call.requestId, account: call.caller.account }
  const localReply = context.takeOverLocalStream(request.requestId, request.account)
  if (localReply.state !== routers.peerMessages.TakeOverState.unknown) return localReply
  const homeIncarnation = incarnations.incarnationOfRequest(call.requestId)
  const address = context.addressOf(homeIncarnation)
  if (address !== undefined) {
    try {
      return await context.peers.call(address, 'TakeOver', request, TAKE_OVER_TIMEOUT_MS)
    } catch {
      // The router that served the stream is unreachable, but its journal may hold the state.
    }
  }
  return await readStateFromJournal(context, homeIncarnation, call)
}

async function readStateFromJournal (context: ResumeContext, homeIncarnation: string, call: callers.callerTypes.ResumeCall): Promise<routers.peerMessages.TakeOverReply> {
  const stored = await readIfReachable(context.platform, platform.objectKeys.journalKey(homeIncarnation))
  const journal = stored?.value as decisions.journalTypes.Journal | undefined
  const intent = journal?.open[call.requestId]
  if (intent !== undefined) return { state: routers.peerMessages.TakeOverState.handedOver, intent }
  const billed = journal?.bills.some((bill) => bill.requestId === call.requestId && bill.account === call.caller.account)
  return { state: billed === true ? routers.peerMessages.TakeOverState.billed : routers.peerMessages.TakeOverState.unknown }
}

async function readIfReachable (client: platform.platformClient.PlatformClient, key: string): Promise<platform.platformClient.StoredObject | undefined> {
  try {
    return await client.read(key)
  } catch {
    return undefined
  }
}

async function relayBilledStream (context: ResumeContext, call: callers.callerTypes.ResumeCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const engine = context.targetDirectory.engineClient(call.target)
  if (engine === undefined) throw createUnknownStreamProblem(call)
  const sequence = new decisions.frameSequence.FrameSequence(call.requestId, call.offset)
  for await (const frame of engine.resume(call.requestId, call.offset, context.currentIncarnation().id, call.disconnectSignal)) {
    if (sequence.accept(frame) !== decisions.frameSequence.FrameVerdict.deliver) continue
    sink.begin(call.requestId, call.target)
    sink.writeFrame(frame.data)
    if (frame.usage === undefined) continue
    sink.end()
    return
  }
  throw new decisions.problem.ProblemError({ tag: 'answer_cut', step: 'resume', peer: decisions.problem.Peer.target })
}

async function continueStream (context: ResumeContext, call: callers.callerTypes.ResumeCall, intent: decisions.journalTypes.Intent, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const incarnation = context.currentIncarnation()
  const admission: admitted.AdmissionRequest = {
    envelope: { caller: call.caller, budget: intent.budget, key: intent.key, repeatable: intent.repeatable, keyCheck: { isDone: true }, headers: {}, disconnectSignal: call.disconnectSignal },
    budget: intent.budget,
    worstCaseTokens: intent.reservedTokens,
    worstCasePromptTokens: intent.reservedPromptTokens
  }
  await admitted.reserveWorstCase(incarnation, call.requestId, admission, context.timeouts)
  const request = new admitted.AdmittedRequest(call.requestId, incarnation, admission, context.timeouts, () => {})
  const span = runtime.telemetry.startSpan('resume stream', runtime.telemetry.contextFromHeaders({}), { target: intent.target })
  try {
    await request.recordDispatch(intent.target)
    const relay = new relays.FrameRelay({ context, envelope: admission.envelope, body: undefined, sharedParts: [], firstOffset: call.offset, request, sink, span })
    await relays.relayAndBill(context, relay, request, sink)
  } catch (error) {
    if (!request.isClosed) context.settleLater(request, sink.frameCount)
    throw error
  } finally {
    span.end()
  }
}

function createUnknownStreamProblem (call: callers.callerTypes.ResumeCall): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag: 'stream_unknown', step: 'resume', peer: decisions.problem.Peer.router, detail: `${call.target}/${call.requestId}` })
}
