import type * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as calls from './call.js'
import * as drain from './drain.js'
import type * as flows from './request-flow.js'

/** Largest event that the gateway holds in memory until it is complete, in bytes. */
const MAXIMUM_EVENT_BYTES = 256 * 1024

/**
 * Forwards a target's server-sent events to the caller as they arrive, complete events only. The status and headers go out with the
 * first event, so that until then the request can still move to another target.
 */
export class StreamRelay {
  readonly #call: calls.Call
  readonly #answer: adapter.targetRequest.TargetResponse
  readonly #clock: decisions.clock.Clock
  readonly #onFirstEvent: () => void
  readonly #splitter = new runtime.eventSplitter.EventSplitter(MAXIMUM_EVENT_BYTES)

  constructor (call: calls.Call, answer: adapter.targetRequest.TargetResponse, clock: decisions.clock.Clock, onFirstEvent: () => void) {
    this.#call = call
    this.#answer = answer
    this.#clock = clock
    this.#onFirstEvent = onFirstEvent
  }

  /** Relays until the target's stream ends, and ends the caller's response only if the stream is complete. */
  async run (source: http.IncomingMessage): Promise<flows.SendOutcome> {
    try {
      for await (const chunk of source) await this.#forwardEvents(chunk as Buffer)
    } catch (error) {
      return this.#interruptedOutcome((error as Error).message, runtime.httpCall.isConnectionLost(error))
    }
    if (!source.complete || this.#splitter.bufferedBytes > 0) return this.#interruptedOutcome('the stream ended early', true)
    this.#sendHead()
    this.#call.response.end()
    return { kind: 'answered', status: this.#answer.status }
  }

  async #forwardEvents (chunk: Buffer): Promise<void> {
    const events = this.#splitter.push(chunk)
    if (events.length === 0) return
    this.#sendHead()
    for (const event of events) {
      this.#call.events += 1
      if (event.id !== undefined) this.#call.lastEventId = event.id
    }
    const { response } = this.#call
    const hasRoom = response.write(events.length === 1 ? events[0].bytes : Buffer.concat(events.map((event) => event.bytes)))
    if (!hasRoom) await drain.waitForDrain(response)
  }

  #sendHead (): void {
    const { response } = this.#call
    if (response.headersSent || response.destroyed) return
    this.#call.firstEventAt = this.#clock.now()
    this.#onFirstEvent()
    response.writeHead(this.#answer.status, this.#answer.forwardedHeaders)
  }

  #interruptedOutcome (reason: string, isConnectionLost: boolean): flows.SendOutcome {
    return this.#call.response.headersSent ? { kind: 'cut', reason, isConnectionLost } : { kind: 'lost', reason, isConnectionLost }
  }
}
