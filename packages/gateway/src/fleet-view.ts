import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as peerTables from './peer-table.js'
import * as tokenTypes from './token-types.js'

/** Time for which the chosen holders of an account are kept, in milliseconds: that between two rounds of heartbeats. */
const CHOSEN_FOR_MS = 300

interface ChosenHolders {
  chosenAt: number
  holders: tokenTypes.AccountHolders
}

/** What this gateway can tell of the fleet from the heartbeats that it heard. */
export class FleetView {
  readonly #self: decisions.tokenHolders.HolderCandidate
  readonly #peers: peerTables.PeerTable
  readonly #clock: decisions.clock.Clock
  readonly #holders = new Map<string, ChosenHolders>()

  constructor (self: decisions.tokenHolders.HolderCandidate, peers: peerTables.PeerTable, clock: decisions.clock.Clock) {
    this.#self = self
    this.#peers = peers
    this.#clock = clock
  }

  /** Live gateways, this one included. */
  gateways (): number {
    return 1 + this.#live().length
  }

  /** Other gateways that take callers. */
  serving (): routers.gatewayMessages.GatewayMember[] {
    return this.#peers.serving(this.#clock.now())
  }

  /** Whether this gateway has to watch the store itself. */
  hasWatchDuty (): boolean {
    const others = this.#live().map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone, storeSilenceMs: sender.storeSilenceMs }))
    return decisions.watchDuty.hasWatchDuty({ ...this.#self, storeSilenceMs: 0 }, others)
  }

  /** Who draws an account's tokens. In a large fleet chosen anew only now and then, as ordering it takes a while. */
  holders (account: string): tokenTypes.AccountHolders {
    const now = this.#clock.now()
    const known = this.#holders.get(account)
    if (known !== undefined && now - known.chosenAt < CHOSEN_FOR_MS) return known.holders
    const holders = this.#chooseHolders(account)
    if (holders.role === tokenTypes.TokenRole.peer) this.#holders.clear()
    else this.#holders.set(account, { chosenAt: now, holders })
    return holders
  }

  #chooseHolders (account: string): tokenTypes.AccountHolders {
    const byHost = new Map(this.#live().filter(({ sender }) => !sender.leaving).map((heartbeat) => [heartbeat.sender.host, heartbeat]))
    const candidates = [...byHost.values()].map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone, processorShare: sender.processorShare }))
    const { names, everyone } = decisions.tokenHolders.tokenHolders(account, this.#self.name, [this.#self, ...candidates])
    const others = names.map((name) => byHost.get(name)).filter((heartbeat) => heartbeat !== undefined)
    return {
      role: everyone ? tokenTypes.TokenRole.peer : names.includes(this.#self.name) ? tokenTypes.TokenRole.holder : tokenTypes.TokenRole.borrower,
      others: others.map(({ sender, freeTokens, spending }) => ({
        peerAddress: sender.peerAddress,
        freeTokens: everyone ? freeTokens[account] ?? 0 : undefined,
        spending: everyone ? spending[account] ?? 0 : undefined
      }))
    }
  }

  #live (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#peers.live(this.#clock.now())
  }
}
