import * as dgram from 'node:dgram'
import type * as messages from './gateway-messages.js'
import * as definition from './peer-definition.js'

/** An IP address with its port; a datagram to anything else could not be sent. */
const ADDRESS = /^[\d.]+:\d{1,5}$/

/** What becomes of datagrams. */
export interface HeartbeatHandler {
  heard: (heartbeat: messages.GatewayHeartbeat) => void
  /** A datagram could not be read, or one could not be sent. */
  failed: (peerAddress: string, reason: string) => void
}

/**
 * Sends and receives the heartbeats of gateways. Datagrams cost less than calls, keep no connection that could go
 * silent, and one that is lost is made good by the next.
 */
export class HeartbeatSocket {
  readonly #socket = dgram.createSocket('udp4')
  readonly #handler: HeartbeatHandler

  constructor (handler: HeartbeatHandler) {
    this.#handler = handler
    this.#socket.on('message', (datagram, sender) => { this.#take(datagram, `${sender.address}:${sender.port}`) })
  }

  /** Listens at a port; rejects where it is taken. */
  async listen (port: number, address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, address, () => {
        this.#socket.off('error', reject)
        this.#socket.on('error', (error) => { this.#handler.failed('', error.message) })
        resolve()
      })
    })
  }

  /** Sends a heartbeat to some gateways. */
  send (heartbeat: messages.GatewayHeartbeat, peerAddresses: readonly string[]): void {
    const datagram = definition.heartbeatCodec.serialize(heartbeat)
    for (const peerAddress of peerAddresses) {
      const [host, port] = peerAddress.split(':')
      this.#socket.send(datagram, Number(port), host, (error) => {
        if (error !== null) this.#handler.failed(peerAddress, error.message)
      })
    }
  }

  close (): void {
    this.#socket.close()
  }

  #take (datagram: Buffer, sender: string): void {
    const heartbeat = decode(datagram)
    if (heartbeat === undefined) this.#handler.failed(sender, 'the datagram is no heartbeat')
    else this.#handler.heard(heartbeat)
  }
}

/** Undefined for what is no heartbeat. An empty datagram decodes to a message without a sender. */
function decode (datagram: Buffer): messages.GatewayHeartbeat | undefined {
  try {
    const heartbeat = definition.heartbeatCodec.deserialize(datagram) as Partial<messages.GatewayHeartbeat>
    const addresses = [heartbeat.sender?.peerAddress ?? '', ...(heartbeat.heard ?? []).map((heard) => heard.peerAddress)]
    return addresses.every((address) => ADDRESS.test(address)) ? heartbeat as messages.GatewayHeartbeat : undefined
  } catch {
    return undefined
  }
}
