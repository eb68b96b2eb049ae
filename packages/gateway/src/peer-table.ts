import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'

type Heartbeat = routers.gatewayMessages.GatewayHeartbeat
type Member = routers.gatewayMessages.GatewayMember

/** Silence after which another gateway is suspected to have failed, in milliseconds. It then gets no callers and no requests. */
const SUSPECT_AFTER_MS = 2000

/** Addition to that for each known gateway, in milliseconds, as gossip takes longer through a larger fleet. */
const SUSPECT_AFTER_PER_GATEWAY_MS = 20

/** Silence after which another gateway is removed from the table, in milliseconds. */
const FORGET_AFTER_MS = 20_000

/** Heartbeats that ask a gateway for its first one. Its address may be that of a gateway that has ended. */
const MAXIMUM_INTRODUCTIONS = 3

/** Gateways whose last sign of life one heartbeat passes on. */
const HEARD_GATEWAYS_PER_HEARTBEAT = 24

interface Peer {
  heartbeat: Heartbeat | undefined
  /** Time of the last sign of life, by its own heartbeat or passed on by another gateway. */
  lastSeenAt: number
  /** Time at which its last heartbeat arrived. */
  heartbeatReceivedAt: number
  /** It was reported as live by `recordHeartbeat`, and not as silent by `takeNewlySilent` since. */
  isReportedLive: boolean
  /** Heartbeats sent to it before its first one arrived. */
  introductions: number
}

/** A gateway that is suspected to have failed. */
export interface SilentGateway {
  sender: Member
  silentMs: number
}

/** Failure detector and last heartbeats of the other gateways, by peer address. Times are monotonic, in milliseconds. */
export class PeerTable {
  readonly #self: string
  readonly #peers = new Map<string, Peer>()
  #heardOffset = 0

  constructor (selfAddress: string) {
    this.#self = selfAddress
  }

  /** Adds an address at which a gateway may be listening. `liveHeartbeats` omits it until its first heartbeat. */
  addAddress (peerAddress: string, now: number): void {
    if (peerAddress === this.#self || this.#peers.has(peerAddress)) return
    this.#peers.set(peerAddress, { heartbeat: undefined, lastSeenAt: now - SUSPECT_AFTER_MS, heartbeatReceivedAt: -Infinity, isReportedLive: false, introductions: 0 })
  }

  /**
   * Records a heartbeat and the signs of life that it passes on. Ignores it if it is this gateway's own, or older than the last one of
   * the same incarnation. Returns true if the sender was not reported as live before.
   */
  recordHeartbeat (heartbeat: Heartbeat, now: number): boolean {
    const { peerAddress } = heartbeat.sender
    if (peerAddress === this.#self) return false
    const known = this.#peers.get(peerAddress)
    if (known?.heartbeat !== undefined && isOutOfOrder(heartbeat, known.heartbeat)) return false
    const wasLive = known !== undefined && known.isReportedLive && this.#isLive(known, now)
    this.#peers.set(peerAddress, { heartbeat, lastSeenAt: now, heartbeatReceivedAt: now, isReportedLive: true, introductions: 0 })
    for (const heard of heartbeat.heard) {
      this.addAddress(heard.peerAddress, now)
      const peer = this.#peers.get(heard.peerAddress)
      if (peer !== undefined) peer.lastSeenAt = Math.max(peer.lastSeenAt, now - heard.ageMs)
    }
    return !wasLive
  }

  /** Updates the free tokens of a gateway from its answer to a transfer, which is newer than its last heartbeat. */
  updateFreeTokens (peerAddress: string, account: string, freeTokens: number): void {
    const heartbeat = this.#peers.get(peerAddress)?.heartbeat
    if (heartbeat !== undefined) heartbeat.freeTokens[account] = freeTokens
  }

  /** Selects live gateways whose signs of life the next heartbeat passes on, round-robin if not all fit. */
  selectHeardGateways (now: number): routers.gatewayMessages.HeardGateway[] {
    const live = [...this.#peers].filter(([, peer]) => this.#isLive(peer, now))
    const count = Math.min(HEARD_GATEWAYS_PER_HEARTBEAT, live.length)
    const start = this.#heardOffset
    this.#heardOffset += count
    return Array.from({ length: count }, (_value, index) => {
      const [peerAddress, peer] = live[(start + index) % live.length]
      return { peerAddress, ageMs: Math.round(now - peer.lastSeenAt) }
    })
  }

  /** Returns the gateways that fell silent since the last call. */
  takeNewlySilent (now: number): SilentGateway[] {
    const silent: SilentGateway[] = []
    for (const peer of this.#peers.values()) {
      if (!peer.isReportedLive || peer.heartbeat === undefined || this.#isLive(peer, now)) continue
      peer.isReportedLive = false
      silent.push({ sender: peer.heartbeat.sender, silentMs: Math.round(now - peer.lastSeenAt) })
    }
    return silent
  }

  /** Returns gateways that have not been heard yet, to send them a heartbeat. Leaves out those that have had some without an answer. */
  takeUnheard (count: number): string[] {
    const unheard = [...this.#peers].filter(([, peer]) => peer.heartbeat === undefined && peer.introductions < MAXIMUM_INTRODUCTIONS).slice(0, count)
    for (const [, peer] of unheard) peer.introductions += 1
    return unheard.map(([address]) => address)
  }

  /** Returns the numbers of gateways that have been heard, of those that are live, and of addresses at which one was heard or may still be. */
  discovered (now: number): { addresses: number, heard: number, live: number } {
    const peers = [...this.#peers.values()]
    const heard = peers.filter(({ heartbeat }) => heartbeat !== undefined)
    const unheard = peers.filter(({ heartbeat, introductions }) => heartbeat === undefined && introductions < MAXIMUM_INTRODUCTIONS)
    return { addresses: heard.length + unheard.length, heard: heard.length, live: heard.filter((peer) => this.#isLive(peer, now)).length }
  }

  /** Removes gateways that were silent for long, and returns the addresses of the others. */
  pruneAndListAddresses (now: number): string[] {
    for (const [address, peer] of this.#peers) {
      if (now - peer.lastSeenAt > FORGET_AFTER_MS) this.#peers.delete(address)
    }
    return [...this.#peers.keys()]
  }

  /** Returns the last heartbeats of the live gateways. */
  liveHeartbeats (now: number): Heartbeat[] {
    const live: Heartbeat[] = []
    for (const peer of this.#peers.values()) {
      if (peer.heartbeat !== undefined && this.#isLive(peer, now)) live.push(peer.heartbeat)
    }
    return live
  }

  /**
   * Returns true if none of the gateways heard lately knows only the token page of an earlier epoch of the store. One that fell silent counts
   * until it is forgotten, except if it was leaving.
   */
  isPageComplete (epoch: number, now: number): boolean {
    return [...this.#peers.values()].every((peer) => {
      if (peer.heartbeat === undefined || (peer.heartbeat.sender.leaving && !this.#isLive(peer, now))) return true
      return peer.heartbeat.pageEpoch === 0 || peer.heartbeat.pageEpoch >= epoch
    })
  }

  /** Returns the number of gateways that are live or have fallen silent lately, but did not leave. */
  knownGateways (): number {
    return [...this.#peers.values()].filter((peer) => peer.heartbeat !== undefined && !peer.heartbeat.sender.leaving).length
  }

  /** Returns the number of addresses at which no gateway has been heard, until they are forgotten. */
  unheardGateways (): number {
    return [...this.#peers.values()].filter((peer) => peer.heartbeat === undefined).length
  }

  /** Returns the live gateways that accept callers. */
  servingGateways (now: number): Member[] {
    return this.liveHeartbeats(now).map((heartbeat) => heartbeat.sender).filter((member) => member.ready && !member.leaving)
  }

  /** Returns what the live gateways have last reported of their requests in flight. */
  workReports (now: number): decisions.workEstimate.WorkReport[] {
    const reports: decisions.workEstimate.WorkReport[] = []
    for (const peer of this.#peers.values()) {
      if (peer.heartbeat !== undefined && this.#isLive(peer, now)) reports.push({ ageMs: now - peer.heartbeatReceivedAt, work: peer.heartbeat.work })
    }
    return reports
  }

  /** Returns what the live gateways have last reported of their use of busy services. */
  serviceUseReports (now: number): decisions.serviceRoom.ServiceUseReport[] {
    return [...this.#peers.values()].flatMap((peer) => peer.heartbeat === undefined || !this.#isLive(peer, now) ? [] : [{ ageMs: now - peer.heartbeatReceivedAt, uses: peer.heartbeat.serviceUse }])
  }

  #isLive (peer: Peer, now: number): boolean {
    return now - peer.lastSeenAt <= SUSPECT_AFTER_MS + this.#peers.size * SUSPECT_AFTER_PER_GATEWAY_MS
  }
}

/** Returns true if the heartbeat was sent before the known one by the same process and overtaken by it. */
function isOutOfOrder (heartbeat: Heartbeat, known: Heartbeat): boolean {
  return heartbeat.sender.incarnation === known.sender.incarnation && heartbeat.sequence < known.sequence
}
