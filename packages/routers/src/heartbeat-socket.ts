import * as dgram from 'node:dgram'
import type * as messages from './gateway-messages.js'
import * as definition from './peer-definition.js'

const PEER_ADDRESS = /^[\d.]+:(\d{1,5})$/

const MAXIMUM_PORT = 65_535

/** Callbacks of a heartbeat socket. */
export interface HeartbeatHandler {
  /** Called for each heartbeat received. */
  onHeartbeat: (heartbeat: messages.GatewayHeartbeat) => void
  /** Called if a received datagram is not a valid heartbeat, if a send fails, or if the socket fails; `peerAddress` is empty in the last case. */
  onFailure: (peerAddress: string, reason: string) => void
}

/**
 * Sends and receives heartbeats between gateways as UDP datagrams. Datagrams cost less than RPCs, have no connection that
 * could go silent, and need no retransmission, because the next heartbeat replaces a lost one.
 */
export class HeartbeatSocket {
  readonly #socket = dgram.createSocket('udp4')
  readonly #handler: HeartbeatHandler

  constructor (handler: HeartbeatHandler) {
    this.#handler = handler
    this.#socket.on('message', (datagram, sender) => { this.#receive(datagram, `${sender.address}:${sender.port}`) })
  }

  /** Binds the socket to a port and local address. Rejects if the port is in use. */
  async listen (port: number, address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, address, () => {
        this.#socket.off('error', reject)
        this.#socket.on('error', (error) => { this.#handler.onFailure('', error.message) })
        resolve()
      })
    })
  }

  /** Sends a heartbeat to each of the given gateways. Does not wait; a failed send is reported to the handler. */
  send (heartbeat: messages.GatewayHeartbeat, peerAddresses: readonly string[]): void {
    const datagram = definition.heartbeatCodec.serialize(heartbeat)
    for (const peerAddress of peerAddresses) {
      const [host, port] = peerAddress.split(':')
      this.#socket.send(datagram, Number(port), host, (error) => {
        if (error !== null) this.#handler.onFailure(peerAddress, error.message)
      })
    }
  }

  /** Closes the socket. */
  close (): void {
    this.#socket.close()
  }

  #receive (datagram: Buffer, sender: string): void {
    const heartbeat = decodeHeartbeat(datagram)
    if (heartbeat === undefined) this.#handler.onFailure(sender, 'the datagram is not a valid heartbeat')
    else this.#handler.onHeartbeat(heartbeat)
  }
}

/** Returns undefined if the datagram is not a heartbeat. An empty datagram decodes without an error, but to a message without a sender. */
function decodeHeartbeat (datagram: Buffer): messages.GatewayHeartbeat | undefined {
  try {
    const heartbeat = definition.heartbeatCodec.deserialize(datagram) as Partial<messages.GatewayHeartbeat>
    const addresses = [heartbeat.sender?.peerAddress ?? '', ...(heartbeat.heard ?? []).map((heard) => heard.peerAddress)]
    return addresses.every(isPeerAddress) ? heartbeat as messages.GatewayHeartbeat : undefined
  } catch {
    return undefined
  }
}

/** Returns true for an IPv4 address with a port. `send` throws for a port out of range. */
function isPeerAddress (text: string): boolean {
  const port = Number(PEER_ADDRESS.exec(text)?.[1])
  return port > 0 && port <= MAXIMUM_PORT
}
