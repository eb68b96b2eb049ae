import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Counts requests from their arrival until their answers have been written out or their connections have closed. */
export class RequestsInProgress {
  /** Answers that have been handed to Node but not yet written out, for each open connection. */
  readonly #unwrittenAnswers = new Map<net.Socket, Set<http.ServerResponse>>()
  #count = 0

  /** Requests whose answers have not been written out and whose callers are connected, or that are still being served. */
  get count (): number {
    return this.#count
  }

  trackConnection (socket: net.Socket): void {
    const unwritten = new Set<http.ServerResponse>()
    this.#unwrittenAnswers.set(socket, unwritten)
    socket.on('close', () => {
      this.#unwrittenAnswers.delete(socket)
      this.#count -= unwritten.size
      unwritten.clear()
    })
  }

  closeIdleConnections (): void {
    for (const socket of this.#unwrittenAnswers.keys()) {
      if (runtime.httpServer.isIdle(socket)) socket.destroy()
    }
  }

  begin (): void {
    this.#count += 1
  }

  /** Ends a request that gets no answer. */
  end (): void {
    this.#count -= 1
  }

  /** Ends a request once its answer has been written out or its connection has closed. */
  endWhenWritten (message: http.IncomingMessage, response: http.ServerResponse): void {
    const unwritten = this.#unwrittenAnswers.get(message.socket)
    if (unwritten === undefined || response.writableFinished) {
      this.#count -= 1
      return
    }
    unwritten.add(response)
    response.on('finish', () => {
      if (unwritten.delete(response)) this.#count -= 1
    })
  }
}
