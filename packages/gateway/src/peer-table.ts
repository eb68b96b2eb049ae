import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'

type Heartbeat = routers.gatewayMessages.GatewayHeartbeat
type Member = routers.gatewayMessages.GatewayMember

/** Silence after which another gateway gets no callers and no questions, in milliseconds. */
const SUSPECT_AFTER_MS = 2000

/** Silence after which another gateway is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 20_000

interface Peer {
  heartbeat: Heartbeat | undefined
  heardAt: number
}

/** The other gateways by peer address, with what each last said. */
export class PeerTable {
  readonly #self: string
  readonly #peers = new Map<string, Peer>()

  constructor (selfAddress: string) {
    this.#self = selfAddress
  }

  /** Adds an address at which a gateway may be. */
  add (peerAddress: string, now: number): void {
    if (peerAddress === this.#self || this.#peers.has(peerAddress)) return
    this.#peers.set(peerAddress, { heartbeat: undefined, heardAt: now - SUSPECT_AFTER_MS })
  }

  /** Takes a heartbeat. Returns whether its sender was not live before. */
  hear (heartbeat: Heartbeat, now: number): boolean {
    const { peerAddress } = heartbeat.sender
    if (peerAddress === this.#self) return false
    const known = this.#peers.get(peerAddress)
    const wasLive = known?.heartbeat !== undefined && now - known.heardAt <= SUSPECT_AFTER_MS
    this.#peers.set(peerAddress, { heartbeat, heardAt: now })
    for (const address of heartbeat.peers) this.add(address, now)
    return !wasLive
  }

  /** All addresses to exchange heartbeats with. Forgets gateways that were silent for long. */
  addresses (now: number): string[] {
    for (const [address, peer] of this.#peers) {
      if (now - peer.heardAt > FORGET_AFTER_MS) this.#peers.delete(address)
    }
    return [...this.#peers.keys()]
  }

  /** Heartbeats of the gateways that were heard lately. */
  live (now: number): Heartbeat[] {
    const live: Heartbeat[] = []
    for (const peer of this.#peers.values()) {
      if (peer.heartbeat !== undefined && now - peer.heardAt <= SUSPECT_AFTER_MS) live.push(peer.heartbeat)
    }
    return live
  }

  /** Gateways that take callers. */
  serving (now: number): Member[] {
    return this.live(now).map((heartbeat) => heartbeat.sender).filter((member) => member.ready && !member.leaving)
  }

  /** Work in flight of the live gateways, summed by target. */
  work (now: number): Map<string, decisions.targetBoard.Work> {
    const sums = new Map<string, decisions.targetBoard.Work>()
    for (const heartbeat of this.live(now)) {
      for (const { id, requests, unreadTokens } of heartbeat.work) {
        const sum = sums.get(id) ?? { requests: 0, unreadTokens: 0 }
        sums.set(id, { requests: sum.requests + requests, unreadTokens: sum.unreadTokens + unreadTokens })
      }
    }
    return sums
  }
}
