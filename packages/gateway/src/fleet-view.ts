import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as peerTables from './peer-table.js'
import * as tokenTypes from './token-types.js'

/** Time for which an account's holders are cached, in milliseconds: the interval between two rounds of heartbeats. */
const HOLDERS_CACHE_MS = 300

interface CachedHolders {
  chosenAt: number
  holders: tokenTypes.AccountHolders
}

/** The fleet as this gateway sees it by the heartbeats that it received. */
export class FleetView {
  readonly #self: decisions.tokenHolders.HolderCandidate
  readonly #peers: peerTables.PeerTable
  readonly #clock: decisions.clock.Clock
  readonly #cachedHolders = new Map<string, CachedHolders>()

  constructor (self: decisions.tokenHolders.HolderCandidate, peers: peerTables.PeerTable, clock: decisions.clock.Clock) {
    this.#self = self
    this.#peers = peers
    this.#clock = clock
  }

  /** Returns the number of live gateways, this one included. */
  gatewayCount (): number {
    return 1 + this.#live().length
  }

  /** Returns the other live gateways that accept callers. */
  servingGateways (): routers.gatewayMessages.GatewayMember[] {
    return this.#peers.servingGateways(this.#clock.now())
  }

  /** Returns the position of this gateway in an order of all live gateways for a key, from 0. All gateways agree on it as far as they hear the same ones. */
  rankFor (key: string): number {
    const names = [this.#self.name, ...this.#live().map(({ sender }) => sender.host)]
    return decisions.hashing.rendezvousOrder(names, key, (name) => name).indexOf(this.#self.name)
  }

  /** Returns the peer address of the gateway that keeps a target's limit for all; undefined if that is this gateway. */
  keeperOf (target: string): string | undefined {
    const others = this.#live().map(({ sender }) => sender).filter((sender) => !sender.leaving)
    const members = [{ host: this.#self.name, peerAddress: undefined }, ...others]
    return decisions.hashing.rendezvousOrder(members, target, (member) => member.host)[0].peerAddress
  }

  /** Returns the live share of all gateways that this one has heard lately, itself included. */
  reachableShare (): number {
    const live = this.#live().filter(({ sender }) => !sender.leaving).length
    return (1 + live) / (1 + Math.max(live, this.#peers.knownGateways()))
  }

  /** Returns true if this gateway has to watch the store itself instead of fetching changes from other gateways. */
  hasWatchDuty (): boolean {
    const others = this.#live().map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone, storeSilenceMs: sender.storeSilenceMs }))
    return decisions.watchDuty.hasWatchDuty({ ...this.#self, storeSilenceMs: 0 }, others)
  }

  /**
   * Returns this gateway's role for an account and the other gateways that draw the account's tokens. In a large fleet the answer is cached
   * for `HOLDERS_CACHE_MS`, as ordering all gateways takes time.
   */
  holders (account: string): tokenTypes.AccountHolders {
    const now = this.#clock.now()
    const known = this.#cachedHolders.get(account)
    if (known !== undefined && now - known.chosenAt < HOLDERS_CACHE_MS) return known.holders
    const holders = this.#chooseHolders(account)
    if (holders.role === tokenTypes.TokenRole.peer) this.#cachedHolders.clear()
    else this.#cachedHolders.set(account, { chosenAt: now, holders })
    return holders
  }

  #chooseHolders (account: string): tokenTypes.AccountHolders {
    const byHost = new Map(this.#live().filter(({ sender }) => !sender.leaving).map((heartbeat) => [heartbeat.sender.host, heartbeat]))
    const candidates = [...byHost.values()].map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone, processorShare: sender.processorShare }))
    const { names, includesAllRouters } = decisions.tokenHolders.selectTokenHolders(account, this.#self.name, [this.#self, ...candidates])
    const others = names.map((name) => byHost.get(name)).filter((heartbeat) => heartbeat !== undefined)
    return {
      role: includesAllRouters ? tokenTypes.TokenRole.peer : names.includes(this.#self.name) ? tokenTypes.TokenRole.holder : tokenTypes.TokenRole.borrower,
      otherHolders: others.map(({ sender, freeTokens, spending }) => ({
        peerAddress: sender.peerAddress,
        freeTokens: includesAllRouters ? freeTokens[account] ?? 0 : undefined,
        spending: includesAllRouters ? spending[account] ?? 0 : undefined
      }))
    }
  }

  #live (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#peers.liveHeartbeats(this.#clock.now())
  }
}
