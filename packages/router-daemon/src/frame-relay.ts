import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as api from '@opentelemetry/api'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as admitted from './admitted-request.js'
import type * as contexts from './call-context.js'
import * as settlers from './intent-settler.js'

/** Tries to continue a cut answer. */
const RESUME_TRIES = 6

/** Pause before the first try to continue, in milliseconds; doubled with each. */
const RESUME_PAUSE_MS = 100

/** The end of an answer. */
export interface LastFrame {
  data: string
  usage: targets.engineTypes.Usage
  complete: boolean
}

/** What a relay works with. */
export interface FrameRelayOptions {
  context: contexts.CallContext
  envelope: callers.callerTypes.CallEnvelope
  /** The request's body; undefined where a stream that runs already is continued. */
  body: Record<string, unknown> | undefined
  firstOffset: number
  request: admitted.AdmittedRequest
  sink: callers.callerTypes.AnswerSink
  span: api.Span
}

/** Passes one answer's frames from a target to a caller, once each and in order, over as many connections as it takes. */
export class FrameRelay {
  readonly #context: contexts.CallContext
  readonly #envelope: callers.callerTypes.CallEnvelope
  readonly #body: Record<string, unknown> | undefined
  readonly #request: admitted.AdmittedRequest
  readonly #sink: callers.callerTypes.AnswerSink
  readonly #span: api.Span
  readonly #sequence: decisions.frameSequence.FrameSequence
  readonly #stop = new AbortController()
  #timedOut = false
  #handedOver = false

  constructor (options: FrameRelayOptions) {
    this.#context = options.context
    this.#envelope = options.envelope
    this.#body = options.body
    this.#request = options.request
    this.#sink = options.sink
    this.#span = options.span
    this.#sequence = new decisions.frameSequence.FrameSequence(options.request.requestId, options.firstOffset)
  }

  /**
   * Relays all frames but the last, which it returns. A caller that has gone ends the answer early.
   * Throws TargetError where the target never took the request, ProblemError where the answer is lost.
   */
  async run (): Promise<LastFrame> {
    const limit = setTimeout(() => { this.#timedOut = true; this.#stop.abort() }, this.#context.limits.requestTimeoutMs)
    const stopAfterGrace = (): void => { setTimeout(() => { this.#stop.abort() }, this.#context.resumeGraceMs) }
    this.#envelope.gone.addEventListener('abort', stopAfterGrace, { once: true })
    try {
      return await this.#relayWithResume()
    } finally {
      clearTimeout(limit)
      this.#envelope.gone.removeEventListener('abort', stopAfterGrace)
    }
  }

  /** Gives the stream up to another router, which bills it. */
  handOver (): void {
    this.#handedOver = true
    this.#request.closeNotRun()
    this.#stop.abort()
  }

  async #relayWithResume (): Promise<LastFrame> {
    let failure: targets.targetError.TargetError | undefined
    for (let attempt = 0; attempt <= RESUME_TRIES; attempt += 1) {
      try {
        if (attempt > 0) await this.#context.clock.sleep(RESUME_PAUSE_MS * 2 ** (attempt - 1), this.#stop.signal)
        const last = await this.#relay(this.#frames(attempt))
        if (last !== undefined) return last
      } catch (error) {
        failure = asTargetError(error, this.#request.target)
        if (this.#stop.signal.aborted) break
        if (attempt === 0 && this.#body !== undefined && failure.knowledge === decisions.retryRules.DispatchKnowledge.neverSent) throw failure
        this.#context.logger.warn({ event: 'answer-cut', requestId: this.#request.requestId, step: failure.step, peer: 'target', target: this.#request.target, reason: failure.message })
      }
    }
    return await this.#endEarly(failure)
  }

  #frames (attempt: number): AsyncGenerator<targets.engineTypes.EngineFrame> {
    if (attempt === 0 && this.#body !== undefined) return this.#start(this.#body)
    return this.#engine().resume(this.#request.requestId, this.#sequence.nextOffset, this.#request.incarnation.id, this.#stop.signal)
  }

  #start (body: Record<string, unknown>): AsyncGenerator<targets.engineTypes.EngineFrame> {
    return this.#engine().start({
      requestId: this.#request.requestId,
      incarnation: this.#request.incarnation.id,
      priority: this.#envelope.caller.priority,
      body,
      traceHeaders: runtime.telemetry.headersFromSpan(this.#span)
    }, this.#stop.signal)
  }

  /** Passes frames on until the last, which it returns; undefined where the stream ended before it. */
  async #relay (frames: AsyncGenerator<targets.engineTypes.EngineFrame>): Promise<LastFrame | undefined> {
    for await (const frame of frames) {
      const verdict = this.#sequence.accept(frame)
      if (verdict === decisions.frameSequence.FrameVerdict.gap) return undefined
      if (verdict !== decisions.frameSequence.FrameVerdict.deliver) continue
      this.#sink.begin(this.#request.requestId, this.#request.target)
      if (frame.usage !== undefined) return { data: frame.data, usage: frame.usage, complete: true }
      this.#sink.frame(frame.data)
    }
    return undefined
  }

  /** Ends the request at its target and tells what was served. Throws ProblemError where the target does not answer. */
  async #endEarly (failure: targets.targetError.TargetError | undefined): Promise<LastFrame> {
    if (this.#handedOver) throw this.#lost('answer_cut', 'resumed at another router')
    this.#context.directory.noteContact(this.#request.target, false)
    const result = await this.#cancel(failure)
    if (result.kind === 'ended') return { data: '', usage: result.usage, complete: false }
    if (this.#neverRan(result)) throw new targets.targetError.TargetError(this.#request.target, 'cancel', 'never ran', decisions.retryRules.DispatchKnowledge.neverSent)
    if (result.kind === 'attached') this.#request.closeNotRun()
    throw this.#lost('answer_cut', `the target says ${result.kind}`)
  }

  #neverRan (result: targets.engineTypes.CancelResult): boolean {
    if (result.kind !== 'never-ran' || this.#body === undefined || this.#sequence.nextOffset > 0) return false
    return settlers.provesNeverRan(this.#request.intent(), result.rememberedMs, this.#context.clock)
  }

  async #cancel (failure: targets.targetError.TargetError | undefined): Promise<targets.engineTypes.CancelResult> {
    try {
      return await this.#engine().cancel(this.#request.requestId, this.#request.incarnation.id)
    } catch (error) {
      throw this.#lost(this.#sink.begun ? 'answer_cut' : 'outcome_unknown', failure?.message ?? (error as Error).message)
    }
  }

  #lost (tag: decisions.problem.ProblemTag, detail: string): decisions.problem.ProblemError {
    const timedOut = this.#timedOut ? 'request timeout; ' : ''
    return new decisions.problem.ProblemError({ tag, step: 'relay', peer: decisions.problem.Peer.target, detail: timedOut + detail })
  }

  #engine (): targets.engineClient.EngineClient {
    const engine = this.#context.directory.engine(this.#request.target)
    if (engine !== undefined) return engine
    throw new targets.targetError.TargetError(this.#request.target, 'connect', 'the target is no longer configured', decisions.retryRules.DispatchKnowledge.neverSent)
  }
}

/** Relays an answer, bills it, and only then passes its last frame on. Throws as FrameRelay.run does. */
export async function relayAndBill (context: contexts.CallContext, relay: FrameRelay, request: admitted.AdmittedRequest, sink: callers.callerTypes.AnswerSink): Promise<void> {
  context.streams.enter(request, () => { relay.handOver() })
  try {
    const last = await relay.run()
    await request.closeBilled(settlers.billOf(request.intent(), last.usage, last.complete))
    context.streams.billed(request)
    if (!last.complete) throw new decisions.problem.ProblemError({ tag: 'answer_cut', step: 'relay', peer: decisions.problem.Peer.target })
    sink.frame(last.data)
    sink.end()
  } finally {
    context.streams.leave(request.requestId)
  }
}

function asTargetError (error: unknown, target: string): targets.targetError.TargetError {
  if (error instanceof targets.targetError.TargetError) return error
  return new targets.targetError.TargetError(target, 'relay', (error as Error).message, decisions.retryRules.DispatchKnowledge.partOfAnswer)
}
