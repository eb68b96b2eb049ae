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
import * as late from './late-settlement.js'
import * as memberships from './membership-task.js'
import * as modelFlow from './model-flow.js'
import * as peerAnswers from './peer-answers.js'
import * as recoveries from './recovery.js'
import * as recoveryTasks from './recovery-task.js'
import * as resumeFlow from './resume-flow.js'
import * as routing from './routing.js'
import * as metrics from './router-metrics.js'
import * as streams from './running-streams.js'
import * as serviceFlow from './service-flow.js'
import type * as settingsTypes from './settings.js'
import * as directories from './target-directory.js'

/** Time between two looks at the witnesses, in milliseconds. */
const WITNESS_INTERVAL_MS = 500

/** Longest time for the last journal write at shutdown, in milliseconds. */
const CLOSE_LIMIT_MS = 5000

/** Pause between tries to register with an unreachable platform, in milliseconds. */
const REGISTER_PAUSE_MS = 500

/** A router: serves callers, keeps budgets, helps other routers. */
export class Router extends callers.callerTypes.CallHandler {
  readonly #settings: settingsTypes.Settings
  readonly #logger: runtime.logging.Logger
  readonly #clock: decisions.clock.Clock
  readonly #process = crypto.randomUUID()
  readonly #platform: platform.platformClient.PlatformClient
  readonly #peers = new routers.peerClient.PeerClient()
  readonly #witnessStore = new decisions.witnessStore.WitnessStore()
  readonly #own = new Map<string, incarnations.Incarnation>()
  readonly #streams = new streams.RunningStreams()
  readonly #directory: directories.TargetDirectory
  readonly #membership: decisions.membership.Membership
  readonly #configuration: configurations.ConfigurationTask
  readonly #membershipTask: memberships.MembershipTask
  readonly #recoveryTask: recoveryTasks.RecoveryTask
  readonly #lateSettlement: late.LateSettlement
  readonly #edge: callers.callerEdge.CallerEdge
  readonly #peerServer: routers.peerServer.PeerServer
  readonly #metrics: metrics.RouterMetrics
  readonly #context: resumeFlow.ResumeContext
  readonly #stop = new AbortController()
  #witnessLoop: runtime.task.PeriodicTask | undefined
  #incarnation: incarnations.Incarnation
  #callerAddress = ''
  #peerAddress = ''
  #leaving = false
  #serving = 0

  constructor (settings: settingsTypes.Settings, logger: runtime.logging.Logger) {
    super()
    this.#settings = settings
    this.#logger = logger
    this.#clock = new runtime.systemClock.SystemClock()
    this.#platform = adapter.keyedStoreFactory.createKeyedStore(settings.platformAddress, settings.platformTimeoutMs, this.#logger)
    this.#directory = new directories.TargetDirectory(this.#clock, logger)
    this.#membership = new decisions.membership.Membership(settings)
    this.#configuration = this.#createConfiguration()
    this.#incarnation = this.#createIncarnation()
    const keyGate = new keys.KeyGate({ platform: this.#platform, peers: this.#peers, own: this.#own, addressOf: (id) => this.#liveAddress(id) })
    const settler = new settlers.IntentSettler(this.#directory, this.#clock, () => this.#configuration.agreement)
    this.#lateSettlement = new late.LateSettlement(settler, this.#clock, logger)
    this.#membershipTask = this.#createMembershipTask()
    this.#recoveryTask = this.#createRecoveryTask(settler)
    this.#context = this.#createContext(keyGate)
    this.#edge = new callers.callerEdge.CallerEdge(this, logger)
    this.#peerServer = new routers.peerServer.PeerServer(this.#createPeerAnswers(keyGate))
    this.#metrics = new metrics.RouterMetrics(this.#gauges())
  }

  /** Address at which callers reach this router. */
  get callerAddress (): string {
    return this.#callerAddress
  }

  /** Starts listening and joins the fleet. Resolves when the ports are open; readiness may come later. */
  async start (): Promise<void> {
    await this.#listen()
    this.#membershipTask.start()
    this.#startIncarnation(this.#incarnation)
    this.#configuration.start()
    this.#directory.start()
    this.#recoveryTask.start()
    this.#witnessLoop = this.#periodic(WITNESS_INTERVAL_MS, 'choose witnesses', async () => { this.#chooseWitnesses() })
    this.#logger.info({ event: 'started', incarnation: this.#incarnation.id, callerAddress: this.#callerAddress, peerAddress: this.#peerAddress })
  }

  /** Takes no new work, finishes all requests in progress, hands allotment back and ends. */
  async shutDown (): Promise<void> {
    this.#leaving = true
    this.#logger.info({ event: 'leaving', serving: this.#serving })
    while (this.#serving > 0 || this.#lateSettlement.size > 0) await this.#clock.sleep(20)
    await this.#edge.close()
    await this.#endIncarnation(this.#incarnation)
    await this.#stopTasks()
    this.#logger.info({ event: 'stopped' })
  }

  /** Ends at once, as a crash would. */
  stopNow (): void {
    this.#edge.closeNow()
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
    if (!this.#incarnation.log.registered) return 'the journal is not in the platform yet'
    return undefined
  }

  override entryHosts (caller: callers.callerTypes.Caller): callers.callerTypes.EntryHosts {
    const members = [this.#member(), ...this.#membership.live(this.#clock.now())].filter((member) => !member.leaving)
    const hosts = decisions.membership.chooseEntryHosts(caller.account, members, this.#settings.entryHostCount)
    return { hosts: hosts.map(entryHost), keepSeconds: this.#settings.keepSeconds }
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

  async #serve<Result> (work: () => Promise<Result>): Promise<Result> {
    if (this.#leaving) throw new decisions.problem.ProblemError({ tag: 'shutting_down', step: 'admit', peer: decisions.problem.Peer.self })
    const startedAt = this.#clock.now()
    this.#serving += 1
    try {
      const result = await work()
      this.#metrics.request('served', (this.#clock.now() - startedAt) / 1000)
      return result
    } catch (error) {
      this.#metrics.request(callers.problemResponse.toProblem(error).tag, (this.#clock.now() - startedAt) / 1000)
      throw error
    } finally {
      this.#serving -= 1
    }
  }

  async #listen (): Promise<void> {
    const settings = this.#settings
    const caller = runtime.httpServer.parseListenAddress(settings.callerListen)
    const callerPort = await this.#edge.listen(caller.port, caller.address)
    const peer = runtime.httpServer.parseListenAddress(settings.peerListen)
    const peerPort = await this.#peerServer.listen(peer.port, peer.address)
    const metric = runtime.httpServer.parseListenAddress(settings.metricsListen)
    await this.#metrics.listen(metric.port, metric.address)
    this.#callerAddress = settings.callerAddress ?? `http://${caller.address}:${callerPort}`
    this.#peerAddress = settings.peerAddress ?? `${peer.address}:${peerPort}`
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
      addressOf: (id) => this.#liveAddress(id),
      onSealed: (id) => { this.#replaceIncarnation(id) }
    })
    this.#own.set(incarnation.id, incarnation)
    return incarnation
  }

  #startIncarnation (incarnation: incarnations.Incarnation): void {
    incarnation.log.start()
    void this.#register(this.#member())
  }

  async #register (member: decisions.membership.Member): Promise<void> {
    while (!this.#stop.signal.aborted) {
      try {
        await this.#membershipTask.register(member)
        return
      } catch (error) {
        this.#logger.warn({ event: 'waiting-for-platform', step: 'register', peer: 'platform', reason: (error as Error).message })
        await this.#clock.sleep(REGISTER_PAUSE_MS, this.#stop.signal)
      }
    }
  }

  /** Another router has sealed this one: what is in progress ends under the old identity, new work runs under a new one. */
  #replaceIncarnation (sealed: string): void {
    this.#own.get(sealed)?.ledger.stop()
    if (this.#incarnation.id !== sealed || this.#leaving) return
    this.#incarnation = this.#createIncarnation()
    this.#logger.warn({ event: 'incarnation-replaced', sealed, incarnation: this.#incarnation.id })
    this.#startIncarnation(this.#incarnation)
  }

  async #endIncarnation (incarnation: incarnations.Incarnation): Promise<void> {
    await incarnation.ledger.handBack()
    await incarnation.log.close(CLOSE_LIMIT_MS)
    this.#recoveryTask.add(incarnation.id)
    await this.#recoveryTask.finish(CLOSE_LIMIT_MS)
  }

  async #stopTasks (): Promise<void> {
    this.#stop.abort()
    await Promise.all([
      this.#witnessLoop?.stop(),
      this.#membershipTask.stop(),
      this.#recoveryTask.stop(),
      this.#lateSettlement.stop(),
      this.#directory.stop(),
      this.#configuration.stop()
    ])
    this.#peerServer.close()
    this.#metrics.close()
    this.#peers.close()
  }

  #chooseWitnesses (): void {
    const { log } = this.#incarnation
    const live = this.#membership.live(this.#clock.now())
    const liveIds = new Set(live.map((member) => member.incarnation))
    const chosen = decisions.membership.chooseWitnesses(this.#member(), live, this.#settings.witnessCount)
    const healthy = log.witnesses.every((witness) => liveIds.has(witness))
    if (healthy && log.witnesses.length >= chosen.length) return
    log.useWitnesses(chosen)
  }

  #member (): decisions.membership.Member {
    return {
      incarnation: this.#incarnation.id,
      host: this.#settings.host,
      availabilityZone: this.#settings.availabilityZone,
      peerAddress: this.#peerAddress,
      process: this.#process,
      callerAddress: this.#callerAddress,
      generation: this.#configuration.generation,
      leaving: this.#leaving
    }
  }

  #heartbeat (): routers.peerMessages.HeartbeatMessage {
    const silent = this.#membership.suspected(this.#clock.now())
    return { ...this.#member(), leavingTargets: this.#directory.leavingTargets(), suspects: silent.map((member) => member.incarnation) }
  }

  #hear (message: routers.peerMessages.HeartbeatMessage): void {
    const { leavingTargets, suspects, ...member } = message
    const now = this.#clock.now()
    if (!this.#own.has(member.incarnation)) this.#membership.recordHeartbeat(member, now)
    this.#membership.recordSuspicions(suspects, now)
    this.#directory.noteLeaving(leavingTargets)
    void this.#configuration.peerHas(member.peerAddress, member.generation)
  }

  async #isReplaced (host: string, process: string): Promise<boolean> {
    if (host === this.#settings.host) return process !== this.#process
    return await this.#membershipTask.isReplaced(host, process)
  }

  #liveAddress (incarnation: string): string | undefined {
    return this.#membership.live(this.#clock.now()).find((member) => member.incarnation === incarnation)?.peerAddress
  }

  #createConfiguration (): configurations.ConfigurationTask {
    return new configurations.ConfigurationTask({
      platform: this.#platform,
      peers: this.#peers,
      clock: this.#clock,
      logger: this.#logger,
      onAgreement: (agreement) => { this.#useAgreement(agreement) }
    })
  }

  #useAgreement (agreement: agreements.Agreement): void {
    this.#directory.useAgreement(agreement)
    this.#leaving ||= agreement.manifest.hosts.some((host) => host.id === this.#settings.host && host.leaving)
  }

  #createMembershipTask (): memberships.MembershipTask {
    return new memberships.MembershipTask({
      platform: this.#platform,
      peers: this.#peers,
      clock: this.#clock,
      logger: this.#logger,
      membership: this.#membership,
      heartbeatIntervalMs: this.#settings.heartbeatIntervalMs,
      self: () => this.#heartbeat(),
      isOwn: (incarnation) => this.#own.has(incarnation),
      onHeartbeat: (message) => { this.#hear(message) },
      onHostList: (list) => { this.#directory.useHostList(list.targets.filter((target) => target.leaving).map((target) => target.target)) },
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
      self: () => this.#member(),
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
      directory: this.#directory,
      policy: routing.createPolicy(this.#settings.routingPolicy, this.#settings.seed ?? crypto.randomInt(2 ** 31)),
      keyGate,
      streams: this.#streams,
      limits: { ...this.#settings, clock: this.#clock },
      resumeGraceMs: this.#settings.resumeGraceMs,
      agreement: () => this.#agreement(),
      incarnation: () => this.#incarnation,
      settleLater: (request, deliveredTokens) => { this.#lateSettlement.add(request, deliveredTokens) },
      platform: this.#platform,
      peers: this.#peers,
      addressOf: (incarnation) => this.#liveAddress(incarnation),
      takeOverOwn: (requestId, account) => this.#streams.takeOver(requestId, account)
    }
  }

  #agreement (): agreements.Agreement {
    const { agreement } = this.#configuration
    if (agreement !== undefined) return agreement
    throw new decisions.problem.ProblemError({ tag: 'not_ready', step: 'admit', peer: decisions.problem.Peer.self })
  }

  #createPeerAnswers (keyGate: keys.KeyGate): peerAnswers.PeerAnswers {
    return new peerAnswers.PeerAnswers({
      own: this.#own,
      present: () => this.#incarnation,
      witnessStore: this.#witnessStore,
      keyGate,
      streams: this.#streams,
      configuration: this.#configuration,
      heartbeat: (message) => {
        this.#hear(message)
        return this.#heartbeat()
      }
    })
  }

  #gauges (): metrics.GaugeSource {
    return {
      reservations: () => this.#incarnation.ledger.book.openReservations,
      streams: () => this.#streams.size,
      witnessedRecords: () => this.#witnessStore.recordCount,
      generation: () => this.#configuration.generation,
      recovering: () => this.#recoveryTask.size,
      unsettled: () => this.#lateSettlement.size,
      journalAgeMs: () => this.#incarnation.log.journalAgeMs,
      platformCalls: () => this.#platform.counts
    }
  }

  #periodic (intervalMs: number, step: string, action: () => Promise<void>): runtime.task.PeriodicTask {
    return new runtime.task.PeriodicTask({
      intervalMs,
      action,
      onError: (error) => { this.#logger.error({ event: 'task-failed', step, peer: 'self', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#clock.sleep(milliseconds, signal)
    })
  }
}

function entryHost (member: decisions.membership.Member): callers.callerTypes.EntryHost {
  return {
    host: member.host,
    address: member.callerAddress,
    availabilityZone: member.availabilityZone,
    keyPrefix: decisions.requestKey.keyPrefix(member.incarnation)
  }
}
