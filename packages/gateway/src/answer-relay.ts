import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as answerRaces from './answer-race.js'
import * as answers from './answers.js'
import type * as calls from './call.js'
import * as drain from './drain.js'
import type * as sendOutcomes from './send-outcome.js'

/** Largest part of an answer that the gateway holds in memory, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024

/** Largest answer that is forwarded, in bytes. A target in trouble may send bytes without end. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024

/**
 * Passes a target's answer that is not a stream to the caller. Holds it back until it is complete, so that the request can still move to
 * another target; only an answer that is too large for that is forwarded as it arrives, up to 16 MiB.
 */
export class AnswerRelay {
  readonly #call: calls.Call
  readonly #answer: adapter.targetRequest.TargetResponse
  readonly #race: answerRaces.AnswerRace
  readonly #send: answerRaces.SendInProgress
  #body = new runtime.byteBlocks.ByteBlocks(undefined)
  readonly #writer: drain.CallerWriter
  #receivedBytes = 0
  #isForwarding = false

  constructor (call: calls.Call, answer: adapter.targetRequest.TargetResponse, race: answerRaces.AnswerRace, send: answerRaces.SendInProgress) {
    this.#call = call
    this.#answer = answer
    this.#race = race
    this.#send = send
    this.#writer = new drain.CallerWriter(call, send)
  }

  /** Relays until the target's answer ends, and ends the caller's response only if the answer is complete. */
  async run (source: http.IncomingMessage): Promise<sendOutcomes.SendOutcome> {
    const announcedBytes = source.headers['content-length']
    if (announcedBytes !== undefined) this.#body = new runtime.byteBlocks.ByteBlocks(Number(announcedBytes))
    const outcome = await this.#relay(source)
    if (outcome.kind !== 'failed') this.#body.release()
    return outcome
  }

  async #relay (source: http.IncomingMessage): Promise<sendOutcomes.SendOutcome> {
    try {
      for await (const chunk of source) {
        this.#send.recordProgress()
        this.#receivedBytes += (chunk as Buffer).length
        if (this.#receivedBytes > MAXIMUM_ANSWER_BYTES) return this.#interruptedOutcome('the answer is too large')
        if (this.#isForwarding) await this.#writer.write(chunk as Buffer)
        else if (!await this.#buffer(chunk as Buffer)) return this.#notForwardedOutcome('the answer is too large')
      }
    } catch (error) {
      return this.#interruptedOutcome((error as Error).message, runtime.httpCall.isConnectionLost(error))
    }
    return source.complete ? this.#complete() : this.#interruptedOutcome('the answer ended early', true)
  }

  /** Buffers a part of the body, or starts to forward the answer. Returns false if it must neither be buffered nor forwarded. */
  async #buffer (chunk: Buffer): Promise<boolean> {
    this.#body.append(chunk)
    this.#call.heldAnswer.setBytes(this.#body.occupiedBytes)
    if (this.#receivedBytes <= MAXIMUM_BUFFERED_BYTES) return true
    const { response } = this.#call
    if (!this.#isForwardable || response.headersSent || response.destroyed || !this.#race.claim(this.#send)) return false
    this.#isForwarding = true
    response.writeHead(this.#answer.status, this.#answer.forwardedHeaders)
    // The writer keeps small blocks as they are, and copies large ones.
    for (const block of this.#body.blocks) await this.#writer.write(block.length < runtime.blockPool.POOLED_BYTES ? Buffer.from(block) : block)
    this.#body.release()
    return true
  }

  #complete (): sendOutcomes.SendOutcome {
    const { status, forwardedHeaders } = this.#answer
    if (this.#isForwarding) {
      this.#call.response.end()
      return { kind: 'answered', status }
    }
    if (!this.#isForwardable && status < 500) return this.#notForwardedOutcome('the answer is not signed')
    if (this.#answer.wasNotExecuted) return this.#notForwardedOutcome('')
    const buffered = { status, headers: forwardedHeaders, body: this.#body }
    // Another target that still works on the request may answer it.
    if (status >= 500 || (status >= 300 && this.#race.size > 1)) return { kind: 'failed', answer: buffered }
    if (this.#call.response.headersSent) return this.#notForwardedOutcome('the answer does not continue the stream')
    if (!this.#race.claim(this.#send)) return { kind: 'overtaken' }
    answers.forwardAnswer(this.#call.response, buffered)
    this.#watchClose(buffered.body)
    return { kind: 'answered', status }
  }

  /** A response that waits behind others on its connection emits no event when that closes. */
  #watchClose (body: runtime.byteBlocks.ByteBlocks): void {
    const { response, heldAnswer } = this.#call
    response.once('close', heldAnswer.watchClose(() => { body.endSending(response) }))
  }

  /** The answer counts. A failure does not: another target may still answer. */
  get #isForwardable (): boolean {
    const { status, wasNotExecuted, isSigned } = this.#answer
    return !wasNotExecuted && status < 500 && (isSigned || status < 200 || status >= 300)
  }

  #interruptedOutcome (reason: string, isConnectionLost = false): sendOutcomes.SendOutcome {
    return this.#isForwarding ? { kind: 'cut', reason, isConnectionLost } : this.#notForwardedOutcome(reason, isConnectionLost)
  }

  #notForwardedOutcome (reason: string, isConnectionLost = false): sendOutcomes.SendOutcome {
    return this.#answer.wasNotExecuted ? { kind: 'not-run', reason: `status ${this.#answer.status}` } : { kind: 'lost', reason, isConnectionLost }
  }
}
