import * as routers from '@acaciaweir/routers'
import type * as admitted from './admitted-request.js'

/** Ended streams that are remembered, so that a resumed one is not billed again. */
const REMEMBERED_STREAMS = 20_000

interface RunningStream {
  request: admitted.AdmittedRequest
  handOver: () => void
}

/** Streams of this process that callers may resume at another router. */
export class RunningStreams {
  readonly #running = new Map<string, RunningStream>()
  readonly #billed = new Map<string, string>()

  /** Streams in progress. */
  get size (): number {
    return this.#running.size
  }

  enter (request: admitted.AdmittedRequest, handOver: () => void): void {
    this.#running.set(request.requestId, { request, handOver })
  }

  leave (requestId: string): void {
    this.#running.delete(requestId)
  }

  /** Notes that a stream's bill is durable. */
  billed (request: admitted.AdmittedRequest): void {
    this.#billed.set(request.requestId, request.intent().account)
    if (this.#billed.size <= REMEMBERED_STREAMS) return
    const oldest = this.#billed.keys().next()
    if (oldest.done !== true) this.#billed.delete(oldest.value)
  }

  /** Gives a stream up, or tells that it has been billed. */
  takeOver (requestId: string, account: string): routers.peerMessages.TakeOverReply {
    const { TakeOverState } = routers.peerMessages
    if (this.#billed.get(requestId) === account) return { state: TakeOverState.billed }
    const running = this.#running.get(requestId)
    if (running === undefined || running.request.closed) return { state: TakeOverState.unknown }
    const intent = running.request.intent()
    if (intent.account !== account) return { state: TakeOverState.unknown }
    running.handOver()
    this.leave(requestId)
    return { state: TakeOverState.handedOver, intent }
  }
}
