import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as admitted from './admitted-request.js'
import type * as contexts from './call-context.js'
import * as relays from './frame-relay.js'
import * as incarnations from './incarnation.js'

/** Longest wait for the router that a stream belonged to, in milliseconds. */
const TAKE_OVER_TIMEOUT_MS = 1000

/** What resuming a stream needs beside the call context. */
export interface ResumeContext extends contexts.CallContext {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  addressOf: (incarnation: string) => string | undefined
  takeOverOwn: (requestId: string, account: string) => routers.peerMessages.TakeOverReply
}

/** Continues a stream whose caller lost its router. Bills it here, unless it has been billed. Rejects with ProblemError. */
export async function resumeStream (context: ResumeContext, call: callers.callerTypes.ResumeCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const taken = await takeOver(context, call)
  if (taken.state === routers.peerMessages.TakeOverState.billed) {
    await relayBilled(context, call, sink)
    return
  }
  const { intent } = taken
  if (intent === undefined || intent.account !== call.caller.account) throw unknownStream(call)
  await relayTaken(context, call, intent, sink)
}

async function takeOver (context: ResumeContext, call: callers.callerTypes.ResumeCall): Promise<routers.peerMessages.TakeOverReply> {
  const request = { requestId: call.requestId, account: call.caller.account }
  const own = context.takeOverOwn(request.requestId, request.account)
  if (own.state !== routers.peerMessages.TakeOverState.unknown) return own
  const home = incarnations.incarnationOfRequest(call.requestId)
  const address = context.addressOf(home)
  if (address !== undefined) {
    try {
      return await context.peers.call(address, 'TakeOver', request, TAKE_OVER_TIMEOUT_MS)
    } catch {
      // The router that the stream belonged to is unreachable: its journal may tell.
    }
  }
  return await readJournal(context, home, call)
}

async function readJournal (context: ResumeContext, home: string, call: callers.callerTypes.ResumeCall): Promise<routers.peerMessages.TakeOverReply> {
  const stored = await readQuietly(context.platform, platform.objectKeys.journalKey(home))
  const journal = stored?.value as decisions.journalTypes.Journal | undefined
  const intent = journal?.open[call.requestId]
  if (intent !== undefined) return { state: routers.peerMessages.TakeOverState.handedOver, intent }
  const billed = journal?.bills.some((bill) => bill.requestId === call.requestId && bill.account === call.caller.account)
  return { state: billed === true ? routers.peerMessages.TakeOverState.billed : routers.peerMessages.TakeOverState.unknown }
}

async function readQuietly (client: platform.platformClient.PlatformClient, key: string): Promise<platform.platformClient.StoredObject | undefined> {
  try {
    return await client.read(key)
  } catch {
    return undefined
  }
}

async function relayBilled (context: ResumeContext, call: callers.callerTypes.ResumeCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const engine = context.directory.engine(call.target)
  if (engine === undefined) throw unknownStream(call)
  const sequence = new decisions.frameSequence.FrameSequence(call.requestId, call.offset)
  for await (const frame of engine.resume(call.requestId, call.offset, context.incarnation().id, call.gone)) {
    if (sequence.accept(frame) !== decisions.frameSequence.FrameVerdict.deliver) continue
    sink.begin(call.requestId, call.target)
    sink.frame(frame.data)
    if (frame.usage === undefined) continue
    sink.end()
    return
  }
  throw new decisions.problem.ProblemError({ tag: 'answer_cut', step: 'resume', peer: decisions.problem.Peer.target })
}

async function relayTaken (context: ResumeContext, call: callers.callerTypes.ResumeCall, intent: decisions.journalTypes.Intent, sink: callers.callerTypes.AnswerSink): Promise<void> {
  const incarnation = context.incarnation()
  const question: admitted.AdmissionQuestion = {
    envelope: { caller: call.caller, budget: intent.budget, key: intent.key, repeatable: intent.repeatable, proof: { checked: true }, headers: {}, gone: call.gone },
    budget: intent.budget,
    tokens: intent.reservedTokens,
    promptTokens: intent.reservedPromptTokens
  }
  await admitted.reserveWorstCase(incarnation, call.requestId, question, context.limits)
  const request = new admitted.AdmittedRequest(call.requestId, incarnation, question, context.limits, () => {})
  const span = runtime.telemetry.startSpan('resume stream', runtime.telemetry.contextFromHeaders({}), { target: intent.target })
  try {
    await request.open(intent.target)
    const relay = new relays.FrameRelay({ context, envelope: question.envelope, body: undefined, firstOffset: call.offset, request, sink, span })
    await relays.relayAndBill(context, relay, request, sink)
  } catch (error) {
    if (!request.closed) context.settleLater(request, sink.frames)
    throw error
  } finally {
    span.end()
  }
}

function unknownStream (call: callers.callerTypes.ResumeCall): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag: 'stream_unknown', step: 'resume', peer: decisions.problem.Peer.router, detail: `${call.target}/${call.requestId}` })
}
