import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as admitted from './admitted-request.js'
import type * as contexts from './call-context.js'
import * as settlers from './intent-settler.js'

/** Consecutive attempts to resume a cut answer that the engine or the network ends without a new frame. Silence does not count. */
const MAXIMUM_RESUME_ATTEMPTS = 6

/** Backoff before the first attempt to resume a cut answer, in milliseconds. Doubles with each attempt. */
const INITIAL_RESUME_BACKOFF_MS = 100

/** The end of an answer. `isComplete` is false if the request was cancelled before the last frame. */
export interface LastFrame {
  data: string
  usage: targets.engineTypes.Usage
  isComplete: boolean
}

/** Dependencies of a relay and the request that it serves. */
export interface FrameRelayOptions {
  context: contexts.CallContext
  envelope: callers.callerTypes.CallEnvelope
  /** The request's body. Undefined if a stream that already runs is continued. */
  body: Record<string, unknown> | undefined
  /** Ids of the parts of the prompt that other requests may share. Empty if they are not known. */
  sharedParts: readonly string[]
  firstOffset: number
  request: admitted.AdmittedRequest
  sink: callers.callerTypes.AnswerSink
  span: api.Span
}

/** Relays the frames of one answer from a target to a caller, exactly once and in order. Reconnects to the target if the stream is cut. */
export class FrameRelay {
  readonly #context: contexts.CallContext
  readonly #envelope: callers.callerTypes.CallEnvelope
  readonly #body: Record<string, unknown> | undefined
  readonly #sharedParts: readonly string[]
  readonly #request: admitted.AdmittedRequest
  readonly #sink: callers.callerTypes.AnswerSink
  readonly #span: api.Span
  readonly #sequence: decisions.frameSequence.FrameSequence
  /** The engine that runs the request. It is kept if the configuration drops it, as no other engine can continue the answer. */
  readonly #engine: targets.engineClient.EngineClient | undefined
  readonly #stopController = new AbortController()
  #hasTimedOut = false
  #isHandedOver = false

  constructor (options: FrameRelayOptions) {
    this.#context = options.context
    this.#envelope = options.envelope
    this.#body = options.body
    this.#sharedParts = options.sharedParts
    this.#request = options.request
    this.#sink = options.sink
    this.#span = options.span
    this.#sequence = new decisions.frameSequence.FrameSequence(options.request.requestId, options.firstOffset)
    this.#engine = options.context.targetDirectory.engineClient(options.request.target)
  }

  /**
   * Relays all frames except the last, which it returns. Cancels the request if the caller has been gone for the grace period,
   * or at the request timeout. Throws TargetError if the request is certain not to have run, ProblemError if the answer is lost.
   */
  async run (): Promise<LastFrame> {
    const timeoutTimer = setTimeout(() => { this.#hasTimedOut = true; this.#stopController.abort() }, this.#context.timeouts.requestTimeoutMs)
    const stopAfterGrace = (): void => { setTimeout(() => { this.#stopController.abort() }, this.#context.resumeGraceMs) }
    this.#envelope.disconnectSignal.addEventListener('abort', stopAfterGrace, { once: true })
    try {
      return await this.#relayWithResume()
    } finally {
      clearTimeout(timeoutTimer)
      this.#envelope.disconnectSignal.removeEventListener('abort', stopAfterGrace)
    }
  }

  /** Stops relaying because another router has taken the stream over and bills it. */
  handOver (): void {
    this.#isHandedOver = true
    this.#request.closeAsNotRun()
    this.#stopController.abort()
  }

  async #relayWithResume (): Promise<LastFrame> {
    let failure: targets.targetError.TargetError | undefined
    let attemptsWithoutFrame = 0
    for (let isFirst = true; attemptsWithoutFrame <= MAXIMUM_RESUME_ATTEMPTS; isFirst = false) {
      const offset = this.#sequence.nextOffset
      let isSilence = false
      try {
        if (!isFirst) await this.#context.clock.sleep(INITIAL_RESUME_BACKOFF_MS * 2 ** Math.max(0, attemptsWithoutFrame - 1), this.#stopController.signal)
        const last = await this.#relayUntilLast(this.#openStream(isFirst))
        if (last !== undefined) {
          this.#recordAnswer()
          return last
        }
      } catch (error) {
        failure = toTargetError(error, this.#request.target)
        isSilence = failure.isSilence
        if (failure.isConnectionLost && failure.knowledge !== decisions.retryRules.DispatchKnowledge.neverSent) this.#recordLoss()
        if (this.#stopController.signal.aborted) break
        if (isFirst && this.#body !== undefined && failure.knowledge === decisions.retryRules.DispatchKnowledge.neverSent) throw failure
        this.#context.logger.warn({ event: 'answer-cut', requestId: this.#request.requestId, step: failure.step, peer: 'target', target: this.#request.target, reason: failure.message })
      }
      if (this.#sequence.nextOffset > offset) attemptsWithoutFrame = 0
      else if (!isSilence) attemptsWithoutFrame += 1
    }
    return await this.#cancelAtTarget(failure)
  }

  #recordAnswer (): void {
    const { clock, promptParts } = this.#context
    promptParts.recordAnswer(this.#sharedParts, this.#envelope.caller.account, clock.now())
  }

  #recordLoss (): void {
    const { clock, promptParts } = this.#context
    promptParts.recordLoss(this.#sharedParts, this.#envelope.caller.account, this.#request.target, clock.now())
  }

  #openStream (isFirst: boolean): AsyncGenerator<targets.engineTypes.EngineFrame> {
    if (isFirst && this.#body !== undefined) return this.#startStream(this.#body)
    return this.#requireEngine().resume(this.#request.requestId, this.#sequence.nextOffset, this.#request.incarnation.id, this.#stopController.signal)
  }

  #startStream (body: Record<string, unknown>): AsyncGenerator<targets.engineTypes.EngineFrame> {
    return this.#requireEngine().start({
      requestId: this.#request.requestId,
      incarnation: this.#request.incarnation.id,
      priority: this.#envelope.caller.priority,
      body,
      traceHeaders: runtime.telemetry.headersFromSpan(this.#span)
    }, this.#stopController.signal)
  }

  /** Relays frames up to the last, which it returns. Returns undefined if the stream ends early or a frame is missing. */
  async #relayUntilLast (frames: AsyncGenerator<targets.engineTypes.EngineFrame>): Promise<LastFrame | undefined> {
    for await (const frame of frames) {
      const verdict = this.#sequence.accept(frame)
      if (verdict === decisions.frameSequence.FrameVerdict.gap) return undefined
      if (verdict !== decisions.frameSequence.FrameVerdict.deliver) continue
      this.#sink.begin(this.#request.requestId, this.#request.target)
      if (frame.usage !== undefined) return { data: frame.data, usage: frame.usage, isComplete: true }
      this.#sink.writeFrame(frame.data)
    }
    return undefined
  }

  /**
   * Cancels the request at its target and returns the tokens that it served. Throws TargetError if the request is certain not to
   * have run, ProblemError if the target does not answer, no longer knows the request, or serves the stream to another router.
   */
  async #cancelAtTarget (failure: targets.targetError.TargetError | undefined): Promise<LastFrame> {
    if (this.#isHandedOver) throw this.#createProblem('answer_cut', 'the caller resumed the stream at another router')
    this.#context.targetDirectory.recordContact(this.#request.target, false)
    const result = await this.#requestCancel(failure)
    if (result.kind === 'ended') return { data: '', usage: result.usage, isComplete: false }
    if (this.#isProvenNotRun(result)) throw new targets.targetError.TargetError(this.#request.target, 'cancel', 'the request never ran', decisions.retryRules.DispatchKnowledge.neverSent)
    if (result.kind === 'attached') this.#request.closeAsNotRun()
    throw this.#createProblem('answer_cut', `the target answered the cancel call with ${result.kind}`)
  }

  #isProvenNotRun (result: targets.engineTypes.CancelResult): boolean {
    if (result.kind !== 'never-ran' || this.#body === undefined || this.#sequence.nextOffset > 0) return false
    return settlers.provesNeverRan(this.#request.intent(), result.rememberedMs, this.#context.clock)
  }

  async #requestCancel (failure: targets.targetError.TargetError | undefined): Promise<targets.engineTypes.CancelResult> {
    try {
      return await this.#requireEngine().cancel(this.#request.requestId, this.#request.incarnation.id)
    } catch (error) {
      throw this.#createProblem(this.#sink.hasBegun ? 'answer_cut' : 'outcome_unknown', failure?.message ?? (error as Error).message)
    }
  }

  #createProblem (tag: decisions.problem.ProblemTag, detail: string): decisions.problem.ProblemError {
    const timedOut = this.#hasTimedOut ? 'the request timed out; ' : ''
    return new decisions.problem.ProblemError({ tag, step: 'relay', peer: decisions.problem.Peer.target, detail: timedOut + detail })
  }

  #requireEngine (): targets.engineClient.EngineClient {
    if (this.#engine !== undefined) return this.#engine
    throw new targets.targetError.TargetError(this.#request.target, 'connect', 'the target is no longer configured', decisions.retryRules.DispatchKnowledge.neverSent)
  }
}

/**
 * Relays an answer, bills it, and only then sends its last frame. Throws what FrameRelay.run throws, and ProblemError if the
 * answer is incomplete or its bill does not become durable.
 */
export async function relayAndBill (context: contexts.CallContext, relay: FrameRelay, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink): Promise<void> {
  context.runningStreams.add(request, () => { relay.handOver() })
  try {
    const last = await relay.run()
    await request.closeAsBilled(settlers.createBill(request.intent(), last.usage, last.isComplete))
    context.runningStreams.recordBilled(request)
    if (!last.isComplete) throw new decisions.problem.ProblemError({ tag: 'answer_cut', step: 'relay', peer: decisions.problem.Peer.target })
    sink.writeFrame(last.data)
    sink.end()
  } finally {
    context.runningStreams.remove(request.requestId)
  }
}

function toTargetError (error: unknown, target: string): targets.targetError.TargetError {
  if (error instanceof targets.targetError.TargetError) return error
  return new targets.targetError.TargetError(target, 'relay', (error as Error).message, decisions.retryRules.DispatchKnowledge.partOfAnswer)
}
