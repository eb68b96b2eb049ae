import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import * as callerServers from './caller-server.js'
import * as configurations from './configuration-watch.js'
import * as logs from './decision-log.js'
import * as entries from './entry-server.js'
import * as fleetExchanges from './fleet-exchange.js'
import * as fleetViews from './fleet-view.js'
import * as metrics from './gateway-metrics.js'
import * as loads from './load-meter.js'
import * as peerTables from './peer-table.js'
import * as peerTasks from './peer-task.js'
import * as registrations from './registration.js'
import * as flows from './request-flow.js'
import * as targetWatches from './target-watch.js'
import * as targetConnections from './target-connections.js'
import * as tokenPages from './token-pages.js'
import * as tokenTasks from './token-task.js'

/** Longest wait for a store call other than a watch, in milliseconds. */
const STORE_TIMEOUT_MS = 800

/** Time after SIGTERM in which callers learn of other gateways before idle connections are closed, in milliseconds. */
const LEAVE_NOTICE_MS = 1500

/** Time after SIGTERM until no more connections are taken, in milliseconds. Callers keep the directory's answer up to three lifetimes. */
const LISTEN_ON_MS = 4500

/** Time kept for handing tokens back before the process is killed, in milliseconds. */
const HAND_BACK_MS = 700

/** Pause between two looks at requests in progress while leaving, in milliseconds. */
const LEAVE_CHECK_MS = 50

/** Reported where the store has not answered yet, in milliseconds. */
const UNREACHED_MS = 1_000_000

/** Pause between two looks whether this gateway has to watch the store, in milliseconds. */
const DUTY_CHECK_MS = 1000

/** What a gateway runs with. */
export interface GatewayOptions {
  fleet: adapter.settingsFile.FleetSettings
  metricsPort: number
  seed: number | undefined
  log: runtime.logging.BoundedLog
}

/** A gateway: serves callers at one host, in a fleet of equals. */
export class Gateway {
  #fleet: adapter.settingsFile.FleetSettings
  readonly #options: GatewayOptions
  readonly #logger: runtime.logging.Logger
  readonly #clock = new runtime.systemClock.SystemClock()
  readonly #incarnation: string
  readonly #random: decisions.random.RandomSource
  readonly #store: platform.objectStore.ObjectStore
  readonly #board = new decisions.targetBoard.TargetBoard()
  readonly #pool = new decisions.tokenPool.TokenPool()
  readonly #allowance: decisions.retryAllowance.RetryAllowance
  readonly #connections = new targetConnections.TargetConnections()
  readonly #peers: peerTables.PeerTable
  readonly #view: fleetViews.FleetView
  readonly #configuration: configurations.ConfigurationWatch
  readonly #targets: targetWatches.TargetWatch
  readonly #pages: tokenPages.TokenPages
  readonly #tokens: tokenTasks.TokenTask
  readonly #exchange: fleetExchanges.FleetExchange
  readonly #peerTask: peerTasks.PeerTask
  readonly #metrics: metrics.GatewayMetrics
  readonly #callers: callerServers.CallerServer
  readonly #entry: entries.EntryServer
  readonly #load: loads.LoadMeter
  readonly #stop = new AbortController()
  #leaving = false

  constructor (options: GatewayOptions) {
    this.#options = options
    this.#fleet = options.fleet
    this.#incarnation = `${options.fleet.host}-${crypto.randomUUID().slice(0, 8)}`
    this.#random = new decisions.random.SeededRandom(options.seed ?? crypto.randomInt(2 ** 31))
    this.#logger = options.log.logger.child({ incarnation: this.#incarnation })
    this.#store = new adapter.storeClient.StoreClient({ address: options.fleet.storeAddress, timeoutMs: STORE_TIMEOUT_MS, logger: this.#logger })
    this.#peers = new peerTables.PeerTable(options.fleet.peerListen)
    this.#view = new fleetViews.FleetView({ name: options.fleet.host, availabilityZone: options.fleet.availabilityZone, processorShare: options.fleet.processorShare }, this.#peers, this.#clock)
    this.#allowance = new decisions.retryAllowance.RetryAllowance(options.fleet.retryBudget)
    this.#load = new loads.LoadMeter(this.#clock, options.fleet.processorShare)
    const pauseMs = (): number => this.#view.hasWatchDuty() ? 0 : DUTY_CHECK_MS
    const shared = { store: this.#store, clock: this.#clock, logger: this.#logger, pauseMs }
    this.#configuration = new configurations.ConfigurationWatch(shared, (table) => { this.#useAgreement(table) })
    this.#targets = new targetWatches.TargetWatch(shared, this.#board)
    this.#pages = new tokenPages.TokenPages({
      ...shared,
      incarnation: this.#incarnation,
      totals: () => this.#totals(),
      gateways: () => this.#view.gateways(),
      onTokens: (account, tokens) => { this.#pool.add(account, tokens) }
    })
    this.#tokens = this.#createTokenTask()
    this.#exchange = this.#createExchange()
    this.#peerTask = this.#createPeerTask()
    this.#metrics = new metrics.GatewayMetrics(this.#gauges())
    this.#callers = this.#createCallerServer()
    this.#entry = new entries.EntryServer({
      serving: () => this.#serving(),
      ready: () => this.#isReady(),
      mostSeconds: options.fleet.directoryLifetimeMs / 1000
    })
  }

  /** Starts listening and joins the fleet. Resolves when the ports are open; readiness may come later. */
  async start (): Promise<void> {
    const caller = runtime.httpServer.parseListenAddress(this.#fleet.callerListen)
    const peer = runtime.httpServer.parseListenAddress(this.#fleet.peerListen)
    this.#configuration.start()
    this.#targets.start()
    await this.#callers.listen(caller.port, caller.address)
    await this.#peerTask.listen(peer.port, peer.address)
    await this.#entry.listen(
      runtime.httpServer.parseListenAddress(this.#fleet.directoryListen),
      runtime.httpServer.parseListenAddress(this.#fleet.readyListen)
    )
    await this.#metrics.listen(this.#options.metricsPort, this.#fleet.ip)
    this.#peerTask.start()
    this.#tokens.start()
    void this.#register()
    this.#logger.info({ event: 'started', callers: this.#fleet.callerListen, peers: this.#fleet.peerListen, seeds: this.#fleet.seedPeers })
  }

  /** Takes changed settings. Where this gateway listens and which store it uses stays until its next start. */
  useSettings (fleet: adapter.settingsFile.FleetSettings): void {
    const { retryBudget, graceMs, seedPeers } = fleet
    this.#fleet = { ...this.#fleet, retryBudget, graceMs, seedPeers }
    this.#allowance.use(retryBudget)
    for (const seed of seedPeers) this.#peers.add(seed, this.#clock.now())
    this.#logger.info({ event: 'reloaded', retryBudget, graceMs, seedPeers })
  }

  /** Takes no new work, ends all requests in progress, hands tokens back and ends. */
  async shutDown (): Promise<void> {
    const startedAt = this.#clock.now()
    const elapsed = (): number => this.#clock.now() - startedAt
    this.#leaving = true
    this.#logger.info({ event: 'leaving', inProgress: this.#callers.inProgress })
    this.#callers.leave()
    void this.#peerTask.announce()
    void this.#tokens.handBack()
    const endMs = this.#fleet.graceMs - HAND_BACK_MS
    let listening = true
    while (elapsed() < endMs && (listening || this.#callers.inProgress > 0)) {
      await this.#clock.sleep(LEAVE_CHECK_MS)
      if (elapsed() > LEAVE_NOTICE_MS) this.#callers.closeIdle()
      if (listening && elapsed() > LISTEN_ON_MS) {
        listening = false
        this.#callers.stopListening()
      }
    }
    await this.#tokens.handBack()
    this.#logger.info({ event: 'stopped', inProgress: this.#callers.inProgress, milliseconds: Math.round(elapsed()) })
    this.stopNow()
  }

  /** Ends at once, as a crash would. */
  stopNow (): void {
    if (this.#stop.signal.aborted) return
    this.#stop.abort()
    this.#configuration.stop()
    this.#targets.stop()
    this.#tokens.stop()
    this.#peerTask.stop()
    this.#callers.closeNow()
    this.#entry.close()
    this.#metrics.close()
    this.#connections.close()
  }

  #isReady (): boolean {
    return !this.#leaving && this.#configuration.table !== undefined && this.#targets.changeRevision > 0
  }

  #serving (): routers.gatewayMessages.GatewayMember[] {
    const others = this.#view.serving()
    return this.#isReady() ? [this.#member(), ...others] : others
  }

  #member (): routers.gatewayMessages.GatewayMember {
    return {
      host: this.#fleet.host,
      incarnation: this.#incarnation,
      peerAddress: this.#fleet.peerListen,
      callerAddress: this.#fleet.callerListen,
      availabilityZone: this.#fleet.availabilityZone,
      leaving: this.#leaving,
      ready: this.#isReady(),
      load: this.#load.load(),
      processorShare: this.#fleet.processorShare,
      storeSilenceMs: Math.round(Math.min(this.#configuration.silenceMs(), UNREACHED_MS))
    }
  }

  #useAgreement (table: decisions.routeTable.RouteTable): void {
    this.#exchange.confirmAgreement(this.#clock.now())
    this.#callers.useLimits(table.agreement.limits)
  }

  #totals (): tokenPages.PrepaidTotals | undefined {
    const agreement = this.#configuration.table?.agreement
    if (agreement?.accounts === undefined) return undefined
    const prepaid = agreement.accounts.filter((account) => account.prepaidTokens !== undefined)
    return { version: agreement.version, totals: Object.fromEntries(prepaid.map((account) => [account.name, account.prepaidTokens ?? 0])) }
  }

  async #register (): Promise<void> {
    await registrations.register({
      host: this.#fleet.host,
      peerAddress: this.#fleet.peerListen,
      store: this.#store,
      clock: this.#clock,
      logger: this.#logger,
      onGateway: (peerAddress) => { this.#peers.add(peerAddress, this.#clock.now()) }
    }, this.#stop.signal)
  }

  #createTokenTask (): tokenTasks.TokenTask {
    return new tokenTasks.TokenTask(this.#pool, {
      selfAddress: this.#fleet.peerListen,
      policy: tokenTasks.POOL_POLICY,
      pages: this.#pages,
      clock: this.#clock,
      random: this.#random,
      logger: this.#logger,
      totals: () => this.#totals(),
      gateways: () => this.#view.gateways(),
      holders: (account) => this.#view.holders(account),
      transfer: async (peerAddress, account, tokens) => await this.#peerTask.transfer(peerAddress, account, tokens),
      returnTokens: async (peerAddress, account, tokens) => { await this.#peerTask.returnTokens(peerAddress, account, tokens) }
    })
  }

  #createExchange (): fleetExchanges.FleetExchange {
    return new fleetExchanges.FleetExchange({
      clock: this.#clock,
      board: this.#board,
      peers: this.#peers,
      view: this.#view,
      configuration: this.#configuration,
      targets: this.#targets,
      tokens: this.#tokens,
      member: () => this.#member(),
      fetchState: (peerAddress) => { void this.#peerTask.fetchState(peerAddress) }
    })
  }

  #createPeerTask (): peerTasks.PeerTask {
    return new peerTasks.PeerTask({
      selfAddress: this.#fleet.peerListen,
      table: this.#peers,
      seeds: this.#fleet.seedPeers,
      clock: this.#clock,
      logger: this.#logger,
      heartbeat: () => this.#exchange.heartbeat(),
      state: (known) => this.#exchange.stateBeyond(known),
      known: () => this.#exchange.known(),
      giveTokens: async (request) => await this.#tokens.giveAway(request),
      takeTokens: (account, tokens) => { this.#pool.add(account, tokens) },
      onHeartbeat: (heartbeat) => { this.#exchange.hear(heartbeat) },
      onState: (state) => { this.#exchange.useState(state) }
    })
  }

  #createCallerServer (): callerServers.CallerServer {
    const flow = new flows.RequestFlow({
      clock: this.#clock,
      board: this.#board,
      connections: this.#connections,
      tokens: this.#tokens,
      allowance: this.#allowance,
      availabilityZone: this.#fleet.availabilityZone,
      service: (name) => this.#configuration.table?.service(name),
      gateways: () => this.#view.gateways(),
      onFirstEvent: (milliseconds) => { this.#metrics.firstEvent(milliseconds / 1000) }
    })
    return new callerServers.CallerServer({
      clock: this.#clock,
      random: this.#random,
      logger: this.#logger,
      log: new logs.DecisionLog(this.#logger, this.#clock),
      metrics: this.#metrics,
      flow,
      table: () => this.#configuration.table,
      agreementAgeMs: () => this.#exchange.agreementAgeMs()
    })
  }

  #gauges (): metrics.GaugeSource {
    return {
      requestsInProgress: () => this.#callers.inProgress,
      agreementVersion: () => this.#configuration.version,
      livePeers: () => this.#peers.live(this.#clock.now()).length,
      freeTokens: () => this.#tokens.freeTokens(),
      storeCalls: () => this.#store.counts,
      droppedLogLines: this.#options.log.droppedLines
    }
  }
}
