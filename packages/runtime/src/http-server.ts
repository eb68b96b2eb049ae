import * as http from 'node:http'
import * as net from 'node:net'
import * as reopenListener from './reopen-listener.js'

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 511

/** Interval at which a closing server closes the connections that have become idle, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 20

/** An HTTP server that can close without interrupting requests in progress. */
export class HttpServer {
  readonly #server: http.Server
  readonly #sockets = new Set<net.Socket>()

  constructor (handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>) {
    this.#server = http.createServer((request, response) => {
      handler(request, response).catch((error: Error) => { failResponse(response, error) })
    })
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  /** Reports each new connection. */
  onConnection (listener: (socket: net.Socket) => void): void {
    this.#server.on('connection', listener)
  }

  /** Resets the connections that wait to be accepted. */
  dropWaitingConnections (): void {
    reopenListener.reopenListener(this.#server, LISTEN_BACKLOG)
  }

  /** Starts listening and resolves with the port; port 0 selects a free one. */
  listen (port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, address, LISTEN_BACKLOG, () => {
        const bound = this.#server.address()
        resolve(typeof bound === 'object' && bound !== null ? bound.port : port)
      })
    })
  }

  /**
   * Stops accepting connections and resolves when all requests in progress have ended and their answers have been written out. Closes the
   * connections that are still open after `timeoutMs`.
   */
  close (timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const interval = setInterval(() => { this.#closeIdleConnections() }, IDLE_CHECK_INTERVAL_MS)
      const timer = setTimeout(() => { this.#server.closeAllConnections() }, timeoutMs)
      // The close method of http.Server would close connections whose answers have not been written out, too.
      net.Server.prototype.close.call(this.#server, () => {
        clearInterval(interval)
        clearTimeout(timer)
        resolve()
      })
      this.#closeIdleConnections()
    })
  }

  #closeIdleConnections (): void {
    for (const socket of this.#sockets) {
      if (isIdle(socket)) socket.destroy()
    }
  }

  /** Stops accepting connections and closes the open ones, which interrupts requests in progress. */
  closeNow (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

/** Sends a complete JSON answer. */
export function sendJson (response: http.ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  const text = JSON.stringify(body)
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers
  })
  response.end(text)
}

/**
 * Returns true if a connection of an HTTP server waits for its next request. Node sets a time-out on the connection once the last answer
 * has been written out, and removes it when more data arrives. Its own closeIdleConnections method also closes connections whose answers
 * have ended but have not been written out.
 */
export function isIdle (socket: net.Socket): boolean {
  return (socket.timeout ?? 0) > 0
}

function failResponse (response: http.ServerResponse, error: Error): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  sendJson(response, 500, { title: error.message })
}

/** Address and port on which a server listens. */
export interface ListenAddress {
  address: string
  port: number
}

/** Parses ADDRESS:PORT. Doesn't validate it; the port is NaN if it is not a number. */
export function parseListenAddress (text: string): ListenAddress {
  const colon = text.lastIndexOf(':')
  return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
