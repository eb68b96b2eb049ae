import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'

type Heartbeat = routers.gatewayMessages.GatewayHeartbeat
type Member = routers.gatewayMessages.GatewayMember

/** Silence after which another gateway gets no callers and no questions, in milliseconds. */
const SUSPECT_AFTER_MS = 2000

/** Added to that for each known gateway, in milliseconds: signs of life take longer through a larger fleet. */
const SUSPECT_PER_GATEWAY_MS = 20

/** Silence after which another gateway is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 20_000

/** Age of a heartbeat up to which its work in flight still tells something, in milliseconds. Most requests take longer. */
const WORK_AGE_MS = 1500

/** Gateways about which one heartbeat passes on signs of life. */
const HEARD_PASSED_ON = 24

interface Peer {
  heartbeat: Heartbeat | undefined
  /** Last sign of life, directly or through others. */
  heardAt: number
  /** When the heartbeat came. */
  heartbeatAt: number
  /** It was heard, and has not been found silent since. */
  isTrusted: boolean
}

/** A gateway that fell silent. */
export interface SilentGateway {
  sender: Member
  silentMs: number
}

/** The other gateways by peer address, with what each last said. */
export class PeerTable {
  readonly #self: string
  readonly #peers = new Map<string, Peer>()
  #passedOn = 0

  constructor (selfAddress: string) {
    this.#self = selfAddress
  }

  /** Adds an address at which a gateway may be. */
  add (peerAddress: string, now: number): void {
    if (peerAddress === this.#self || this.#peers.has(peerAddress)) return
    this.#peers.set(peerAddress, { heartbeat: undefined, heardAt: now - SUSPECT_AFTER_MS, heartbeatAt: -Infinity, isTrusted: false })
  }

  /** Takes a heartbeat. Returns whether its sender was not live before. */
  hear (heartbeat: Heartbeat, now: number): boolean {
    const { peerAddress } = heartbeat.sender
    if (peerAddress === this.#self) return false
    const known = this.#peers.get(peerAddress)
    if (known?.heartbeat !== undefined && isOlder(heartbeat, known.heartbeat)) return false
    const wasLive = known !== undefined && known.isTrusted && this.#isLive(known, now)
    this.#peers.set(peerAddress, { heartbeat, heardAt: now, heartbeatAt: now, isTrusted: true })
    for (const heard of heartbeat.heard) {
      this.add(heard.peerAddress, now)
      const peer = this.#peers.get(heard.peerAddress)
      if (peer !== undefined) peer.heardAt = Math.max(peer.heardAt, now - heard.ageMs)
    }
    return !wasLive
  }

  /** Corrects what a gateway was last heard to hold: its heartbeats are older than its answer to a transfer. */
  noteFreeTokens (peerAddress: string, account: string, freeTokens: number): void {
    const heartbeat = this.#peers.get(peerAddress)?.heartbeat
    if (heartbeat !== undefined) heartbeat.freeTokens[account] = freeTokens
  }

  /** Signs of life to pass on; takes turns where there are many. */
  heard (now: number): routers.gatewayMessages.HeardGateway[] {
    const live = [...this.#peers].filter(([, peer]) => this.#isLive(peer, now))
    const count = Math.min(HEARD_PASSED_ON, live.length)
    const start = this.#passedOn
    this.#passedOn += count
    return Array.from({ length: count }, (_value, index) => {
      const [peerAddress, peer] = live[(start + index) % live.length]
      return { peerAddress, ageMs: Math.round(now - peer.heardAt) }
    })
  }

  /** Gateways that fell silent since the last call. */
  takeSilent (now: number): SilentGateway[] {
    const silent: SilentGateway[] = []
    for (const peer of this.#peers.values()) {
      if (!peer.isTrusted || peer.heartbeat === undefined || this.#isLive(peer, now)) continue
      peer.isTrusted = false
      silent.push({ sender: peer.heartbeat.sender, silentMs: Math.round(now - peer.heardAt) })
    }
    return silent
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
      if (peer.heartbeat !== undefined && this.#isLive(peer, now)) live.push(peer.heartbeat)
    }
    return live
  }

  /** Gateways that take callers. */
  serving (now: number): Member[] {
    return this.live(now).map((heartbeat) => heartbeat.sender).filter((member) => member.ready && !member.leaving)
  }

  /** Work in flight of the other gateways by target. Where only some were heard lately, they stand for all. */
  work (now: number): Map<string, decisions.targetBoard.Work> {
    const sums = new Map<string, decisions.targetBoard.Work>()
    const recent = [...this.#peers.values()].filter((peer) => now - peer.heartbeatAt <= WORK_AGE_MS)
    const scale = recent.length === 0 ? 0 : Math.max(1, this.live(now).length / recent.length)
    for (const { heartbeat } of recent) {
      for (const { id, requests, unreadTokens } of heartbeat?.work ?? []) {
        const sum = sums.get(id) ?? { requests: 0, unreadTokens: 0 }
        sums.set(id, { requests: sum.requests + requests * scale, unreadTokens: sum.unreadTokens + unreadTokens * scale })
      }
    }
    return sums
  }

  #isLive (peer: Peer, now: number): boolean {
    return now - peer.heardAt <= SUSPECT_AFTER_MS + this.#peers.size * SUSPECT_PER_GATEWAY_MS
  }
}

/** Whether a heartbeat was overtaken by one that was sent after it. */
function isOlder (heartbeat: Heartbeat, known: Heartbeat): boolean {
  return heartbeat.sender.incarnation === known.sender.incarnation && heartbeat.sequence < known.sequence
}
