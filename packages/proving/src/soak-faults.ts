import type * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as fleets from './soak-fleet.js'

/** One fault that the soak may inject. Resolves when it is over. */
type Fault = (fleet: SoakFaults) => Promise<void>

/** Shortest and longest time of a fault, in milliseconds. */
const SHORTEST_MS = 200
const LONGEST_MS = 2500

/** Draws faults from a seeded source and injects them into a fleet, in series and overlapping. */
export class SoakFaults {
  readonly fleet: fleets.SoakFleet
  readonly #random: decisions.random.RandomSource
  readonly #onOwnExit: (host: fleets.SoakHost, code: number | undefined) => void
  readonly #running = new Set<Promise<void>>()
  /** Names of what was injected, for the report. */
  readonly injected: string[] = []
  /** Targets that were told to leave, with the time. */
  readonly leftAt = new Map<string, number>()
  /** Routes that the newest configuration adds to the usual ones. */
  addedRoutes: object[] = []
  #added = 0

  constructor (fleet: fleets.SoakFleet, random: decisions.random.RandomSource, onOwnExit: (host: fleets.SoakHost, code: number | undefined) => void) {
    this.fleet = fleet
    this.#random = random
    this.#onOwnExit = onOwnExit
  }

  /** Injects faults for a time, with random pauses between their starts. */
  async run (milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds
    const names = Object.keys(faults)
    while (performance.now() < end) {
      await fleets.pause(this.#random.integer(600))
      const name = names[this.#random.integer(names.length)]
      this.injected.push(name)
      const running = faults[name](this).finally(() => { this.#running.delete(running) })
      this.#running.add(running)
    }
    await Promise.all(this.#running)
  }

  time (): number {
    return SHORTEST_MS + this.#random.integer(LONGEST_MS - SHORTEST_MS)
  }

  host (): fleets.SoakHost | undefined {
    const calm = this.fleet.hosts.filter((host) => !host.disturbed)
    return calm[this.#random.integer(Math.max(1, calm.length))]
  }

  target (): standIns.publishedTarget.PublishedTarget {
    const { targets } = this.fleet.platform
    return targets[this.#random.integer(targets.length)]
  }

  integer (bound: number): number {
    return this.#random.integer(bound)
  }

  restart (host: fleets.SoakHost): void {
    host.start(this.#onOwnExit)
  }

  /** Writes a configuration with one more route. */
  addRoute (): void {
    this.#added += 1
    this.addedRoutes = [...this.addedRoutes, {
      Host: standIns.publishedPlatform.HOST,
      Name: `added-${this.#added}`,
      PathPrefix: `/added-${this.#added}/`,
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

const { StoreFault } = standIns.publishedStore
const { TargetFault } = standIns.publishedTarget

async function storeFault (soak: SoakFaults, fault: standIns.publishedStore.StoreFault): Promise<void> {
  const { store } = soak.fleet.platform
  store.fault = fault
  await fleets.pause(soak.time())
  store.fault = StoreFault.none
  store.wakeWatches()
}

async function targetFault (soak: SoakFaults, fault: standIns.publishedTarget.TargetFault): Promise<void> {
  const target = soak.target()
  target.fault = fault
  await fleets.pause(soak.time())
  target.fault = TargetFault.none
}

async function endAndRestart (soak: SoakFaults, hosts: fleets.SoakHost[], signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
  await Promise.all(hosts.map(async (host) => {
    await host.end(signal)
    await fleets.pause(soak.integer(500))
    soak.restart(host)
  }))
}

async function withHost (soak: SoakFaults, act: (host: fleets.SoakHost) => Promise<void>): Promise<void> {
  const host = soak.host()
  if (host !== undefined) await act(host)
}

/** All faults by name. */
const faults: Record<string, Fault> = {
  storeBusy: async (soak) => { await storeFault(soak, StoreFault.busy) },
  storeSilent: async (soak) => { await storeFault(soak, StoreFault.silent) },
  storeResets: async (soak) => { await storeFault(soak, StoreFault.reset) },
  storeLosesAnswers: async (soak) => { await storeFault(soak, StoreFault.loseAnswers) },
  historyDropped: async (soak) => { soak.fleet.platform.store.dropHistory() },
  hostCutFromStore: async (soak) => {
    await withHost(soak, async (host) => {
      host.storeRelay.set('cut')
      await fleets.pause(soak.time())
      host.storeRelay.set('pass')
    })
  },
  hostSilencedFromStore: async (soak) => { await withHost(soak, async (host) => { host.storeRelay.silenceOpen() }) },
  targetFull: async (soak) => { await targetFault(soak, TargetFault.full) },
  targetFails: async (soak) => { await targetFault(soak, TargetFault.failing) },
  targetLosesAnswers: async (soak) => { await targetFault(soak, TargetFault.loseAnswers) },
  targetCutsStreams: async (soak) => { await targetFault(soak, TargetFault.cutStreams) },
  targetSendsForeignAnswers: async (soak) => { await targetFault(soak, TargetFault.foreignAnswers) },
  targetSendsExtraBytes: async (soak) => { await targetFault(soak, TargetFault.extraBytes) },
  targetMute: async (soak) => { await targetFault(soak, TargetFault.mute) },
  targetLeaves: async (soak) => {
    const target = soak.target()
    const { store } = soak.fleet.platform
    soak.leftAt.set(target.options.id, performance.now())
    store.put('servers', target.options.id, target.entry('draining'))
    await fleets.pause(LONGEST_MS)
    store.removeObject('servers', target.options.id)
    await fleets.pause(soak.time())
    soak.leftAt.delete(target.options.id)
    store.put('servers', target.options.id, target.entry())
  },
  hostKilled: async (soak) => { await withHost(soak, async (host) => { await endAndRestart(soak, [host], 'SIGKILL') }) },
  hostReplaced: async (soak) => { await withHost(soak, async (host) => { await endAndRestart(soak, [host], 'SIGTERM') }) },
  allKilled: async (soak) => { await endAndRestart(soak, soak.fleet.hosts.filter((host) => !host.disturbed), 'SIGKILL') },
  hostPaused: async (soak) => {
    await withHost(soak, async (host) => {
      host.pause()
      await fleets.pause(soak.time())
      if (host.paused) host.resume()
    })
  },
  hostReloaded: async (soak) => { await withHost(soak, async (host) => { if (await host.isReady() && !host.disturbed) host.reload() }) },
  routeAdded: async (soak) => { soak.addRoute() },
  budgetRaised: async (soak) => {
    const { platform } = soak.fleet
    platform.accounts = platform.accounts.map((account) => ({ ...account, prepaid: account.prepaid + 2000 }))
    platform.configure({ routes: soak.addedRoutes })
  }
}
