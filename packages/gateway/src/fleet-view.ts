import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as peerTables from './peer-table.js'
import type * as tokenTypes from './token-types.js'

/** Time for which the view of a large fleet is cached, in milliseconds: the interval between two rounds of heartbeats. */
const LARGE_FLEET_CACHE_MS = 300

/** Time after a start within which a gateway may not have heard the others, in milliseconds. */
const INTRODUCTION_TIME_MS = 2000

/** A large fleet as of one moment, and what was worked out from it since. */
interface LargeFleet {
  selectedAt: number
  /** Gateways that draw tokens. */
  drawingGateways: string[]
  /** Gateways in the order in which they are asked to write the token page. */
  pageWriters: string[]
  heartbeats: Map<string, routers.gatewayMessages.GatewayHeartbeat>
  holders: Map<string, tokenTypes.AccountHolders>
  /** Position of this gateway in the order of those that watch the store; undefined before it is asked for. */
  watchRank: number | undefined
}

/** The fleet as this gateway sees it by the heartbeats that it received. */
export class FleetView {
  readonly #self: decisions.tokenHolders.HolderCandidate
  readonly #peers: peerTables.PeerTable
  readonly #clock: decisions.clock.Clock
  readonly #storeReach: decisions.storeReach.StoreReach
  readonly #startedAt: number
  readonly #isLeaving: () => boolean
  readonly #watchDuty = new decisions.watchDuty.WatchDuty()
  #largeFleet: LargeFleet | undefined
  #hasKnownFleet = false

  constructor (self: decisions.tokenHolders.HolderCandidate, peers: peerTables.PeerTable, clock: decisions.clock.Clock, storeReach: decisions.storeReach.StoreReach, isLeaving: () => boolean) {
    this.#self = self
    this.#peers = peers
    this.#clock = clock
    this.#storeReach = storeReach
    this.#startedAt = clock.now()
    this.#isLeaving = isLeaving
  }

  /** Returns false while this gateway has not heard most gateways of a large fleet, so that it can't tell which of them acts for the others. */
  isFleetKnown (): boolean {
    if (this.#hasKnownFleet) return true
    const discovery = this.#discovery()
    this.#hasKnownFleet = decisions.fleetSize.isFleetKnown(discovery)
    return this.#hasKnownFleet || !decisions.fleetSize.isLargeFleet(discovery)
  }

  /** Returns false while this gateway may take itself for a keeper because it has not heard the others yet. */
  isIntroduced (): boolean {
    return this.#clock.now() - this.#startedAt >= INTRODUCTION_TIME_MS && this.isFleetKnown()
  }

  #discovery (): decisions.fleetSize.Discovery {
    const now = this.#clock.now()
    return { uptimeMs: now - this.#startedAt, ...this.#peers.discovered(now) }
  }

  /** Returns the number of live gateways, this one included. */
  gatewayCount (): number {
    return 1 + this.#live().length
  }

  /** Returns the number of gateways that are live, have fallen silent lately, or have an address at which none has been heard, this one included. */
  knownGatewayCount (): number {
    return 1 + Math.max(this.#live().length, this.#peers.knownGateways()) + this.#peers.unheardGateways()
  }

  /** Returns the other live gateways that accept callers. */
  servingGateways (): routers.gatewayMessages.GatewayMember[] {
    return this.#peers.servingGateways(this.#clock.now())
  }

  /** Returns true if a live gateway has known a token page before the given epoch of the store. */
  isEarlierPageKnown (epoch: number): boolean {
    return this.#live().some(({ pageEpoch }) => pageEpoch > 0 && pageEpoch < epoch)
  }

  /** Returns true if all gateways heard lately have entered what they know in the token page of the given epoch of the store. */
  isPageComplete (epoch: number): boolean {
    return this.#peers.isPageComplete(epoch, this.#clock.now())
  }

  /** Returns the position of this gateway in an order of all live gateways for a key, from 0. All gateways agree on it as far as they hear the same ones. */
  rankFor (key: string): number {
    const names = [this.#self.name, ...this.#live().map(({ sender }) => sender.host)]
    return decisions.hashing.rendezvousOrder(names, key, (name) => name).indexOf(this.#self.name)
  }

  /**
   * Returns the peer address of the gateway that keeps a target's limit for all; undefined if that is this gateway. One that leaves keeps it only
   * while none that stays is live.
   */
  keeperOf (target: string): string | undefined {
    const self = { host: this.#self.name, peerAddress: undefined, leaving: this.#isLeaving() }
    const members = [self, ...this.#live().map(({ sender }) => sender)]
    const staying = members.filter(({ leaving }) => !leaving)
    return decisions.hashing.rendezvousOrder(staying.length > 0 ? staying : members, target, (member) => member.host)[0].peerAddress
  }

  /**
   * Returns the live share of all gateways that this one has heard lately, itself included. `countsUnheard` adds the addresses at which none has
   * been heard, as a gateway that has just started may not be heard either.
   */
  reachableShare (countsUnheard: boolean): number {
    const live = this.#live().filter(({ sender }) => !sender.leaving).length
    const unheard = countsUnheard ? this.#peers.unheardGateways() : 0
    return (1 + live) / (1 + Math.max(live, this.#peers.knownGateways()) + unheard)
  }

  /**
   * Returns true if this gateway has to watch the store itself instead of fetching changes from other gateways. `knowledgeAgeMs` is the time
   * since what it knows was current.
   */
  hasWatchDuty (knowledgeAgeMs: number): boolean {
    if (!this.isFleetKnown()) return false
    const fleet = this.#currentLargeFleet()
    if (fleet === undefined) return true
    fleet.watchRank ??= decisions.watchDuty.watchRank(this.#self, [...fleet.heartbeats.values()].map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone })))
    return this.#watchDuty.isDue(fleet.watchRank, knowledgeAgeMs, this.#clock.now())
  }

  /**
   * Returns this gateway's role for an account and the other gateways that draw the account's tokens. In a large fleet the answer is cached
   * for `LARGE_FLEET_CACHE_MS`, as ordering all gateways takes time.
   */
  holders (account: string): tokenTypes.AccountHolders {
    const fleet = this.#currentLargeFleet()
    if (fleet !== undefined) return holdersAmong(fleet, account, this.#self.name)
    const otherHolders = this.#remaining().map(({ sender, freeTokens, spending }) => ({ peerAddress: sender.peerAddress, freeTokens: freeTokens[account] ?? 0, spending: spending[account] ?? 0 }))
    return { role: decisions.tokenHolders.TokenRole.peer, otherHolders }
  }

  /**
   * Returns the peer address of the gateway that writes the token page for all; undefined if that is this one, or every gateway of a small fleet.
   * Gateways at the addresses in `failed` did not write it lately, and are left out as long as there are others.
   */
  pageWriter (failed: ReadonlySet<string>): string | undefined {
    const fleet = this.#currentLargeFleet()
    if (fleet === undefined) return undefined
    const address = (name: string): string | undefined => fleet.heartbeats.get(name)?.sender.peerAddress
    return address(fleet.pageWriters.find((name) => !failed.has(address(name) ?? '')) ?? fleet.pageWriters[0])
  }

  /** Returns false if gateways are cut off from the store, and none is known to reach it. */
  isStoreReachable (): boolean {
    const now = this.#clock.now()
    const reaches = [this.#storeReach.state(now), ...this.#live().map(({ sender }) => decisions.storeReach.toReachState(sender.storeReach))]
    return decisions.storeReach.isReachable(reaches)
  }

  /** Returns the fleet as of a moment ago if it is large; undefined if it is small. */
  #currentLargeFleet (): LargeFleet | undefined {
    const now = this.#clock.now()
    if (this.#largeFleet !== undefined && now - this.#largeFleet.selectedAt < LARGE_FLEET_CACHE_MS) return this.#largeFleet
    const others = this.#remaining()
    this.#largeFleet = decisions.fleetSize.isLargeFleet(this.#discovery()) ? this.#viewLargeFleet(others, now) : undefined
    return this.#largeFleet
  }

  #viewLargeFleet (others: routers.gatewayMessages.GatewayHeartbeat[], now: number): LargeFleet {
    const candidates = others.map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone, processorShare: sender.processorShare }))
    const drawingGateways = decisions.tokenHolders.selectDrawingRouters([this.#self, ...candidates])
    const reaches = others.map(({ sender }) => ({ name: sender.host, reach: decisions.storeReach.toReachState(sender.storeReach) }))
    return {
      selectedAt: now,
      drawingGateways,
      pageWriters: decisions.tokenHolders.orderPageWriters([{ name: this.#self.name, reach: this.#storeReach.state(now) }, ...reaches], drawingGateways),
      heartbeats: new Map(others.map((heartbeat) => [heartbeat.sender.host, heartbeat])),
      holders: new Map(),
      watchRank: undefined
    }
  }

  /** Live gateways that are not leaving. */
  #remaining (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#live().filter(({ sender }) => !sender.leaving)
  }

  #live (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#peers.liveHeartbeats(this.#clock.now())
  }
}

function reachesStore ({ storeReach }: routers.gatewayMessages.GatewayMember): boolean {
  const reach = decisions.storeReach.toReachState(storeReach)
  return reach === decisions.storeReach.ReachState.reached || reach === decisions.storeReach.ReachState.regained
}

function holdersAmong ({ drawingGateways, heartbeats, holders }: LargeFleet, account: string, self: string): tokenTypes.AccountHolders {
  let known = holders.get(account)
  if (known === undefined) {
    const { role, othersToAsk } = decisions.tokenHolders.assignTokenRole(account, self, drawingGateways)
    const others = othersToAsk.map((name) => heartbeats.get(name)).filter((heartbeat) => heartbeat !== undefined)
    known = { role, otherHolders: others.map(({ sender }) => ({ peerAddress: sender.peerAddress, freeTokens: undefined, spending: undefined, reachesStore: reachesStore(sender) })) }
    holders.set(account, known)
  }
  return known
}
