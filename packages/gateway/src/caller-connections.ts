import type * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Requests in progress on a connection at which no more are read from it, and at which reading goes on. */
const MAXIMUM_REQUESTS_AHEAD = 64
const RESUMED_REQUESTS_AHEAD = 32

/** Requests in progress on a connection at which it is closed. What has been read at once is parsed whole, so that a pause alone doesn't bound them. */
const CLOSED_REQUESTS_AHEAD = 256

/** Why a caller's connection is closed. */
export const CloseReason = { requestsAhead: 'requests-ahead', connections: 'connections', unreadAnswers: 'unread-answers' } as const
export type CloseReason = typeof CloseReason[keyof typeof CloseReason]

interface Connection {
  answers: runtime.memoryAccount.AnswerHolding
  requestsInProgress: number
  isPaused: boolean
}

/** The connections of callers: bounds their number and the requests that are sent ahead on each. */
export class CallerConnections {
  readonly #maximumConnections: number
  readonly #memory: runtime.memoryAccount.MemoryAccount
  readonly #onClosed: (reason: CloseReason, caller: string | undefined) => void
  /** In the order of their last requests. */
  readonly #connections = new Map<net.Socket, Connection>()

  constructor (maximumConnections: number, memory: runtime.memoryAccount.MemoryAccount, onClosed: (reason: CloseReason, caller: string | undefined) => void) {
    this.#maximumConnections = maximumConnections
    this.#memory = memory
    this.#onClosed = onClosed
  }

  get size (): number {
    return this.#connections.size
  }

  /** Takes a new connection. Where there are too many, closes the one without a request that has stood still longest, or else the new one. */
  add (socket: net.Socket): void {
    const answers = this.#memory.openAnswers(() => { this.close(socket, CloseReason.unreadAnswers) })
    this.#connections.set(socket, { answers, requestsInProgress: 0, isPaused: false })
    socket.on('close', () => {
      this.#connections.delete(socket)
      answers.add(-answers.bytes)
    })
    if (this.#connections.size > this.#maximumConnections) this.close(this.#stillest() ?? socket, CloseReason.connections)
  }

  /** Starts a request and counts it until its response has ended. Doesn't start it if too many were sent ahead and the connection is closed. */
  takeRequest (socket: net.Socket, response: http.ServerResponse, start: () => void): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined || socket.destroyed) return
    this.#connections.delete(socket)
    this.#connections.set(socket, connection)
    connection.requestsInProgress += 1
    response.on('close', () => { this.#recordEnd(socket, connection) })
    if (connection.requestsInProgress >= CLOSED_REQUESTS_AHEAD) {
      this.close(socket, CloseReason.requestsAhead)
      return
    }
    if (connection.requestsInProgress >= MAXIMUM_REQUESTS_AHEAD) {
      connection.isPaused = true
      socket.pause()
    }
    start()
  }

  /** Returns a holding for the answer to one request on a connection. */
  holdAnswer (socket: net.Socket): HeldAnswer {
    return new HeldAnswer(socket, this.#connections.get(socket)?.answers)
  }

  close (socket: net.Socket, reason: CloseReason): void {
    this.#onClosed(reason, socket.remoteAddress)
    this.#connections.delete(socket)
    socket.destroy()
  }

  #recordEnd (socket: net.Socket, connection: Connection): void {
    connection.requestsInProgress -= 1
    if (!connection.isPaused || connection.requestsInProgress > RESUMED_REQUESTS_AHEAD || socket.destroyed) return
    connection.isPaused = false
    socket.resume()
  }

  #stillest (): net.Socket | undefined {
    for (const [socket, { requestsInProgress }] of this.#connections) {
      if (requestsInProgress === 0) return socket
    }
    return undefined
  }
}

/** The part of an answer that the gateway holds, because it is not complete or its caller has yet to read it. */
export class HeldAnswer {
  readonly #socket: net.Socket
  readonly #answers: runtime.memoryAccount.AnswerHolding | undefined
  #bytes = 0

  constructor (socket: net.Socket, answers: runtime.memoryAccount.AnswerHolding | undefined) {
    this.#socket = socket
    this.#answers = answers
  }

  setBytes (bytes: number): void {
    if (this.#socket.destroyed) return
    const added = bytes - this.#bytes
    this.#bytes = bytes
    this.#answers?.add(added)
  }
}
