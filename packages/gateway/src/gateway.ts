import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import * as callerServers from './caller-server.js'
import * as connectionSlots from './connection-slots.js'
import * as configurations from './configuration-watch.js'
import * as logs from './decision-log.js'
import * as entries from './entry-server.js'
import * as evacuationWatches from './evacuation-watch.js'
import * as fleetExchanges from './fleet-exchange.js'
import * as fleetViews from './fleet-view.js'
import * as metrics from './gateway-metrics.js'
import * as loads from './load-meter.js'
import * as peerTables from './peer-table.js'
import * as peerTasks from './peer-task.js'
import * as registrations from './registration.js'
import * as flows from './request-flow.js'
import * as roomQueues from './room-queue.js'
import * as storeRecoveries from './store-recovery.js'
import * as targetChoosers from './target-chooser.js'
import * as targetWatches from './target-watch.js'
import * as targetConnections from './target-connections.js'
import * as targetPermits from './target-permits.js'
import * as tokenPageAccesses from './token-page-access.js'
import * as tokenPageClients from './token-page-client.js'
import * as tokenAllocators from './token-allocator.js'

/** Timeout of store calls other than watches, in milliseconds. */
const STORE_TIMEOUT_MS = 800

/** Accounts whose requests in progress are in the metrics by name. */
const ACCOUNTS_IN_METRICS = 20

/** Time after SIGTERM until idle connections are closed, in milliseconds. Callers learn of other gateways meanwhile. */
const IDLE_CLOSE_DELAY_MS = 1500

/**
 * Time after SIGTERM until the gateway stops accepting connections, in milliseconds. Callers cache the directory's answer for up to
 * three times its TTL.
 */
const STOP_LISTENING_DELAY_MS = 4500

/** Time at the end of the grace period that is reserved for stopping before SIGKILL, in milliseconds. */
const STOP_TIME_MS = 700

/** Longest time for which a leaving gateway hands tokens back in the end, in milliseconds. */
const HAND_BACK_TIME_MS = 500

/** Time before SIGKILL at which requests in progress are ended, with an answer where none has begun, in milliseconds. */
const END_REQUESTS_TIME_MS = 200

/** Time for the last answers to leave the process, in milliseconds. */
const LAST_ANSWERS_TIME_MS = 50

/** Interval at which a leaving gateway checks for requests in progress, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 50

/** Largest store silence that is reported to other gateways, in milliseconds. Also stands for a store that has not answered yet. */
const MAXIMUM_REPORTED_SILENCE_MS = 1_000_000

/** Interval at which a gateway without watch duty checks whether it has to watch the store, in milliseconds. */
const WATCH_DUTY_CHECK_INTERVAL_MS = 300

export interface GatewayOptions {
  settings: adapter.settingsFile.FleetSettings
  metricsPort: number
  /** Seed of the random choices; undefined draws one. */
  seed: number | undefined
  log: runtime.logging.BoundedLog
}

/** One gateway process: serves callers on its host. All gateways of a fleet have the same role. */
export class Gateway {
  #settings: adapter.settingsFile.FleetSettings
  readonly #options: GatewayOptions
  readonly #logger: runtime.logging.Logger
  readonly #clock = new runtime.systemClock.SystemClock()
  readonly #incarnation: string
  readonly #random: decisions.random.RandomSource
  readonly #store: platform.objectStore.ObjectStore
  readonly #evacuations = new decisions.zoneEvacuations.ZoneEvacuations()
  readonly #targetBoard = new decisions.targetBoard.TargetBoard(this.#evacuations)
  readonly #serviceRoom = new decisions.serviceRoom.ServiceRoom()
  readonly #promptParts: decisions.promptPartBoard.PromptPartBoard
  readonly #targetLimits: decisions.targetLimits.TargetLimits
  readonly #coldTargets: decisions.coldTargets.ColdTargets
  readonly #targetPermits: targetPermits.TargetPermits
  readonly #tokenPool = new decisions.tokenPool.TokenPool()
  readonly #retryAllowance: decisions.retryAllowance.RetryAllowance
  readonly #targetConnections = new targetConnections.TargetConnections()
  readonly #peerTable: peerTables.PeerTable
  readonly #storeReach = new decisions.storeReach.StoreReach()
  readonly #fleetView: fleetViews.FleetView
  readonly #configurationWatch: configurations.ConfigurationWatch
  readonly #targetWatch: targetWatches.TargetWatch
  readonly #evacuationWatch: evacuationWatches.EvacuationWatch
  readonly #tokenPages: tokenPageClients.TokenPageClient
  readonly #tokenTask: tokenAllocators.TokenAllocator
  readonly #fleetExchange: fleetExchanges.FleetExchange
  readonly #peerTask: peerTasks.PeerTask
  readonly #storeRecovery: storeRecoveries.StoreRecovery
  readonly #metrics: metrics.GatewayMetrics
  readonly #callerServer: callerServers.CallerServer
  readonly #entryServer: entries.EntryServer
  readonly #leavingAdmission = new decisions.leavingAdmission.LeavingAdmission()
  readonly #loadMeter: loads.LoadMeter
  readonly #stopController = new AbortController()
  #isLeaving = false

  constructor (options: GatewayOptions) {
    this.#options = options
    this.#settings = options.settings
    this.#incarnation = `${options.settings.host}-${crypto.randomUUID().slice(0, 8)}`
    this.#random = new decisions.random.SeededRandom(options.seed ?? crypto.randomInt(2 ** 31))
    this.#logger = options.log.logger.child({ incarnation: this.#incarnation })
    this.#store = new adapter.storeClient.StoreClient({ address: options.settings.storeAddress, timeoutMs: STORE_TIMEOUT_MS, logger: this.#logger })
    this.#promptParts = new decisions.promptPartBoard.PromptPartBoard(options.settings.host, {
      onHeld: (evidence) => { this.#logger.warn({ event: 'prompt-part-held', ...evidence }) },
      onReleased: (part) => { this.#logger.info({ event: 'prompt-part-released', part }) }
    })
    this.#targetLimits = new decisions.targetLimits.TargetLimits((target, perSecond) => { this.#logger.info({ event: perSecond === undefined ? 'target-limit-ended' : 'target-limit', target, perSecond }) })
    this.#coldTargets = new decisions.coldTargets.ColdTargets(
      (service) => this.#configurationWatch.routeTable?.service(service)?.coldStart,
      ({ isCold, ...change }) => { this.#logger.info({ event: isCold ? 'target-cold' : 'target-warm', ...change }) }
    )
    this.#store.onCallEnd((status) => { this.#recordStoreCall(status) })
    this.#peerTable = new peerTables.PeerTable(options.settings.peerListen)
    this.#fleetView = new fleetViews.FleetView({ name: options.settings.host, availabilityZone: options.settings.availabilityZone, processorShare: options.settings.processorShare }, this.#peerTable, this.#clock, this.#storeReach, () => this.#isLeaving)
    this.#targetPermits = new targetPermits.TargetPermits({
      clock: this.#clock,
      limits: this.#targetLimits,
      coldTargets: this.#coldTargets,
      random: this.#random,
      view: this.#fleetView,
      requestPermit: async (peerAddress, request) => await this.#peerTask.requestPermit(peerAddress, request),
      onOutcome: (outcome) => { this.#metrics.countPermit(outcome) }
    })
    this.#retryAllowance = new decisions.retryAllowance.RetryAllowance(options.settings.retryBudget)
    this.#loadMeter = new loads.LoadMeter(this.#clock, options.settings.processorShare)
    const pauseMs = (): number => this.#fleetExchange.hasWatchDuty() ? 0 : WATCH_DUTY_CHECK_INTERVAL_MS
    const watchOptions = { store: this.#store, clock: this.#clock, logger: this.#logger, pauseMs }
    this.#configurationWatch = new configurations.ConfigurationWatch(watchOptions, (table, source) => { this.#applyAgreement(table, source) })
    this.#targetWatch = new targetWatches.TargetWatch(watchOptions, this.#targetBoard, this.#coldTargets)
    this.#evacuationWatch = new evacuationWatches.EvacuationWatch({
      ...watchOptions,
      evacuations: this.#evacuations,
      evacuateMs: options.settings.evacuateMs,
      announce: () => { void this.#peerTask.announceSoon() }
    })
    this.#tokenPages = new tokenPageClients.TokenPageClient({
      ...watchOptions,
      incarnation: this.#incarnation,
      prepaidTotals: () => this.#prepaidTotals(),
      random: this.#random,
      knowledge: this.#fleetView,
      onTokensCredited: (account, tokens) => { this.#tokenPool.add(account, tokens) }
    })
    this.#tokenTask = this.#createTokenAllocator()
    this.#fleetExchange = this.#createFleetExchange()
    this.#peerTask = this.#createPeerTask()
    this.#storeRecovery = new storeRecoveries.StoreRecovery({
      ...watchOptions,
      tokenPages: this.#tokenPages,
      random: this.#random,
      announce: () => { void this.#peerTask.announceSoon() },
      restoreRegistration: async () => { await registrations.restoreRegistration(this.#registrationOptions(), this.#stopController.signal) }
    })
    this.#metrics = new metrics.GatewayMetrics(this.#createGaugeSource())
    this.#callerServer = this.#createCallerServer()
    this.#entryServer = new entries.EntryServer({
      servingGateways: () => this.#servingGateways(),
      isReady: () => this.#isReady(),
      maximumLifetimeSeconds: options.settings.directoryLifetimeMs / 1000
    })
  }

  /** Opens the ports and joins the fleet. Resolves when the ports are open, which may be before the gateway is ready. */
  async start (): Promise<void> {
    const callerListen = runtime.httpServer.parseListenAddress(this.#settings.callerListen)
    const peerListen = runtime.httpServer.parseListenAddress(this.#settings.peerListen)
    this.#evacuationWatch.start()
    this.#configurationWatch.start()
    this.#targetWatch.start()
    await this.#callerServer.listen(callerListen.port, callerListen.address)
    await this.#peerTask.listen(peerListen.port, peerListen.address)
    await this.#entryServer.listen(
      runtime.httpServer.parseListenAddress(this.#settings.directoryListen),
      runtime.httpServer.parseListenAddress(this.#settings.readyListen)
    )
    await this.#metrics.listen(this.#options.metricsPort, this.#settings.ip)
    this.#peerTask.start()
    this.#tokenTask.start()
    void registrations.register(this.#registrationOptions(), this.#stopController.signal)
    this.#logger.info({ event: 'started', callers: this.#settings.callerListen, peers: this.#settings.peerListen, seeds: this.#settings.seedPeers })
  }

  /**
   * Applies a changed retry budget, grace period and seed peers. All other settings, such as the listen addresses and the store, apply
   * from the next start.
   */
  applySettings (settings: adapter.settingsFile.FleetSettings): void {
    const { retryBudget, graceMs, seedPeers } = settings
    this.#settings = { ...this.#settings, retryBudget, graceMs, seedPeers }
    this.#retryAllowance.setBudget(retryBudget)
    for (const seed of seedPeers) this.#peerTable.addAddress(seed, this.#clock.now())
    this.#logger.info({ event: 'reloaded', retryBudget, graceMs, seedPeers })
  }

  /**
   * Shuts down gracefully: announces to callers and peers that the gateway leaves, accepts connections while callers move to other
   * gateways, waits for requests in progress within the grace period, hands tokens back and stops. Requests that could outlast the
   * grace period are refused meanwhile.
   */
  async shutDown (): Promise<void> {
    const startedAt = this.#clock.now()
    const elapsedMs = (): number => this.#clock.now() - startedAt
    this.#isLeaving = true
    this.#logger.info({ event: 'leaving', inProgress: this.#callerServer.inProgress })
    const drainTimeoutMs = this.#settings.graceMs - STOP_TIME_MS
    this.#callerServer.startLeaving(startedAt + drainTimeoutMs)
    void this.#peerTask.announce()
    void this.#tokenTask.returnAllTokens()
    let isListening = true
    while (elapsedMs() < drainTimeoutMs && (isListening || this.#callerServer.inProgress > 0)) {
      await this.#clock.sleep(DRAIN_CHECK_INTERVAL_MS)
      if (elapsedMs() > IDLE_CLOSE_DELAY_MS) this.#callerServer.closeIdleConnections()
      if (isListening && elapsedMs() > STOP_LISTENING_DELAY_MS) {
        isListening = false
        this.#callerServer.stopListening()
      }
    }
    this.#leavingAdmission.refuseAll()
    await Promise.race([this.#tokenTask.returnAllTokens(), this.#clock.sleep(HAND_BACK_TIME_MS)])
    while (this.#callerServer.inProgress > 0 && elapsedMs() < this.#settings.graceMs - END_REQUESTS_TIME_MS) await this.#clock.sleep(DRAIN_CHECK_INTERVAL_MS)
    if (this.#callerServer.inProgress > 0) {
      this.#callerServer.endRequests()
      await this.#clock.sleep(LAST_ANSWERS_TIME_MS)
    }
    this.#logger.info({ event: 'stopped', inProgress: this.#callerServer.inProgress, milliseconds: Math.round(elapsedMs()) })
    this.stopNow()
  }

  /** Stops at once, without draining or handing tokens back, as a crash would. */
  stopNow (): void {
    if (this.#stopController.signal.aborted) return
    this.#stopController.abort()
    this.#configurationWatch.stop()
    this.#targetWatch.stop()
    this.#evacuationWatch.stop()
    this.#storeRecovery.stop()
    this.#tokenTask.stop()
    this.#peerTask.stop()
    this.#callerServer.closeNow()
    this.#entryServer.close()
    this.#metrics.close()
    this.#targetConnections.close()
  }

  #isReady (): boolean {
    return !this.#isLeaving && this.#configurationWatch.routeTable !== undefined && this.#targetWatch.isKnown
  }

  #servingGateways (): routers.gatewayMessages.GatewayMember[] {
    const others = this.#fleetView.servingGateways()
    return this.#isReady() ? [this.#member(), ...others] : others
  }

  #member (): routers.gatewayMessages.GatewayMember {
    return {
      host: this.#settings.host,
      incarnation: this.#incarnation,
      peerAddress: this.#settings.peerListen,
      callerAddress: this.#settings.callerListen,
      availabilityZone: this.#settings.availabilityZone,
      leaving: this.#isLeaving,
      ready: this.#isReady(),
      load: this.#loadMeter.load(),
      processorShare: this.#settings.processorShare,
      storeReach: this.#storeReach.state(this.#clock.now()),
      knowledgeAgeMs: Math.max(1, Math.round(Math.min(this.#fleetExchange.knowledgeAgeMs(), MAXIMUM_REPORTED_SILENCE_MS))),
      storeSilenceMs: Math.round(Math.min(this.#configurationWatch.silenceMs(), MAXIMUM_REPORTED_SILENCE_MS))
    }
  }

  /** Judges by a store call that has ended whether this gateway reaches the store, and tells the others of a change. */
  #recordStoreCall (status: platform.objectStore.StoreStatus): void {
    if (!this.#storeReach.record(storeCallEnd(status), this.#clock.now())) return
    this.#logger.info({ event: 'store-reach', state: this.#storeReach.state(this.#clock.now()) })
    void this.#peerTask.announceSoon()
  }

  /** Puts an agreement in force. Tells all gateways at once of one from the store: those that hear of it from others learn too late since when it holds. */
  #applyAgreement (table: decisions.routeTable.RouteTable, source: configurations.AgreementSource): void {
    this.#fleetExchange.confirmAgreement(this.#clock.now())
    this.#callerServer.applyLimits(table.agreement.limits)
    if (source === configurations.AgreementSource.store) void this.#peerTask.announceSoon()
  }

  #prepaidTotals (): tokenPageClients.PrepaidTotals | undefined {
    const agreement = this.#configurationWatch.routeTable?.agreement
    if (agreement?.accounts === undefined) return undefined
    const prepaidAccounts = agreement.accounts.filter((account) => account.prepaidTokens !== undefined)
    return { version: agreement.version, totals: Object.fromEntries(prepaidAccounts.map((account) => [account.name, account.prepaidTokens ?? 0])) }
  }

  #registrationOptions (): registrations.RegistrationOptions {
    return {
      host: this.#settings.host,
      peerAddress: this.#settings.peerListen,
      store: this.#store,
      clock: this.#clock,
      logger: this.#logger,
      onRegisteredGateway: (peerAddress) => { this.#peerTable.addAddress(peerAddress, this.#clock.now()) }
    }
  }

  #createTokenAllocator (): tokenAllocators.TokenAllocator {
    return new tokenAllocators.TokenAllocator(this.#tokenPool, {
      selfAddress: this.#settings.peerListen,
      policy: tokenAllocators.POOL_POLICY,
      page: new tokenPageAccesses.TokenPageAccess({
        pageClient: this.#tokenPages,
        pool: this.#tokenPool,
        clock: this.#clock,
        random: this.#random,
        logger: this.#logger,
        pageWriter: (failed) => this.#fleetView.pageWriter(failed),
        requestDraw: async (peerAddress, request) => await this.#peerTask.requestDraw(peerAddress, request)
      }),
      clock: this.#clock,
      random: this.#random,
      logger: this.#logger,
      prepaidTotals: () => this.#prepaidTotals(),
      isFleetKnown: () => this.#fleetView.isFleetKnown(),
      isStoreReachable: () => this.#fleetView.isStoreReachable(),
      holders: (account) => this.#fleetView.holders(account),
      requestTransfer: async (peerAddress, account, tokens) => await this.#peerTask.requestTransfer(peerAddress, account, tokens),
      hasLateTransfer: (account) => this.#peerTask.hasLateTransfer(account),
      returnTokens: async (peerAddress, account, tokens) => { await this.#peerTask.returnTokens(peerAddress, account, tokens) }
    })
  }

  #createFleetExchange (): fleetExchanges.FleetExchange {
    return new fleetExchanges.FleetExchange({
      clock: this.#clock,
      board: this.#targetBoard,
      peers: this.#peerTable,
      view: this.#fleetView,
      configuration: this.#configurationWatch,
      targets: this.#targetWatch,
      evacuations: this.#evacuationWatch,
      tokens: this.#tokenTask,
      tokenPages: this.#tokenPages,
      store: this.#store,
      promptParts: this.#promptParts,
      targetLimits: this.#targetLimits,
      coldTargets: this.#coldTargets,
      agreementApplyMs: this.#settings.agreementApplyMs,
      room: this.#serviceRoom,
      member: () => this.#member(),
      fetchState: (peerAddress) => { void this.#peerTask.fetchState(peerAddress) }
    })
  }

  #createPeerTask (): peerTasks.PeerTask {
    return new peerTasks.PeerTask({
      selfAddress: this.#settings.peerListen,
      table: this.#peerTable,
      seedAddresses: this.#settings.seedPeers,
      clock: this.#clock,
      logger: this.#logger,
      buildHeartbeat: () => this.#fleetExchange.buildHeartbeat(),
      newerState: (known) => this.#fleetExchange.newerState(known),
      knownVersions: () => this.#fleetExchange.knownVersions(),
      handleTransfer: async (request) => await this.#tokenTask.handleTransfer(request),
      handleDraw: async (request) => await this.#tokenTask.handleDraw(request),
      answerPermit: (request) => this.#targetPermits.answer(request),
      addReturnedTokens: (account, tokens) => { this.#tokenPool.add(account, tokens) },
      onHeartbeat: (heartbeat) => { this.#fleetExchange.applyHeartbeat(heartbeat) },
      onState: (state) => { this.#fleetExchange.applyState(state) }
    })
  }

  #createCallerServer (): callerServers.CallerServer {
    const announce = (): void => { void this.#peerTask.announceSoon() }
    const connectionLimit = (service: string): number => {
      const maximumConnections = this.#configurationWatch.routeTable?.service(service)?.maximumConnections ?? Infinity
      return targetConnections.connectionLimit(maximumConnections, this.#fleetView.gatewayCount())
    }
    const slots = new connectionSlots.ConnectionSlots(connectionLimit, decisions.memoryYielding.targetConnectionLimit(this.#settings.maximumDescriptors), () => { this.#callerServer.closeStillestAnswers() })
    const chooser = new targetChoosers.TargetChooser({
      clock: this.#clock,
      logger: this.#logger,
      board: this.#targetBoard,
      random: this.#random,
      targetLimits: this.#targetLimits,
      coldTargets: this.#coldTargets,
      targetRests: new decisions.targetRests.TargetRests(),
      permits: this.#targetPermits,
      slots,
      roomQueue: new roomQueues.RoomQueue({
        clock: this.#clock,
        board: this.#targetBoard,
        room: this.#serviceRoom,
        slots,
        random: this.#random,
        onFull: (verdict, rank) => { this.#metrics.countFullService(verdict, rank) }
      }),
      leavingAdmission: this.#leavingAdmission,
      availabilityZone: this.#settings.availabilityZone,
      announce,
      onChosen: (reason) => { this.#metrics.countChoice(reason) }
    })
    const flow = new flows.RequestFlow({
      clock: this.#clock,
      board: this.#targetBoard,
      connections: this.#targetConnections,
      tokens: this.#tokenTask,
      retryAllowance: this.#retryAllowance,
      promptParts: this.#promptParts,
      room: this.#serviceRoom,
      chooser,
      connectionLimit,
      random: this.#random,
      rankFor: (key) => this.#fleetView.rankFor(key),
      announce,
      findService: (name) => this.#configurationWatch.routeTable?.service(name),
      gatewayCount: () => this.#fleetView.gatewayCount(),
      onBudgetRefusal: (outcome, isBudgetLeft) => { this.#metrics.countBudgetRefusal(outcome, isBudgetLeft) },
      onFirstEvent: (milliseconds) => { this.#metrics.observeFirstEvent(milliseconds / 1000) }
    })
    return new callerServers.CallerServer({
      clock: this.#clock,
      random: this.#random,
      logger: this.#logger,
      decisionLog: new logs.DecisionLog(this.#logger, this.#clock),
      metrics: this.#metrics,
      leavingAdmission: this.#leavingAdmission,
      connectionAdmission: new decisions.connectionAdmission.ConnectionAdmission({
        availabilityZone: this.#settings.availabilityZone,
        objectiveMs: () => this.#configurationWatch.routeTable?.tightestObjectiveMs,
        ownLoad: () => this.#loadMeter.load(),
        others: () => this.#fleetView.servingGateways()
      }),
      memoryMb: this.#settings.memoryMb,
      maximumDescriptors: this.#settings.maximumDescriptors,
      flow,
      routeTable: () => this.#configurationWatch.routeTable,
      agreementAgeMs: () => this.#fleetExchange.agreementAgeMs(),
      isAgreementOutdated: () => this.#fleetExchange.isAgreementOutdated(),
      isRequestOutdated: (route, key) => this.#fleetExchange.isRequestOutdated(route, key)
    })
  }

  #createGaugeSource (): metrics.GaugeSource {
    return {
      requestsInProgress: () => this.#callerServer.inProgress,
      agreementVersion: () => this.#configurationWatch.version,
      livePeers: () => this.#peerTable.liveHeartbeats(this.#clock.now()).length,
      heldPromptParts: () => this.#promptParts.heldParts,
      heldBytes: () => this.#callerServer.heldBytes,
      waitingBodies: () => this.#callerServer.waitingBodies,
      callerConnections: () => this.#callerServer.connections,
      limitedTargets: () => this.#targetLimits.size,
      coldTargets: () => this.#coldTargets.count(this.#clock.now()),
      evacuatedZones: () => this.#evacuations.zones.length,
      freeTokens: () => this.#tokenTask.freeTokens(),
      targetRequests: () => this.#targetBoard.gauge(decisions.placement.requestsInFlight),
      targetRoom: () => this.#targetBoard.gauge((target) => target.entry.slots - decisions.placement.requestsInFlight(target)),
      accountRequests: () => this.#serviceRoom.largestAccounts(ACCOUNTS_IN_METRICS),
      storeCalls: () => this.#store.callCounts,
      droppedLogLines: this.#options.log.droppedLines
    }
  }
}

function storeCallEnd (status: platform.objectStore.StoreStatus): decisions.storeReach.CallEnd {
  if (status === 'refused') return decisions.storeReach.CallEnd.refused
  return status === 'unknown' ? decisions.storeReach.CallEnd.unanswered : decisions.storeReach.CallEnd.answered
}
