import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import type * as routers from '@acaciaweir/routers'
import * as packers from './agreement-packer.js'
import * as configurations from './configuration-watch.js'
import type * as evacuationWatches from './evacuation-watch.js'
import type * as fleetViews from './fleet-view.js'
import type * as peerTables from './peer-table.js'
import type * as targetWatches from './target-watch.js'
import type * as tokenAllocators from './token-allocator.js'
import type * as tokenPageClients from './token-page-client.js'

/** Least time between two estimates of the other gateways' requests in flight, in milliseconds. An estimate iterates over all gateways. */
const WORK_ESTIMATE_INTERVAL_MS = 50

/** Time for which heartbeats tell what an agreement has changed, in milliseconds. */
const CHANGES_SENT_MS = 10_000

/** For a gateway of an earlier version, which doesn't tell. */
const UNKNOWN_CHANGES = { inForceMs: 0, sinceVersions: [], hashes: [] }

/** Dependencies of the fleet exchange. */
export interface FleetExchangeOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  peers: peerTables.PeerTable
  view: fleetViews.FleetView
  configuration: configurations.ConfigurationWatch
  targets: targetWatches.TargetWatch
  evacuations: evacuationWatches.EvacuationWatch
  tokens: tokenAllocators.TokenAllocator
  tokenPages: tokenPageClients.TokenPageClient
  store: platform.objectStore.ObjectStore
  promptParts: decisions.promptPartBoard.PromptPartBoard
  targetLimits: decisions.targetLimits.TargetLimits
  coldTargets: decisions.coldTargets.ColdTargets
  /** Time within which an agreement has to be in force, in milliseconds. */
  agreementApplyMs: number
  room: decisions.serviceRoom.ServiceRoom
  /** Returns this gateway's own entry, the sender of its heartbeats. */
  member: () => routers.gatewayMessages.GatewayMember
  /** Fetches a newer agreement and newer targets from a gateway. */
  fetchState: (peerAddress: string) => void
}

/** Builds the heartbeats and state replies that this gateway sends, and applies those of other gateways. */
export class FleetExchange {
  readonly #options: FleetExchangeOptions
  #agreementConfirmedAt = -Infinity
  /** Time as of which other gateways confirmed that the agreement, the targets and the evacuations known here are the newest. */
  #knowledgeConfirmedAt = -Infinity
  #workEstimatedAt = -Infinity
  readonly #outdated: decisions.outdatedAgreement.OutdatedAgreement
  readonly #packer = new packers.AgreementPacker()

  constructor (options: FleetExchangeOptions) {
    this.#options = options
    this.#outdated = new decisions.outdatedAgreement.OutdatedAgreement(options.agreementApplyMs)
  }

  /** Records that the store or another gateway confirmed the agreement in force as the newest, at the given time in milliseconds. */
  confirmAgreement (at: number): void {
    this.#agreementConfirmedAt = Math.max(this.#agreementConfirmedAt, at)
  }

  /** Time since the agreement in force was last confirmed as the newest, in milliseconds. */
  agreementAgeMs (): number {
    return Math.min(this.#options.configuration.silenceMs(), this.#options.clock.now() - this.#agreementConfirmedAt)
  }

  /** Time since the agreement, the targets and the evacuations known here were current, in milliseconds, by the store or by another gateway. */
  knowledgeAgeMs (): number {
    const { clock, configuration, evacuations, targets } = this.#options
    return Math.min(Math.max(configuration.silenceMs(), targets.silenceMs(), evacuations.silenceMs()), clock.now() - this.#knowledgeConfirmedAt)
  }

  /** Returns true if this gateway has to watch the store itself. */
  hasWatchDuty (): boolean {
    return this.#options.view.hasWatchDuty(this.knowledgeAgeMs())
  }

  /** Returns true if no request may be handled by the agreement in force, as another gateway has had a newer one for too long. */
  isAgreementOutdated (): boolean {
    return this.#outdated.isForAll(this.#options.configuration.version, this.#options.clock.now())
  }

  /** Returns true if a request on this route and with this key must not be handled by the agreement in force. */
  isRequestOutdated (route: decisions.agreementTypes.Route | undefined, key: string | undefined): boolean {
    const { clock, configuration } = this.#options
    return configuration.routeTable !== undefined && this.#outdated.isFor(configuration.routeTable, route, key, clock.now())
  }

  /** Builds a heartbeat. It carries the token counts only in a small fleet, where every gateway exchanges tokens with all others. */
  buildHeartbeat (): Omit<routers.gatewayMessages.GatewayHeartbeat, 'sequence' | 'asksForAnswer'> {
    const { board, clock, coldTargets, configuration, evacuations, peers, promptParts, store, targetLimits, targets, tokenPages, tokens, view } = this.#options
    const ownDraws = tokenPages.ownDraws()
    this.#estimateWork(clock.now())
    const sharesTokenCounts = view.gatewayCount() <= decisions.fleetSize.MAXIMUM_SMALL_FLEET_SIZE
    return {
      sender: { ...this.#options.member(), agreementChanges: this.#changesToSend() },
      heard: peers.selectHeardGateways(clock.now()),
      agreementVersion: configuration.version,
      targetsRevision: targets.version.revision,
      targetsEpoch: targets.version.epoch,
      storeEpoch: store.epoch,
      pageEpoch: tokenPages.pageEpoch,
      drawnTokens: ownDraws.tokens,
      drawnChange: ownDraws.change,
      work: Object.entries(board.ownWork()).map(([id, work]) => ({ id, ...work })),
      freeTokens: sharesTokenCounts ? tokens.freeTokens() : {},
      spending: sharesTokenCounts ? tokens.spending() : {},
      promptParts: promptParts.reports(clock.now()),
      targetLimits: targetLimits.reports(clock.now()),
      coldTargets: coldTargets.reports(clock.now()),
      serviceUse: this.#options.room.reports((service) => board.serviceLoad(service, clock.now())),
      leavingTargets: board.entries().filter((entry) => entry.leaving).map((entry) => entry.id),
      evacuatedZones: evacuations.report((zone) => board.entries().some((entry) => entry.availabilityZone === zone)),
      evacuationsRevision: evacuations.version.revision,
      evacuationsEpoch: evacuations.version.epoch
    }
  }

  /**
   * Applies another gateway's heartbeat, and fetches its state if that is newer. Newer targets alone are fetched only if this gateway has
   * none yet or doesn't watch the store itself.
   */
  applyHeartbeat (heartbeat: routers.gatewayMessages.GatewayHeartbeat): void {
    const { board, clock, configuration, evacuations, promptParts, store, targetLimits, targets, tokenPages } = this.#options
    const now = clock.now()
    if (heartbeat.drawnChange > 0) tokenPages.learnDraws(heartbeat.sender.incarnation, { change: heartbeat.drawnChange, tokens: heartbeat.drawnTokens })
    store.learnEpoch(heartbeat.storeEpoch)
    promptParts.merge(heartbeat.promptParts, now)
    targetLimits.merge(heartbeat.targetLimits, now)
    this.#options.coldTargets.merge(heartbeat.coldTargets, now)
    for (const id of heartbeat.leavingTargets) board.markLeaving(id)
    evacuations.applyFromPeer(heartbeat.evacuatedZones, { epoch: heartbeat.evacuationsEpoch, revision: heartbeat.evacuationsRevision })
    this.#estimateWork(now)
    if (heartbeat.agreementVersion === configuration.version) this.confirmAgreement(now - heartbeat.sender.storeSilenceMs)
    this.#confirmKnowledge(heartbeat, now)
    this.#recordReportedVersion(heartbeat, now)
    const needsTargets = decisions.storeVersion.isNewer(targetsVersion(heartbeat), targets.version) && (!targets.isKnown || !this.hasWatchDuty())
    if (heartbeat.agreementVersion > configuration.version || needsTargets) this.#options.fetchState(heartbeat.sender.peerAddress)
  }

  /** Estimates the other gateways' requests in flight anew, as their heartbeats age. */
  #estimateWork (now: number): void {
    const { board, peers } = this.#options
    if (now - this.#workEstimatedAt < WORK_ESTIMATE_INTERVAL_MS) return
    this.#workEstimatedAt = now
    board.estimateOtherRoutersWork(peers.workReports(now))
    this.#options.room.setReports(peers.serviceUseReports(now))
  }

  #confirmKnowledge (heartbeat: routers.gatewayMessages.GatewayHeartbeat, now: number): void {
    const { sender, agreementVersion } = heartbeat
    // A gateway of an earlier version says nothing of evacuations.
    if (this.#options.evacuations.isEnabled && heartbeat.evacuationsEpoch === 0) return
    const isKnownHere = agreementVersion <= this.#options.configuration.version && !decisions.storeVersion.isNewer(targetsVersion(heartbeat), this.#options.targets.version)
    if (sender.knowledgeAgeMs > 0 && isKnownHere) this.#knowledgeConfirmedAt = Math.max(this.#knowledgeConfirmedAt, now - sender.knowledgeAgeMs)
  }

  #changesToSend (): routers.gatewayMessages.AgreementChangesMessage | undefined {
    const changes = this.#options.configuration.changes()
    return changes.inForceMs < CHANGES_SENT_MS ? changes : undefined
  }

  #recordReportedVersion ({ agreementVersion, sender }: routers.gatewayMessages.GatewayHeartbeat, now: number): void {
    if (agreementVersion <= this.#options.configuration.version) return
    const { inForceMs, ...changes } = sender.agreementChanges ?? UNKNOWN_CHANGES
    this.#outdated.recordReport(agreementVersion, inForceMs, changes, now)
  }

  /** Returns the versions of the state that this gateway has. */
  knownVersions (): routers.gatewayMessages.StateRequest {
    const { revision, epoch } = this.#options.targets.version
    return { agreementVersion: this.#options.configuration.version, targetsRevision: revision, targetsEpoch: epoch, readsCompressed: true }
  }

  /** Returns the agreement and the targets, each empty unless newer than what another gateway has. */
  newerState (known: routers.gatewayMessages.StateRequest): routers.gatewayMessages.GatewayState {
    const agreement = this.#options.configuration.routeTable?.agreement
    const isNewer = agreement !== undefined && agreement.version > known.agreementVersion
    const { version } = this.#options.targets
    return {
      agreement: isNewer && !known.readsCompressed ? JSON.stringify(agreement) : '',
      compressedAgreement: isNewer && known.readsCompressed ? this.#packer.pack(agreement) : new Uint8Array(),
      targets: decisions.storeVersion.isNewer(version, targetsVersion(known)) ? JSON.stringify(this.#entriesToSend()) : '',
      targetsRevision: version.revision,
      targetsEpoch: version.epoch
    }
  }

  /** Returns the targets with the time for which they stay cold from now on. */
  #entriesToSend (): decisions.agreementTypes.TargetEntry[] {
    const { board, clock, coldTargets } = this.#options
    return board.entries().map((entry) => ({ ...entry, coldMs: coldTargets.remainingMs(entry.id, clock.now()) }))
  }

  /** Applies the newer agreement and targets of another gateway. Throws an `Error` if they are not valid. */
  applyState (state: routers.gatewayMessages.GatewayState): void {
    if (state.compressedAgreement.length > 0) this.#options.configuration.applyIfNewer(packers.unpackAgreement(state.compressedAgreement), configurations.AgreementSource.peer)
    if (state.agreement !== '') this.#options.configuration.applyIfNewer(JSON.parse(state.agreement), configurations.AgreementSource.peer)
    if (state.targets !== '') this.#options.targets.applyFromPeer(JSON.parse(state.targets), targetsVersion(state))
  }
}

function targetsVersion ({ targetsEpoch, targetsRevision }: { targetsEpoch: number, targetsRevision: number }): decisions.storeVersion.StoreVersion {
  return { epoch: targetsEpoch, revision: targetsRevision }
}
