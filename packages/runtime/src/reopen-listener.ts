import type * as http from 'node:http'
import * as net from 'node:net'

/** Pause before another attempt to listen, in milliseconds. */
const LISTEN_RETRY_MS = 50

/**
 * Resets the connections that wait to be accepted by a server and makes it listen again at the same address. Accepted connections stay
 * open. The system closes the waiting ones with the socket, which takes no time from an overloaded process, unlike accepting them.
 */
export function reopenListener (server: http.Server, backlog: number): void {
  const address = server.address() as net.AddressInfo | null
  if (address === null) return
  // The close method of http.Server would close idle connections, too.
  net.Server.prototype.close.call(server)
  listenAgain(server, address, backlog)
}

function listenAgain (server: http.Server, address: net.AddressInfo, backlog: number): void {
  const onError = (): void => { setTimeout(() => { listenAgain(server, address, backlog) }, LISTEN_RETRY_MS) }
  server.once('error', onError)
  server.listen(address.port, address.address, backlog, () => { server.off('error', onError) })
}

/**
 * Listening socket of an HTTP server that can be shut for a while. The system refuses new connections meanwhile, and resets those that wait
 * to be accepted, which takes no time from an overloaded process. Accepted connections are served on.
 */
export class PausableListener {
  readonly #server: http.Server
  readonly #backlog: number
  #address: net.AddressInfo | undefined
  #timer: NodeJS.Timeout | undefined
  #isClosed = false

  constructor (server: http.Server, backlog: number) {
    this.#server = server
    this.#backlog = backlog
  }

  listen (port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, address, this.#backlog, () => {
        this.#server.off('error', reject)
        this.#address = this.#server.address() as net.AddressInfo
        // Node would restart its check of slow requests each time, so that short pauses put it off for ever.
        this.#server.removeAllListeners('listening')
        resolve()
      })
    })
  }

  /** Refuses new connections for a while and resets those that wait to be accepted. Replaces a pause in progress. */
  pause (milliseconds: number): void {
    if (this.#isClosed || this.#address === undefined) return
    clearTimeout(this.#timer)
    this.#closeSocket()
    this.#timer = setTimeout(() => { this.#listenAgain() }, milliseconds)
  }

  /** Resets the connections that wait to be accepted, and takes new ones at once. */
  dropWaiting (): void {
    if (!this.#server.listening) return
    this.#closeSocket()
    this.#listenAgain()
  }

  /** Ends a pause at once. */
  resume (): void {
    if (this.#timer === undefined) return
    clearTimeout(this.#timer)
    this.#listenAgain()
  }

  /** Stops listening for good. */
  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
    this.#closeSocket()
  }

  #closeSocket (): void {
    // The close method of http.Server would close connections whose answers have not been written out, too.
    net.Server.prototype.close.call(this.#server)
  }

  #listenAgain (): void {
    this.#timer = undefined
    if (this.#isClosed || this.#address === undefined) return
    const retry = (): void => {
      this.#timer = setTimeout(() => { this.#listenAgain() }, LISTEN_RETRY_MS)
    }
    this.#server.once('error', retry)
    this.#server.listen(this.#address.port, this.#address.address, this.#backlog, () => { this.#server.off('error', retry) })
  }
}
