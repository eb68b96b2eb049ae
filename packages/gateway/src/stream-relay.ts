import type * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as answerRaces from './answer-race.js'
import type * as calls from './call.js'
import * as drain from './drain.js'
import type * as sendOutcomes from './send-outcome.js'

/** Largest event that the gateway holds in memory until it is complete, in bytes. */
const MAXIMUM_EVENT_BYTES = 256 * 1024

/**
 * Forwards a target's server-sent events to the caller as they arrive, complete events only. The status and headers go out with the
 * first event, so that until then the request can still move to another target.
 */
export class StreamRelay {
  readonly #call: calls.Call
  readonly #answer: adapter.targetRequest.TargetResponse
  readonly #race: answerRaces.AnswerRace
  readonly #send: answerRaces.SendInProgress
  readonly #clock: decisions.clock.Clock
  readonly #writer: drain.CallerWriter
  readonly #onFirstEvent: () => void
  readonly #splitter = new runtime.eventSplitter.EventSplitter(MAXIMUM_EVENT_BYTES)

  constructor (call: calls.Call, answer: adapter.targetRequest.TargetResponse, race: answerRaces.AnswerRace, send: answerRaces.SendInProgress, clock: decisions.clock.Clock, onFirstEvent: () => void) {
    this.#call = call
    this.#answer = answer
    this.#race = race
    this.#send = send
    this.#writer = new drain.CallerWriter(call, send)
    this.#clock = clock
    this.#onFirstEvent = onFirstEvent
  }

  /** Relays until the target's stream ends, and ends the caller's response only if the stream is complete. */
  async run (source: http.IncomingMessage): Promise<sendOutcomes.SendOutcome> {
    try {
      for await (const chunk of source) {
        if (!await this.#forwardEvents(chunk as Buffer)) return { kind: 'overtaken' }
      }
    } catch (error) {
      return this.#interruptedOutcome((error as Error).message, runtime.httpCall.isConnectionLost(error))
    }
    if (!source.complete || this.#splitter.bufferedBytes > 0) return this.#interruptedOutcome('the stream ended early', true)
    if (!this.#race.claim(this.#send)) return { kind: 'overtaken' }
    this.#sendHead()
    this.#call.response.end()
    return { kind: 'answered', status: this.#answer.status }
  }

  /** Returns false if another send has begun to answer the caller. */
  async #forwardEvents (chunk: Buffer): Promise<boolean> {
    this.#send.recordProgress()
    const events = this.#splitter.push(chunk)
    if (events.length === 0) return true
    if (!this.#race.claim(this.#send)) return false
    this.#sendHead()
    for (const event of events) {
      this.#call.events += 1
      if (event.id !== undefined) this.#call.lastEventId = event.id
    }
    await this.#writer.write(events.length === 1 ? events[0].bytes : Buffer.concat(events.map((event) => event.bytes)))
    return true
  }

  #sendHead (): void {
    const { response } = this.#call
    if (response.headersSent || response.destroyed) return
    this.#call.firstEventAt = this.#clock.now()
    this.#onFirstEvent()
    response.writeHead(this.#answer.status, this.#answer.forwardedHeaders)
  }

  #interruptedOutcome (reason: string, isConnectionLost: boolean): sendOutcomes.SendOutcome {
    return this.#call.response.headersSent ? { kind: 'cut', reason, isConnectionLost } : { kind: 'lost', reason, isConnectionLost }
  }
}
