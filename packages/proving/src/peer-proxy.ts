import * as http from 'node:http'
import * as net from 'node:net'

/** An HTTP CONNECT proxy through which one router reaches its peers, so that the connection of a single pair can be cut. */
export class PeerProxy {
  readonly #server = http.createServer()
  readonly #sockets = new Map<net.Socket, string>()
  readonly #isCut: (address: string) => boolean
  /** Bytes received in both directions. */
  bytes = 0

  constructor (isCut: (address: string) => boolean) {
    this.#isCut = isCut
    this.#server.on('connect', (request, socket: net.Socket) => { this.#connect(request.url ?? '', socket) })
  }

  /** Listens on a free loopback port and returns it. */
  listen (): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => { resolve((this.#server.address() as net.AddressInfo).port) })
    })
  }

  /** Closes open connections to addresses that are now cut. */
  closeCutConnections (): void {
    for (const [socket, address] of this.#sockets) {
      if (this.#isCut(address)) socket.destroy()
    }
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets.keys()) socket.destroy()
  }

  #connect (address: string, inbound: net.Socket): void {
    if (this.#isCut(address)) { inbound.destroy(); return }
    const [host, port] = address.split(':')
    const outbound = net.connect(Number(port), host, () => {
      inbound.write('HTTP/1.1 200 Connection established\r\n\r\n')
      inbound.pipe(outbound)
      outbound.pipe(inbound)
    })
    inbound.setNoDelay(true)
    outbound.setNoDelay(true)
    this.#track(inbound, outbound, address)
    this.#track(outbound, inbound, address)
  }

  #track (socket: net.Socket, peer: net.Socket, address: string): void {
    this.#sockets.set(socket, address)
    socket.on('data', (chunk: Buffer) => { this.bytes += chunk.length })
    socket.on('error', () => { peer.destroy() })
    socket.on('close', () => {
      this.#sockets.delete(socket)
      peer.destroy()
    })
  }
}
