import * as net from 'node:net'

/** What a relay does with connections. `silent` keeps them open and passes nothing on. */
export const RelayMode = { pass: 'pass', cut: 'cut', silent: 'silent' } as const
export type RelayMode = typeof RelayMode[keyof typeof RelayMode]

interface Link {
  inbound: net.Socket
  outbound: net.Socket
  muted: boolean
}

/** Passes TCP connections on to another port, until told to cut or silence them. */
export class Relay {
  readonly #server = net.createServer((socket) => { this.#accept(socket) })
  readonly #links = new Set<Link>()
  #targetPort: number
  #mode: RelayMode = RelayMode.pass
  /** Bytes passed on, in both directions. */
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

  /** Changes where new connections go. */
  aim (port: number): void {
    this.#targetPort = port
  }

  /** Applies a mode to open and new connections. */
  set (mode: RelayMode): void {
    this.#mode = mode
    if (mode === RelayMode.cut) this.#destroyAll()
  }

  /** Makes the connections that are open now go silent for good; new ones work. */
  silenceOpen (): void {
    for (const link of this.#links) muteLink(link)
  }

  close (): void {
    this.#server.close()
    this.#destroyAll()
  }

  #destroyAll (): void {
    for (const link of this.#links) {
      link.inbound.destroy()
      link.outbound.destroy()
    }
  }

  #accept (inbound: net.Socket): void {
    if (this.#mode === RelayMode.cut) { inbound.destroy(); return }
    const outbound = net.connect(this.#targetPort, '127.0.0.1')
    const link = { inbound, outbound, muted: false }
    this.#links.add(link)
    for (const socket of [inbound, outbound]) socket.on('data', (chunk) => { this.bytes += chunk.length })
    linkSockets(link, () => this.#mode === RelayMode.silent, () => this.#links.delete(link))
  }
}

function muteLink (link: Link): void {
  link.muted = true
}

function linkSockets (link: Link, isSilent: () => boolean, onClosed: () => void): void {
  const pass = (from: net.Socket, to: net.Socket): void => {
    from.setNoDelay(true)
    from.on('data', (chunk) => { if (!link.muted && !isSilent()) to.write(chunk) })
    from.on('end', () => { if (!link.muted && !isSilent()) to.end() })
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      onClosed()
      if (!link.muted && !isSilent()) to.destroy()
    })
  }
  pass(link.inbound, link.outbound)
  pass(link.outbound, link.inbound)
}
