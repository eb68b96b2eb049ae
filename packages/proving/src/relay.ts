import * as net from 'node:net'

/** How a relay treats connections. `cut` closes and refuses them; `silent` keeps them open and forwards nothing. */
export const RelayMode = { pass: 'pass', cut: 'cut', silent: 'silent' } as const
export type RelayMode = typeof RelayMode[keyof typeof RelayMode]

/** A relayed connection. */
interface Link {
  inbound: net.Socket
  outbound: net.Socket
  isSilenced: boolean
}

/** A TCP relay on loopback that can cut or silence its connections, to simulate network faults. */
export class Relay {
  readonly #server = net.createServer((socket) => { this.#accept(socket) })
  readonly #links = new Set<Link>()
  #targetPort: number
  #mode: RelayMode = RelayMode.pass
  /** Bytes received in both directions. Includes those that a silent relay drops. */
  bytes = 0

  constructor (targetPort: number) {
    this.#targetPort = targetPort
  }

  /** Listens on a free loopback port and returns it. */
  listen (): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => { resolve((this.#server.address() as net.AddressInfo).port) })
    })
  }

  /** Sets the loopback port to which new connections go. */
  setTargetPort (port: number): void {
    this.#targetPort = port
  }

  /** Applies a mode to open and new connections. */
  setMode (mode: RelayMode): void {
    this.#mode = mode
    if (mode === RelayMode.cut) this.#destroyLinks()
  }

  /** Silences the connections that are open now for good. New connections work. */
  silenceOpenConnections (): void {
    for (const link of this.#links) silenceLink(link)
  }

  close (): void {
    this.#server.close()
    this.#destroyLinks()
  }

  #destroyLinks (): void {
    for (const link of this.#links) {
      link.inbound.destroy()
      link.outbound.destroy()
    }
  }

  #accept (inbound: net.Socket): void {
    if (this.#mode === RelayMode.cut) { inbound.destroy(); return }
    const outbound = net.connect(this.#targetPort, '127.0.0.1')
    const link = { inbound, outbound, isSilenced: false }
    this.#links.add(link)
    for (const socket of [inbound, outbound]) socket.on('data', (chunk) => { this.bytes += chunk.length })
    forwardBothWays(link, () => this.#mode === RelayMode.silent, () => this.#links.delete(link))
  }
}

function silenceLink (link: Link): void {
  link.isSilenced = true
}

function forwardBothWays (link: Link, isSilent: () => boolean, onClosed: () => void): void {
  const forward = (from: net.Socket, to: net.Socket): void => {
    from.setNoDelay(true)
    from.on('data', (chunk) => { if (!link.isSilenced && !isSilent()) to.write(chunk) })
    from.on('end', () => { if (!link.isSilenced && !isSilent()) to.end() })
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      onClosed()
      if (!link.isSilenced && !isSilent()) to.destroy()
    })
  }
  forward(link.inbound, link.outbound)
  forward(link.outbound, link.inbound)
}
