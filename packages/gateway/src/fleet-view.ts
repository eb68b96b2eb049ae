import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as peerTables from './peer-table.js'
import * as tokenTasks from './token-task.js'

/** What this gateway can tell of the fleet from the heartbeats that it heard. */
export class FleetView {
  readonly #host: string
  readonly #availabilityZone: string
  readonly #peers: peerTables.PeerTable
  readonly #clock: decisions.clock.Clock

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
    const byHost = new Map(this.#live().filter(({ sender }) => !sender.leaving).map((heartbeat) => [heartbeat.sender.host, heartbeat]))
    const { names, everyone } = decisions.tokenHolders.tokenHolders(account, this.#host, [this.#host, ...byHost.keys()])
    const others = names.map((name) => byHost.get(name)).filter((heartbeat) => heartbeat !== undefined)
    return {
      role: everyone ? tokenTasks.TokenRole.peer : names.includes(this.#host) ? tokenTasks.TokenRole.holder : tokenTasks.TokenRole.borrower,
      others: others.map((heartbeat) => ({
        peerAddress: heartbeat.sender.peerAddress,
        freeTokens: everyone ? heartbeat.freeTokens[account] ?? 0 : undefined,
        spending: everyone ? heartbeat.spending[account] ?? 0 : undefined
      }))
    }
  }

  #live (): routers.gatewayMessages.GatewayHeartbeat[] {
    return this.#peers.live(this.#clock.now())
  }
}
