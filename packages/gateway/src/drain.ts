import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as answerRaces from './answer-race.js'
import type * as calls from './call.js'

/** Resolves when the response accepts more data, its connection has closed or the call is aborted. */
export function waitForDrain (response: http.ServerResponse, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      response.off('drain', done)
      response.off('close', done)
      signal.removeEventListener('abort', done)
      resolve()
    }
    response.on('drain', done)
    response.on('close', done)
    signal.addEventListener('abort', done)
    if (signal.aborted) done()
  })
}

/**
 * Writes an answer to its caller as it arrives. Reads ahead of a slow caller as far as the account of memory allows, since a target cuts off an
 * answer that stays unread.
 */
export class CallerWriter {
  readonly #call: calls.Call
  readonly #send: answerRaces.SendInProgress

  constructor (call: calls.Call, send: answerRaces.SendInProgress) {
    this.#call = call
    this.#send = send
  }

  /** Resolves when more may be read from the target. */
  async write (bytes: Buffer): Promise<void> {
    const { response, heldAnswer } = this.#call
    const hasRoom = runtime.blockPool.processPool.write(response, bytes, () => { this.#count() })
    if (hasRoom) return
    this.#count()
    if (heldAnswer.mayReadAhead) return
    await this.#send.waitForCaller(waitForDrain(response, this.#send.signal))
    this.#count()
  }

  #count (): void {
    const { response, heldAnswer, route } = this.#call
    heldAnswer.setBytes(response.writableLength, route.resumable)
  }
}
