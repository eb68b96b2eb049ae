import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Share of the bound of requests in progress on a connection at which reading from it goes on. */
const RESUMED_SHARE = 0.5

/** Requests read from a connection and not answered at which it is closed, if none of them has been passed on. What has been read at once is parsed whole. */
const CLOSED_REQUESTS_AHEAD = 256

/** Time after which a connection is closed whose next request is overdue because it wasn't read, if it is read again, in milliseconds. */
const OVERDUE_MS = 5000

/** Time without reading after which a caller's connection is closed once the time limit of its request has passed, in milliseconds. */
const UNREAD_MS = 10_000

/** Why a caller's connection is closed. */
export const CloseReason = { requestsAhead: 'requests-ahead', connections: 'connections', unreadAnswers: 'unread-answers', overdue: 'overdue' } as const
export type CloseReason = typeof CloseReason[keyof typeof CloseReason]

/** Statuses of requests that could not be read, by the code of the error. */
const UNREADABLE_STATUS: Record<string, string | undefined> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

interface Connection {
  answers: runtime.memoryAccount.AnswerHolding
  requestsInProgress: number
  /** Requests in progress that a target may have begun to run. */
  requestsPassedOn: number
  /** Starts of the requests that have been read beyond the bound, in order. */
  unstarted: Array<() => void>
  /** Called when the connection closes. Responses that wait behind others emit no event then. */
  closeListeners: Set<() => void>
  isPaused: boolean
  /** The next request may be late because the connection was paused. */
  mayBeLate: boolean
}

/** The connections of callers: bounds their number and the requests that are sent ahead on each. */
export class CallerConnections {
  readonly #maximumConnections: number
  /** Requests in progress on a connection at which no more are started or read from it. */
  readonly #maximumRequestsAhead: number
  readonly #memory: runtime.memoryAccount.MemoryAccount
  readonly #onClosed: (reason: CloseReason, caller: string | undefined) => void
  /** In the order of their last requests. */
  readonly #connections = new Map<net.Socket, Connection>()

  constructor (maximumConnections: number, memory: runtime.memoryAccount.MemoryAccount, onClosed: (reason: CloseReason, caller: string | undefined) => void) {
    this.#maximumConnections = maximumConnections
    this.#maximumRequestsAhead = decisions.memoryYielding.requestsAheadLimit(memory.capacityBytes)
    this.#memory = memory
    this.#onClosed = onClosed
  }

  get size (): number {
    return this.#connections.size
  }

  /** Takes a new connection. Where there are too many, closes the one without a request that has stood still longest, or else the new one. */
  add (socket: net.Socket): void {
    const answers = this.#memory.openAnswers(() => { this.close(socket, CloseReason.unreadAnswers) }, () => runtime.sentBytes.sentBytes(socket))
    const connection: Connection = { answers, requestsInProgress: 0, requestsPassedOn: 0, unstarted: [], closeListeners: new Set(), isPaused: false, mayBeLate: false }
    this.#connections.set(socket, connection)
    // Node's HTTP server resumes a socket at the end of each message.
    socket.on('resume', () => { if (connection.isPaused) socket.pause() })
    socket.on('close', () => {
      this.#connections.delete(socket)
      connection.unstarted.length = 0
      for (const listener of connection.closeListeners) listener()
      answers.add(-answers.bytes)
    })
    if (this.#connections.size > this.#maximumConnections) this.close(this.#stillest() ?? socket, CloseReason.connections)
  }

  /** Starts a request once few enough are in progress on its connection, and counts it until its response has ended. Never starts it if the connection closes before. */
  takeRequest (socket: net.Socket, response: http.ServerResponse, start: () => void): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined || socket.destroyed) return
    this.#connections.delete(socket)
    this.#connections.set(socket, connection)
    connection.mayBeLate = connection.isPaused
    response.on('close', () => { this.#recordEnd(socket, connection) })
    if (connection.requestsInProgress < this.#maximumRequestsAhead) {
      connection.requestsInProgress += 1
      start()
    } else {
      connection.unstarted.push(start)
      const unanswered = connection.requestsInProgress + connection.unstarted.length
      if (unanswered >= CLOSED_REQUESTS_AHEAD && connection.requestsPassedOn === 0) {
        this.close(socket, CloseReason.requestsAhead)
        return
      }
    }
    if (connection.requestsInProgress >= this.#maximumRequestsAhead && !connection.isPaused) {
      connection.isPaused = true
      connection.mayBeLate = true
      socket.pause()
    }
  }

  /** Notes that a started request may be run by a target from now on: its connection is no longer closed for what is sent ahead. */
  recordPassedOn (socket: net.Socket, response: http.ServerResponse): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.requestsPassedOn += 1
    response.on('close', () => { connection.requestsPassedOn -= 1 })
  }

  /**
   * Closes a connection of which a request could not be read, and answers it as Node does without a listener for such errors. A request that is
   * late because the connection was paused is waited for, so that requests passed on aren't cut.
   */
  endUnreadable (socket: net.Socket, error: NodeJS.ErrnoException): void {
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && this.#excuseLateRequest(socket)) return
    const { _httpMessage: response } = socket as net.Socket & { _httpMessage?: http.ServerResponse }
    if (socket.writable && response?.headersSent !== true) socket.write(`HTTP/1.1 ${UNREADABLE_STATUS[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\n\r\n`)
    socket.destroy(error)
  }

  /** Calls `listener` when a connection closes, at once if it has. Returns a function that ends this. */
  watchClose (socket: net.Socket, listener: () => void): () => void {
    const listeners = this.#connections.get(socket)?.closeListeners
    if (listeners === undefined) listener()
    else listeners.add(listener)
    return () => { listeners?.delete(listener) }
  }

  /** Returns a holding for the answer to one request on a connection. */
  holdAnswer (socket: net.Socket): HeldAnswer {
    return new HeldAnswer(socket, this.#connections.get(socket)?.answers, (listener) => this.watchClose(socket, listener), () => { this.close(socket, CloseReason.unreadAnswers) })
  }

  close (socket: net.Socket, reason: CloseReason): void {
    this.#onClosed(reason, socket.remoteAddress)
    this.#connections.delete(socket)
    socket.destroy()
  }

  #recordEnd (socket: net.Socket, connection: Connection): void {
    connection.requestsInProgress -= 1
    if (socket.destroyed) return
    const start = connection.unstarted.shift()
    if (start !== undefined) {
      connection.requestsInProgress += 1
      start()
    } else if (connection.isPaused && connection.requestsInProgress <= this.#maximumRequestsAhead * RESUMED_SHARE) {
      connection.isPaused = false
      socket.resume()
    }
  }

  #excuseLateRequest (socket: net.Socket): boolean {
    const connection = this.#connections.get(socket)
    if (connection?.mayBeLate !== true) return false
    const timer = setInterval(() => {
      if (socket.destroyed || !connection.mayBeLate) clearInterval(timer)
      else if (!connection.isPaused && connection.requestsPassedOn === 0) this.close(socket, CloseReason.overdue)
    }, OVERDUE_MS)
    timer.unref()
    return true
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
  /** Calls a listener when the connection closes. Returns a function that ends this. */
  readonly watchClose: (listener: () => void) => () => void
  readonly #closeConnection: () => void
  #bytes = 0

  constructor (socket: net.Socket, answers: runtime.memoryAccount.AnswerHolding | undefined, watchClose: (listener: () => void) => () => void, closeConnection: () => void) {
    this.#socket = socket
    this.#closeConnection = closeConnection
    this.#answers = answers
    this.watchClose = watchClose
  }

  /** The target may be read although the caller has yet to read what came before. */
  get mayReadAhead (): boolean {
    return this.#answers?.mayReadAhead === true
  }

  /** Closes the connection if its caller reads nothing of a complete answer for long, from the time limit of the request on. */
  limitUnread (response: http.ServerResponse, remainingMs: number): void {
    const socket = this.#socket
    let sentBytes = -1
    const check = (): void => {
      const sentBefore = sentBytes
      sentBytes = runtime.sentBytes.sentBytes(socket)
      if (socket.writableLength > 0 && sentBytes === sentBefore) this.#closeConnection()
      else timer = setTimeout(check, UNREAD_MS)
    }
    let timer = setTimeout(check, Math.max(0, remainingMs))
    const stop = (): void => { clearTimeout(timer) }
    const endWatch = this.watchClose(stop)
    response.on('finish', () => {
      stop()
      endWatch()
    })
  }

  /** `isResumable` says that the caller can have the answer continued on another connection. */
  setBytes (bytes: number, isResumable = false): void {
    if (this.#socket.destroyed) return
    if (this.#answers !== undefined && bytes > 0) this.#answers.isResumable = isResumable
    const added = bytes - this.#bytes
    this.#bytes = bytes
    this.#answers?.add(added)
  }
}
