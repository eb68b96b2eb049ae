import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as peerTables from './peer-table.js'
import * as tokenTasks from './token-task.js'

/** Time for which the chosen holders are kept, in milliseconds: that between two rounds of heartbeats. */
const CHOSEN_FOR_MS = 300

interface ChosenHolders {
  chosenAt: number
  role: tokenTasks.TokenRole
  others: routers.gatewayMessages.GatewayHeartbeat[]
}

/** What this gateway can tell of the fleet from the heartbeats that it heard. */
export class FleetView {
  readonly #host: string
  readonly #availabilityZone: string
  readonly #peers: peerTables.PeerTable
  readonly #clock: decisions.clock.Clock
  #largeFleet: ChosenHolders | undefined

  constructor (host: string, availabilityZone: string, peers: peerTables.PeerTable, clock: decisions.clock.Clock) {
    this.#host = host
    this.#availabilityZone = availabilityZone
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
    return decisions.watchDuty.hasWatchDuty({ name: this.#host, availabilityZone: this.#availabilityZone, storeSilenceMs: 0 }, others)
  }

  /** Who draws an account's tokens. */
  holders (account: string): tokenTasks.AccountHolders {
    const { role, others } = this.#holdersNow()
    const isTold = role === tokenTasks.TokenRole.peer
    return {
      role,
      others: others.map(({ sender, freeTokens, spending }) => ({
        peerAddress: sender.peerAddress,
        freeTokens: isTold ? freeTokens[account] ?? 0 : undefined,
        spending: isTold ? spending[account] ?? 0 : undefined
      }))
    }
  }

  /** Chosen anew only now and then in a large fleet, which takes a while to order. In a small one all hold, and each heartbeat tells news. */
  #holdersNow (): ChosenHolders {
    const now = this.#clock.now()
    if (this.#largeFleet !== undefined && now - this.#largeFleet.chosenAt < CHOSEN_FOR_MS) return this.#largeFleet
    const byHost = new Map(this.#live().filter(({ sender }) => !sender.leaving).map((heartbeat) => [heartbeat.sender.host, heartbeat]))
    const candidates = [...byHost.values()].map(({ sender }) => ({ name: sender.host, availabilityZone: sender.availabilityZone }))
    const self = { name: this.#host, availabilityZone: this.#availabilityZone }
    const { names, everyone } = decisions.tokenHolders.tokenHolders(this.#host, [self, ...candidates])
    const chosen = {
      chosenAt: now,
      role: everyone ? tokenTasks.TokenRole.peer : names.includes(this.#host) ? tokenTasks.TokenRole.holder : tokenTasks.TokenRole.borrower,
      others: names.map((name) => byHost.get(name)).filter((heartbeat) => heartbeat !== undefined)
    }
    this.#largeFleet = everyone ? undefined : chosen
    return chosen
  }

  #live (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#peers.live(this.#clock.now())
  }
}
