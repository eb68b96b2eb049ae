import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as configurations from './configuration-watch.js'
import type * as fleetViews from './fleet-view.js'
import type * as peerTables from './peer-table.js'
import type * as targetWatches from './target-watch.js'
import type * as tokenTasks from './token-task.js'

/** Least time between two sums of the other gateways' work, in milliseconds. A sum goes through all of them. */
const WORK_INTERVAL_MS = 50

/** What the exchange works with. */
export interface FleetExchangeOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  peers: peerTables.PeerTable
  view: fleetViews.FleetView
  configuration: configurations.ConfigurationWatch
  targets: targetWatches.TargetWatch
  tokens: tokenTasks.TokenTask
  member: () => routers.gatewayMessages.GatewayMember
  /** Asks a gateway for a newer agreement and newer targets. */
  fetchState: (peerAddress: string) => void
}

/** What a gateway tells the others, and what it takes from them. */
export class FleetExchange {
  readonly #options: FleetExchangeOptions
  #agreementConfirmedAt = -Infinity
  #workSummedAt = -Infinity

  constructor (options: FleetExchangeOptions) {
    this.#options = options
  }

  /** Notes that the agreement in force is the newest, by the store's or another gateway's word. */
  confirmAgreement (at: number): void {
    this.#agreementConfirmedAt = Math.max(this.#agreementConfirmedAt, at)
  }

  /** Time since the agreement in force was last known to be the newest, in milliseconds. */
  agreementAgeMs (): number {
    return Math.min(this.#options.configuration.silenceMs(), this.#options.clock.now() - this.#agreementConfirmedAt)
  }

  heartbeat (): Omit<routers.gatewayMessages.GatewayHeartbeat, 'sequence' | 'asksForAnswer'> {
    const { board, clock, configuration, peers, targets, tokens, view } = this.#options
    const isTold = view.gateways() <= decisions.fleetSize.SMALL_FLEET
    return {
      sender: this.#options.member(),
      heard: peers.heard(clock.now()),
      agreementVersion: configuration.version,
      targetsRevision: targets.changeRevision,
      work: Object.entries(board.ownWork()).map(([id, work]) => ({ id, ...work })),
      freeTokens: isTold ? tokens.freeTokens() : {},
      spending: isTold ? tokens.spending() : {},
      leavingTargets: board.entries().filter((entry) => entry.leaving).map((entry) => entry.id)
    }
  }

  hear (heartbeat: routers.gatewayMessages.GatewayHeartbeat): void {
    const { board, clock, configuration, peers, targets, view } = this.#options
    const now = clock.now()
    for (const id of heartbeat.leavingTargets) board.markLeaving(id)
    if (now - this.#workSummedAt >= WORK_INTERVAL_MS) {
      this.#workSummedAt = now
      board.useOthersWork(peers.work(now))
    }
    if (heartbeat.agreementVersion === configuration.version) this.confirmAgreement(now - heartbeat.sender.storeSilenceMs)
    const needsTargets = heartbeat.targetsRevision > targets.changeRevision && (targets.changeRevision === 0 || !view.hasWatchDuty())
    if (heartbeat.agreementVersion > configuration.version || needsTargets) this.#options.fetchState(heartbeat.sender.peerAddress)
  }

  /** What this gateway has already. */
  known (): routers.gatewayMessages.StateRequest {
    return { agreementVersion: this.#options.configuration.version, targetsRevision: this.#options.targets.changeRevision }
  }

  /** What this gateway knows beyond what another one has. */
  stateBeyond (known: routers.gatewayMessages.StateRequest): routers.gatewayMessages.GatewayState {
    const agreement = this.#options.configuration.table?.agreement
    const isNewer = agreement !== undefined && agreement.version > known.agreementVersion
    const targetsRevision = this.#options.targets.changeRevision
    return {
      agreement: isNewer ? JSON.stringify(agreement) : '',
      targets: targetsRevision > known.targetsRevision ? JSON.stringify(this.#options.board.entries()) : '',
      targetsRevision
    }
  }

  /** Takes what another gateway knows beyond this one. */
  useState (state: routers.gatewayMessages.GatewayState): void {
    if (state.agreement !== '') this.#options.configuration.take(JSON.parse(state.agreement), configurations.AgreementSource.peer)
    if (state.targets !== '') this.#options.targets.takeFromPeer(JSON.parse(state.targets), state.targetsRevision)
  }
}
