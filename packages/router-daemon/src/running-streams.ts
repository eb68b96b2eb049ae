import * as routers from '@acaciaweir/routers'
import type * as admitted from './admitted-request.js'

/** Billed streams are remembered so that a stream resumed after its end is not billed again. */
const MAXIMUM_REMEMBERED_STREAMS = 20_000

interface RunningStream {
  request: admitted.AdmittedRequest
  handOver: () => void
}

/** Tracks the streams of this process that callers may resume at another router. */
export class RunningStreams {
  readonly #running = new Map<string, RunningStream>()
  readonly #accountsByBilledRequest = new Map<string, string>()

  /** Number of streams in progress. */
  get size (): number {
    return this.#running.size
  }

  add (request: admitted.AdmittedRequest, handOver: () => void): void {
    this.#running.set(request.requestId, { request, handOver })
  }

  remove (requestId: string): void {
    this.#running.delete(requestId)
  }

  /** Records that a stream's bill is durable. */
  recordBilled (request: admitted.AdmittedRequest): void {
    this.#accountsByBilledRequest.set(request.requestId, request.intent().account)
    if (this.#accountsByBilledRequest.size <= MAXIMUM_REMEMBERED_STREAMS) return
    const oldest = this.#accountsByBilledRequest.keys().next()
    if (oldest.done !== true) this.#accountsByBilledRequest.delete(oldest.value)
  }

  /** Hands a stream over to another router, unless it has been billed, is unknown, or belongs to another client account. */
  takeOver (requestId: string, account: string): routers.peerMessages.TakeOverReply {
    const { TakeOverState } = routers.peerMessages
    if (this.#accountsByBilledRequest.get(requestId) === account) return { state: TakeOverState.billed }
    const running = this.#running.get(requestId)
    if (running === undefined || running.request.isClosed) return { state: TakeOverState.unknown }
    const intent = running.request.intent()
    if (intent.account !== account) return { state: TakeOverState.unknown }
    running.handOver()
    this.remove(requestId)
    return { state: TakeOverState.handedOver, intent }
  }
}
