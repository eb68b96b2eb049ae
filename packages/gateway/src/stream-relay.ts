import type * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as calls from './call.js'
import type * as flows from './request-flow.js'

/** Passes a target's events on as they come, whole events only. The answer's head goes out with the first event. */
export class StreamRelay {
  readonly #call: calls.Call
  readonly #answer: adapter.targetRequest.TargetAnswer
  readonly #clock: decisions.clock.Clock
  readonly #onFirstEvent: () => void
  readonly #splitter = new runtime.eventSplitter.EventSplitter()

  constructor (call: calls.Call, answer: adapter.targetRequest.TargetAnswer, clock: decisions.clock.Clock, onFirstEvent: () => void) {
    this.#call = call
    this.#answer = answer
    this.#clock = clock
    this.#onFirstEvent = onFirstEvent
  }

  /** Relays to the end of the target's stream. */
  async run (source: http.IncomingMessage): Promise<flows.SendOutcome> {
    try {
      for await (const chunk of source) await this.#pass(chunk as Buffer)
    } catch (error) {
      return this.#broken((error as Error).message)
    }
    if (!source.complete || this.#splitter.restBytes > 0) return this.#broken('the stream ended early')
    this.#begin()
    this.#call.response.end()
    return { kind: 'answered', status: this.#answer.status }
  }

  async #pass (chunk: Buffer): Promise<void> {
    const events = this.#splitter.push(chunk)
    if (events.length === 0) return
    this.#begin()
    for (const event of events) {
      this.#call.events += 1
      if (event.id !== undefined) this.#call.lastEventId = event.id
    }
    const { response } = this.#call
    const flushed = response.write(events.length === 1 ? events[0].bytes : Buffer.concat(events.map((event) => event.bytes)))
    if (!flushed) await drained(response)
  }

  #begin (): void {
    const { response } = this.#call
    if (response.headersSent || response.destroyed) return
    this.#call.firstEventAt = this.#clock.now()
    this.#onFirstEvent()
    response.writeHead(this.#answer.status, this.#answer.passedHeaders)
  }

  #broken (reason: string): flows.SendOutcome {
    return this.#call.response.headersSent ? { kind: 'cut', reason } : { kind: 'lost', reason }
  }
}

function drained (response: http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      response.off('drain', done)
      response.off('close', done)
      resolve()
    }
    response.on('drain', done)
    response.on('close', done)
  })
}
