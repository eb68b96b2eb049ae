import * as callers from '@acaciaweir/callers'
import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import * as agreements from './agreement.js'
import * as configurations from './configuration-task.js'
import type * as incarnations from './incarnation.js'
import * as factories from './incarnation-factory.js'
import * as settlers from './intent-settler.js'
import * as keys from './key-gate.js'
import * as lateSettlements from './late-settlement.js'
import * as memberships from './membership-task.js'
import * as modelFlow from './model-flow.js'
import * as peerRequestHandlers from './peer-request-handler.js'
import * as recoveries from './recovery.js'
import * as recoveryTasks from './recovery-task.js'
import * as resumeFlow from './resume-flow.js'
import * as routing from './routing.js'
import * as metrics from './router-metrics.js'
import * as streams from './running-streams.js'
import * as serviceFlow from './service-flow.js'
import type * as settingsTypes from './settings.js'
import * as directories from './target-directory.js'

const WITNESS_CHECK_INTERVAL_MS = 500

/** Longest time for which a router that leaves waits until its callers have read their answers, in milliseconds. */
const LAST_ANSWERS_TIMEOUT_MS = 5000

/** Timeout of the last journal write at shutdown, and again of the recoveries in progress after it, in milliseconds. */
const CLOSE_TIMEOUT_MS = 5000

const REGISTER_RETRY_PAUSE_MS = 500

/** Serves callers, enforces budgets, and takes part in the log replication, recovery and gossip of the fleet of routers. */
export class Router extends callers.callerTypes.CallHandler {
  readonly #settings: settingsTypes.Settings
  readonly #logger: runtime.logging.Logger
  readonly #clock: decisions.clock.Clock
  readonly #process = crypto.randomUUID()
  readonly #platform: platform.platformClient.PlatformClient
  readonly #peers = new routers.peerClient.PeerClient()
  readonly #witnessStore = new decisions.witnessStore.WitnessStore()
  readonly #ownIncarnations = new Map<string, incarnations.Incarnation>()
  readonly #runningStreams = new streams.RunningStreams()
  readonly #promptParts: decisions.promptPartBoard.PromptPartBoard
  readonly #targetDirectory: directories.TargetDirectory
  readonly #membership: decisions.membership.Membership
  readonly #configuration: configurations.ConfigurationTask
  readonly #membershipTask: memberships.MembershipTask
  readonly #recoveryTask: recoveryTasks.RecoveryTask
  readonly #lateSettlement: lateSettlements.LateSettlement
  readonly #callerEdge: callers.callerServer.CallerServer
  readonly #peerServer: routers.peerServer.PeerServer
  readonly #metrics: metrics.RouterMetrics
  readonly #context: resumeFlow.ResumeContext
  readonly #stopController = new AbortController()
  #witnessTask: runtime.task.PeriodicTask | undefined
  #currentIncarnation: incarnations.Incarnation
  #callerAddress = ''
  #peerAddress = ''
  #isLeaving = false
  #requestsInProgress = 0

  constructor (settings: settingsTypes.Settings, logger: runtime.logging.Logger) {
    super()
    this.#settings = settings
    this.#logger = logger
    this.#clock = new runtime.systemClock.SystemClock()
    this.#platform = adapter.keyedStoreFactory.createKeyedStore(settings.platformAddress, settings.platformTimeoutMs, this.#logger)
    this.#promptParts = new decisions.promptPartBoard.PromptPartBoard(settings.host, {
      onHeld: (evidence) => { logger.warn({ event: 'prompt-part-held', ...evidence }) },
      onReleased: (part) => { logger.info({ event: 'prompt-part-released', part }) }
    })
    this.#targetDirectory = new directories.TargetDirectory(this.#clock, logger)
    this.#membership = new decisions.membership.Membership(settings)
    this.#configuration = this.#createConfiguration()
    this.#currentIncarnation = this.#createIncarnation()
    const keyGate = new keys.KeyGate({ platform: this.#platform, peers: this.#peers, ownIncarnations: this.#ownIncarnations, addressOf: (id) => this.#liveAddressOf(id) })
    const settler = new settlers.IntentSettler(this.#targetDirectory, this.#clock, () => this.#configuration.agreement)
    this.#lateSettlement = new lateSettlements.LateSettlement(settler, this.#clock, logger)
    this.#membershipTask = this.#createMembershipTask()
    this.#recoveryTask = this.#createRecoveryTask(settler)
    this.#context = this.#createContext(keyGate)
    this.#callerEdge = new callers.callerServer.CallerServer(this, logger)
    this.#peerServer = new routers.peerServer.PeerServer(this.#createPeerRequestHandler(keyGate))
    this.#metrics = new metrics.RouterMetrics(this.#createGaugeSource())
  }

  /** Address at which callers reach this router. */
  get callerAddress (): string {
    return this.#callerAddress
  }

  /** Starts listening and joins the fleet. Resolves once the ports are open; the router may become ready later. */
  async start (): Promise<void> {
    await this.#listen()
    this.#membershipTask.start()
    this.#startIncarnation(this.#currentIncarnation)
    this.#configuration.start()
    this.#targetDirectory.start()
    this.#recoveryTask.start()
    this.#witnessTask = this.#createPeriodicTask(WITNESS_CHECK_INTERVAL_MS, 'choose witnesses', async () => { this.#chooseWitnesses() })
    this.#logger.info({ event: 'started', incarnation: this.#currentIncarnation.id, callerAddress: this.#callerAddress, peerAddress: this.#peerAddress })
  }

  /** Refuses new requests, completes and settles those in progress, returns unused allotment and stops. */
  async shutDown (): Promise<void> {
    this.#isLeaving = true
    this.#logger.info({ event: 'leaving', serving: this.#requestsInProgress })
    while (this.#requestsInProgress > 0 || this.#lateSettlement.unsettledCount > 0) await this.#clock.sleep(20)
    await this.#callerEdge.close(LAST_ANSWERS_TIMEOUT_MS)
    await this.#endIncarnation(this.#currentIncarnation)
    await this.#stopTasks()
    this.#logger.info({ event: 'stopped' })
  }

  /** Stops at once, as a crash would. */
  stopNow (): void {
    this.#callerEdge.closeNow()
    this.#peerServer.close()
    this.#metrics.close()
    void this.#stopTasks()
  }

  override authenticate (bearerKey: string): callers.callerTypes.Caller | undefined {
    const account = this.#configuration.agreement?.accountOfKey(bearerKey)
    return account === undefined ? undefined : { account: account.id, priority: account.priority }
  }

  override notReadyReason (): string | undefined {
    if (this.#configuration.agreement === undefined) return 'no configuration yet'
    if (!this.#currentIncarnation.log.isRegistered) return 'the journal has not been written to the platform yet'
    return undefined
  }

  override entryHosts (caller: callers.callerTypes.Caller): callers.callerTypes.EntryHosts {
    const members = [this.#buildMember(), ...this.#membership.live(this.#clock.now())].filter((member) => !member.leaving)
    const hosts = decisions.membership.chooseEntryHosts(caller.account, members, this.#settings.entryHostCount)
    return { hosts: hosts.map(toEntryHost), keepSeconds: this.#settings.keepSeconds }
  }

  override async serveModel (call: callers.callerTypes.ModelCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
    await this.#serve(() => modelFlow.serveModel(this.#context, call, sink))
  }

  override async serveService (call: callers.callerTypes.ServiceCall): Promise<callers.callerTypes.ServiceOutcome> {
    return await this.#serve(() => serviceFlow.serveService(this.#context, call))
  }

  override async resumeStream (call: callers.callerTypes.ResumeCall, sink: callers.callerTypes.AnswerSink): Promise<void> {
    await this.#serve(() => resumeFlow.resumeStream(this.#context, call, sink))
  }

  async #serve<Result> (serveCall: () => Promise<Result>): Promise<Result> {
    if (this.#isLeaving) throw new decisions.problem.ProblemError({ tag: 'shutting_down', step: 'admit', peer: decisions.problem.Peer.self })
    const startedAt = this.#clock.now()
    this.#requestsInProgress += 1
    try {
      const result = await serveCall()
      this.#metrics.observeRequest('served', (this.#clock.now() - startedAt) / 1000)
      return result
    } catch (error) {
      this.#metrics.observeRequest(callers.problemResponse.toProblem(error).tag, (this.#clock.now() - startedAt) / 1000)
      throw error
    } finally {
      this.#requestsInProgress -= 1
    }
  }

  async #listen (): Promise<void> {
    const settings = this.#settings
    const callerListen = runtime.httpServer.parseListenAddress(settings.callerListen)
    const callerPort = await this.#callerEdge.listen(callerListen.port, callerListen.address)
    const peerListen = runtime.httpServer.parseListenAddress(settings.peerListen)
    const peerPort = await this.#peerServer.listen(peerListen.port, peerListen.address)
    const metricsListen = runtime.httpServer.parseListenAddress(settings.metricsListen)
    await this.#metrics.listen(metricsListen.port, metricsListen.address)
    this.#callerAddress = settings.callerAddress ?? `http://${callerListen.address}:${callerPort}`
    this.#peerAddress = settings.peerAddress ?? `${peerListen.address}:${peerPort}`
  }

  #createIncarnation (): incarnations.Incarnation {
    const incarnation = factories.createIncarnation({
      settings: this.#settings,
      platform: this.#platform,
      peers: this.#peers,
      clock: this.#clock,
      logger: this.#logger,
      process: this.#process,
      peerAddress: () => this.#peerAddress,
      limitsOf: (budget) => this.#configuration.agreement?.limits(budget),
      addressOf: (id) => this.#liveAddressOf(id),
      onSealed: (id) => { this.#replaceIncarnation(id) }
    })
    this.#ownIncarnations.set(incarnation.id, incarnation)
    return incarnation
  }

  #startIncarnation (incarnation: incarnations.Incarnation): void {
    incarnation.log.start()
    void this.#register(this.#buildMember())
  }

  async #register (member: decisions.membership.Member): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      try {
        await this.#membershipTask.register(member)
        return
      } catch (error) {
        this.#logger.warn({ event: 'waiting-for-platform', step: 'register', peer: 'platform', reason: (error as Error).message })
        await this.#clock.sleep(REGISTER_RETRY_PAUSE_MS, this.#stopController.signal)
      }
    }
  }

  /** Starts a new incarnation after another router has sealed the current one. Requests in progress end under the sealed incarnation. */
  #replaceIncarnation (sealed: string): void {
    this.#ownIncarnations.get(sealed)?.ledger.stop()
    if (this.#currentIncarnation.id !== sealed || this.#isLeaving) return
    this.#currentIncarnation = this.#createIncarnation()
    this.#logger.warn({ event: 'incarnation-replaced', sealed, incarnation: this.#currentIncarnation.id })
    this.#startIncarnation(this.#currentIncarnation)
  }

  async #endIncarnation (incarnation: incarnations.Incarnation): Promise<void> {
    await incarnation.ledger.returnFreeTokens()
    await incarnation.log.close(CLOSE_TIMEOUT_MS)
    this.#recoveryTask.add(incarnation.id)
    await this.#recoveryTask.waitUntilIdle(CLOSE_TIMEOUT_MS)
  }

  async #stopTasks (): Promise<void> {
    this.#stopController.abort()
    await Promise.all([
      this.#witnessTask?.stop(),
      this.#membershipTask.stop(),
      this.#recoveryTask.stop(),
      this.#lateSettlement.stop(),
      this.#targetDirectory.stop(),
      this.#configuration.stop()
    ])
    this.#peerServer.close()
    this.#metrics.close()
    this.#peers.close()
  }

  #chooseWitnesses (): void {
    const { log } = this.#currentIncarnation
    const live = this.#membership.live(this.#clock.now())
    const liveIds = new Set(live.map((member) => member.incarnation))
    const chosen = decisions.membership.chooseWitnesses(this.#buildMember(), live, this.#settings.witnessCount)
    const areAllWitnessesLive = log.witnesses.every((witness) => liveIds.has(witness))
    if (areAllWitnessesLive && log.witnesses.length >= chosen.length) return
    log.replaceWitnesses(chosen)
  }

  #buildMember (): decisions.membership.Member {
    return {
      incarnation: this.#currentIncarnation.id,
      host: this.#settings.host,
      availabilityZone: this.#settings.availabilityZone,
      peerAddress: this.#peerAddress,
      process: this.#process,
      callerAddress: this.#callerAddress,
      generation: this.#configuration.generation,
      leaving: this.#isLeaving
    }
  }

  #buildHeartbeat (): routers.peerMessages.HeartbeatMessage {
    const suspected = this.#membership.suspected(this.#clock.now())
    return { ...this.#buildMember(), leavingTargets: this.#targetDirectory.leavingTargets(), suspects: suspected.map((member) => member.incarnation), promptParts: this.#promptParts.reports(this.#clock.now()) }
  }

  #applyHeartbeat (message: routers.peerMessages.HeartbeatMessage): void {
    const { leavingTargets, suspects, promptParts, ...member } = message
    const now = this.#clock.now()
    this.#promptParts.merge(promptParts, now)
    if (!this.#ownIncarnations.has(member.incarnation)) this.#membership.recordHeartbeat(member, now)
    this.#membership.recordSuspicions(suspects, now)
    this.#targetDirectory.recordReportedLeaving(leavingTargets)
    void this.#configuration.fetchIfNewer(member.peerAddress, member.generation)
  }

  async #isReplaced (host: string, process: string): Promise<boolean> {
    if (host === this.#settings.host) return process !== this.#process
    return await this.#membershipTask.isReplaced(host, process)
  }

  #liveAddressOf (incarnation: string): string | undefined {
    return this.#membership.live(this.#clock.now()).find((member) => member.incarnation === incarnation)?.peerAddress
  }

  #createConfiguration (): configurations.ConfigurationTask {
    return new configurations.ConfigurationTask({
      platform: this.#platform,
      peers: this.#peers,
      clock: this.#clock,
      logger: this.#logger,
      onAgreement: (agreement) => { this.#applyAgreement(agreement) }
    })
  }

  #applyAgreement (agreement: agreements.Agreement): void {
    this.#targetDirectory.applyAgreement(agreement)
    this.#isLeaving ||= agreement.manifest.hosts.some((host) => host.id === this.#settings.host && host.leaving)
  }

  #createMembershipTask (): memberships.MembershipTask {
    return new memberships.MembershipTask({
      platform: this.#platform,
      peers: this.#peers,
      clock: this.#clock,
      logger: this.#logger,
      membership: this.#membership,
      heartbeatIntervalMs: this.#settings.heartbeatIntervalMs,
      ownHeartbeat: () => this.#buildHeartbeat(),
      isOwnIncarnation: (incarnation) => this.#ownIncarnations.has(incarnation),
      onHeartbeat: (message) => { this.#applyHeartbeat(message) },
      onHostList: (list) => { this.#targetDirectory.replaceListedLeaving(list.targets.filter((target) => target.leaving).map((target) => target.target)) },
      onPredecessor: (incarnation) => { this.#recoveryTask.add(incarnation) }
    })
  }

  #createRecoveryTask (settler: settlers.IntentSettler): recoveryTasks.RecoveryTask {
    const recovery = new recoveries.Recovery({
      platform: this.#platform,
      peers: this.#peers,
      logger: this.#logger,
      settler,
      isReplaced: (host, process) => this.#isReplaced(host, process)
    })
    return new recoveryTasks.RecoveryTask({
      recovery,
      membership: this.#membership,
      clock: this.#clock,
      logger: this.#logger,
      deadAfterMs: this.#settings.deadAfterMs,
      self: () => this.#buildMember(),
      unregister: async (incarnation) => {
        await this.#membershipTask.unregister(incarnation)
        this.#witnessStore.discardRecords(incarnation)
      }
    })
  }

  #createContext (keyGate: keys.KeyGate): resumeFlow.ResumeContext {
    return {
      clock: this.#clock,
      logger: this.#logger,
      targetDirectory: this.#targetDirectory,
      routingPolicy: routing.createPolicy(this.#settings.routingPolicy, this.#settings.seed ?? crypto.randomInt(2 ** 31)),
      keyGate,
      runningStreams: this.#runningStreams,
      promptParts: this.#promptParts,
      rankFor: (key) => this.#rankFor(key),
      timeouts: { ...this.#settings, clock: this.#clock },
      resumeGraceMs: this.#settings.resumeGraceMs,
      currentAgreement: () => this.#requireAgreement(),
      currentIncarnation: () => this.#currentIncarnation,
      settleLater: (request, deliveredTokens) => { this.#lateSettlement.add(request, deliveredTokens) },
      platform: this.#platform,
      peers: this.#peers,
      addressOf: (incarnation) => this.#liveAddressOf(incarnation),
      takeOverLocalStream: (requestId, account) => this.#runningStreams.takeOver(requestId, account)
    }
  }

  #rankFor (key: string): number {
    const hosts = [this.#settings.host, ...this.#membership.live(this.#clock.now()).map((member) => member.host)]
    return decisions.hashing.rendezvousOrder(hosts, key, (host) => host).indexOf(this.#settings.host)
  }

  #requireAgreement (): agreements.Agreement {
    const { agreement } = this.#configuration
    if (agreement !== undefined) return agreement
    throw new decisions.problem.ProblemError({ tag: 'not_ready', step: 'admit', peer: decisions.problem.Peer.self })
  }

  #createPeerRequestHandler (keyGate: keys.KeyGate): peerRequestHandlers.PeerRequestHandler {
    return new peerRequestHandlers.PeerRequestHandler({
      ownIncarnations: this.#ownIncarnations,
      currentIncarnation: () => this.#currentIncarnation,
      witnessStore: this.#witnessStore,
      keyGate,
      streams: this.#runningStreams,
      configuration: this.#configuration,
      heartbeat: (message) => {
        this.#applyHeartbeat(message)
        return this.#buildHeartbeat()
      }
    })
  }

  #createGaugeSource (): metrics.GaugeSource {
    return {
      openReservations: () => this.#currentIncarnation.ledger.allotment.openReservations,
      openStreams: () => this.#runningStreams.size,
      heldPromptParts: () => this.#promptParts.heldParts,
      witnessedRecords: () => this.#witnessStore.recordCount,
      generation: () => this.#configuration.generation,
      recoveringIncarnations: () => this.#recoveryTask.recoveringCount,
      unsettledRequests: () => this.#lateSettlement.unsettledCount,
      journalAgeMs: () => this.#currentIncarnation.log.journalAgeMs,
      platformCalls: () => this.#platform.callCounts
    }
  }

  #createPeriodicTask (intervalMs: number, step: string, action: () => Promise<void>): runtime.task.PeriodicTask {
    return new runtime.task.PeriodicTask({
      intervalMs,
      action,
      onError: (error) => { this.#logger.error({ event: 'task-failed', step, peer: 'self', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#clock.sleep(milliseconds, signal)
    })
  }
}

function toEntryHost (member: decisions.membership.Member): callers.callerTypes.EntryHost {
  return {
    host: member.host,
    address: member.callerAddress,
    availabilityZone: member.availabilityZone,
    keyPrefix: decisions.requestKey.keyPrefix(member.incarnation)
  }
}
