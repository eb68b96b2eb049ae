import type * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as fleets from './soak-fleet.js'

/** Injects one fault and resolves when the fault is over. */
type Fault = (soak: SoakFaults) => Promise<void>

const SHORTEST_FAULT_MS = 200
const LONGEST_FAULT_MS = 2500

/** Time for which requests with a crashing prompt part are sent, and the time between two of them, in milliseconds. */
const CRASHING_PART_MS = 6000
const CRASHING_REQUEST_INTERVAL_MS = 300

/** Time for which a target names a limit, in milliseconds, and the limits. */
const LIMIT_MS = 7500
const LIMITS_PER_SECOND = [0.4, 1.5, 6]

/** A limit that a target named. */
export interface NamedLimit {
  target: standIns.targetServer.TargetServer
  perSecond: number
  /** Times between which it was named. */
  from: number
  until: number
}

/** Injects random faults from a seeded source into a fleet. Faults may overlap. */
export class SoakFaults {
  readonly fleet: fleets.SoakFleet
  readonly #random: decisions.random.RandomSource
  readonly #onUnexpectedExit: (host: fleets.SoakHost, code: number | undefined) => void
  readonly #runningFaults = new Set<Promise<void>>()
  /** Names of the injected faults, in the order of their start. */
  readonly injected: string[] = []
  /** Targets that were set to draining and are not registered as ready again, with the time of that change. */
  readonly leavingSince = new Map<string, number>()
  readonly limits: NamedLimit[] = []
  /** Routes that the newest configuration has in addition to the default ones. */
  addedRoutes: object[] = []
  #addedRouteCount = 0
  #crashingPartCount = 0

  constructor (fleet: fleets.SoakFleet, random: decisions.random.RandomSource, onUnexpectedExit: (host: fleets.SoakHost, code: number | undefined) => void) {
    this.fleet = fleet
    this.#random = random
    this.#onUnexpectedExit = onUnexpectedExit
  }

  /** Starts faults for the given time, with random pauses in between, and resolves when the last one is over. */
  async run (milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds
    const names = Object.keys(faults)
    while (performance.now() < end) {
      await fleets.sleep(this.#random.integer(600))
      const name = names[this.#random.integer(names.length)]
      this.injected.push(name)
      const running = faults[name](this).finally(() => { this.#runningFaults.delete(running) })
      this.#runningFaults.add(running)
    }
    await Promise.all(this.#runningFaults)
  }

  /** Returns a random duration for a fault. */
  randomDurationMs (): number {
    return SHORTEST_FAULT_MS + this.#random.integer(LONGEST_FAULT_MS - SHORTEST_FAULT_MS)
  }

  /** Returns a random host that no other fault has terminated or paused; undefined if there is none. */
  randomHost (): fleets.SoakHost | undefined {
    const undisturbed = this.fleet.hosts.filter((host) => !host.isDisturbed)
    return undisturbed[this.#random.integer(Math.max(1, undisturbed.length))]
  }

  randomTarget (): standIns.targetServer.TargetServer {
    const { targets } = this.fleet.platform
    return targets[this.#random.integer(targets.length)]
  }

  randomInteger (bound: number): number {
    return this.#random.integer(bound)
  }

  /** Makes the targets crash under a new prompt part, and sends requests with it to random hosts. */
  async sendCrashingPart (): Promise<void> {
    const { platform, hosts } = this.fleet
    const part = `bad${this.#crashingPartCount}`
    this.#crashingPartCount += 1
    const moments = Object.values(standIns.targetServer.CrashMoment)
    platform.crashingParts.set(part, moments[this.#random.integer(moments.length)])
    const end = performance.now() + CRASHING_PART_MS
    for (let count = 0; performance.now() < end; count++) {
      const headers = standIns.callerClient.callerHeaders({
        host: standIns.platformStandIn.ROUTE_HOST,
        attemptId: `${part}-${count}`,
        apiKey: platform.accounts[0].apiKey,
        remainingMs: LONGEST_FAULT_MS,
        model: { promptTokens: 30, outputTokens: 10, session: part }
      })
      void standIns.callerClient.send(hosts[this.#random.integer(hosts.length)].callerAddress, `${this.#random.integer(2) === 0 ? '/plan/' : '/reply/'}${part}`, headers, '', LONGEST_FAULT_MS)
      await fleets.sleep(CRASHING_REQUEST_INTERVAL_MS)
    }
    platform.crashingParts.delete(part)
  }

  restart (host: fleets.SoakHost): void {
    host.start(this.#onUnexpectedExit)
  }

  /** Publishes a configuration with one more route. */
  addRoute (): void {
    this.#addedRouteCount += 1
    this.addedRoutes = [...this.addedRoutes, {
      Host: standIns.platformStandIn.ROUTE_HOST,
      Name: `added-${this.#addedRouteCount}`,
      PathPrefix: `/added-${this.#addedRouteCount}/`,
      Kind: 'idempotent',
      Service: 'orders',
      TimeoutMs: 3000,
      TargetLatencyMs: 500,
      MaxAttempts: 2,
      AllowAnonymous: true
    }]
    this.fleet.platform.configure({ routes: this.addedRoutes })
  }
}

const { StoreFault } = standIns.storeServer
const { TargetFault } = standIns.targetServer

async function injectStoreFault (soak: SoakFaults, fault: standIns.storeServer.StoreFault): Promise<void> {
  const { store } = soak.fleet.platform
  store.fault = fault
  await fleets.sleep(soak.randomDurationMs())
  store.fault = StoreFault.none
  store.wakeWatches()
}

async function injectTargetFault (soak: SoakFaults, fault: standIns.targetServer.TargetFault): Promise<void> {
  const target = soak.randomTarget()
  target.fault = fault
  await fleets.sleep(soak.randomDurationMs())
  target.fault = TargetFault.none
}

async function terminateAndRestart (soak: SoakFaults, hosts: fleets.SoakHost[], signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
  await Promise.all(hosts.map(async (host) => {
    await host.terminate(signal)
    await fleets.sleep(soak.randomInteger(500))
    soak.restart(host)
  }))
}

async function withRandomHost (soak: SoakFaults, action: (host: fleets.SoakHost) => Promise<void>): Promise<void> {
  const host = soak.randomHost()
  if (host !== undefined) await action(host)
}

/** Faults by the name under which a report lists them. */
const faults: Record<string, Fault> = {
  storeBusy: async (soak) => { await injectStoreFault(soak, StoreFault.busy) },
  storeSilent: async (soak) => { await injectStoreFault(soak, StoreFault.silent) },
  storeResets: async (soak) => { await injectStoreFault(soak, StoreFault.reset) },
  storeLosesAnswers: async (soak) => { await injectStoreFault(soak, StoreFault.loseAnswers) },
  historyDropped: async (soak) => { soak.fleet.platform.store.dropHistory() },
  hostCutFromStore: async (soak) => {
    await withRandomHost(soak, async (host) => {
      host.storeRelay.setMode('cut')
      await fleets.sleep(soak.randomDurationMs())
      host.storeRelay.setMode('pass')
    })
  },
  hostSilencedFromStore: async (soak) => { await withRandomHost(soak, async (host) => { host.storeRelay.silenceOpenConnections() }) },
  targetFull: async (soak) => { await injectTargetFault(soak, TargetFault.full) },
  targetFails: async (soak) => { await injectTargetFault(soak, TargetFault.failing) },
  targetLosesAnswers: async (soak) => { await injectTargetFault(soak, TargetFault.loseAnswers) },
  targetCutsStreams: async (soak) => { await injectTargetFault(soak, TargetFault.cutStreams) },
  targetSendsForeignAnswers: async (soak) => { await injectTargetFault(soak, TargetFault.foreignAnswers) },
  targetSendsExtraBytes: async (soak) => { await injectTargetFault(soak, TargetFault.extraBytes) },
  targetMute: async (soak) => { await injectTargetFault(soak, TargetFault.mute) },
  targetNamesLimit: async (soak) => {
    const target = soak.randomTarget()
    if (target.limitPerSecond !== undefined) return
    target.limitPerSecond = LIMITS_PER_SECOND[soak.randomInteger(LIMITS_PER_SECOND.length)]
    soak.limits.push({ target, perSecond: target.limitPerSecond, from: performance.now(), until: performance.now() + LIMIT_MS })
    await fleets.sleep(LIMIT_MS)
    target.limitPerSecond = undefined
  },
  targetLeaves: async (soak) => {
    const target = soak.randomTarget()
    const { store } = soak.fleet.platform
    soak.leavingSince.set(target.options.id, performance.now())
    store.putObject('servers', target.options.id, target.registryEntry('draining'))
    await fleets.sleep(LONGEST_FAULT_MS)
    store.removeObject('servers', target.options.id)
    await fleets.sleep(soak.randomDurationMs())
    soak.leavingSince.delete(target.options.id)
    store.putObject('servers', target.options.id, target.registryEntry())
  },
  hostKilled: async (soak) => { await withRandomHost(soak, async (host) => { await terminateAndRestart(soak, [host], 'SIGKILL') }) },
  hostReplaced: async (soak) => { await withRandomHost(soak, async (host) => { await terminateAndRestart(soak, [host], 'SIGTERM') }) },
  allKilled: async (soak) => { await terminateAndRestart(soak, soak.fleet.hosts.filter((host) => !host.isDisturbed), 'SIGKILL') },
  hostPaused: async (soak) => {
    await withRandomHost(soak, async (host) => {
      host.pause()
      await fleets.sleep(soak.randomDurationMs())
      if (host.isPaused) host.resume()
    })
  },
  hostReloaded: async (soak) => { await withRandomHost(soak, async (host) => { if (await host.isReady() && !host.isDisturbed) host.reload() }) },
  partCrashesTargets: async (soak) => { await soak.sendCrashingPart() },
  routeAdded: async (soak) => { soak.addRoute() },
  budgetRaised: async (soak) => {
    const { platform } = soak.fleet
    platform.accounts = platform.accounts.map((account) => ({ ...account, prepaidTokens: account.prepaidTokens + 2000 }))
    platform.configure({ routes: soak.addedRoutes })
  }
}
