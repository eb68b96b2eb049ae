import * as runtime from '@acaciaweir/runtime'
import * as pattern from 'ts-pattern'
import * as configurationProbe from './configuration-probe.js'
import * as fleets from './fleet.js'
import * as judging from './judge.js'
import * as relays from './relay.js'
import * as callers from './trace-caller.js'
import * as traces from './trace-format.js'

/** Runs a trace against a fleet of processes and returns the verdict. Always stops the fleet. */
export async function replay (trace: traces.Trace, seed: number): Promise<judging.Verdict> {
  const fleet = new fleets.Fleet(trace.header.trace, trace.header.deployment, seed)
  try {
    await fleet.start()
    const run = new ReplayRun(fleet, trace, seed)
    return await run.play()
  } finally {
    await fleet.stop()
  }
}

class ReplayRun {
  readonly #fleet: fleets.Fleet
  readonly #trace: traces.Trace
  readonly #seed: number
  readonly #clock = new runtime.systemClock.SystemClock()
  readonly #caller: callers.TraceCaller
  readonly #probe: configurationProbe.ConfigurationProbe
  readonly #leavingSince = new Map<string, number>()
  readonly #background: Array<Promise<unknown>> = []

  constructor (fleet: fleets.Fleet, trace: traces.Trace, seed: number) {
    const { totalTokens, capTokens } = trace.header.deployment
    this.#fleet = fleet
    this.#trace = trace
    this.#seed = seed
    this.#caller = new callers.TraceCaller(this.#clock, fleet.accounts, () => this.#addresses(), { totalTokens, capTokens }, trace.header.callerPatienceMs)
    this.#probe = new configurationProbe.ConfigurationProbe(fleet, this.#clock)
  }

  async play (): Promise<judging.Verdict> {
    const startedAt = this.#clock.now()
    const requests: Array<Promise<callers.RequestReport>> = []
    for (const event of traces.expandLoad(this.#trace, this.#seed)) {
      await this.#clock.sleep(Math.max(0, startedAt + event.at - this.#clock.now()))
      if (event.kind === 'request') requests.push(this.#caller.send(event, requests.length))
      else await this.#apply(event)
    }
    const reports = await Promise.all(requests)
    await Promise.all(this.#background)
    await this.#clock.sleep(this.#trace.header.settleMs)
    const observations = { leavingSince: this.#leavingSince, ...await this.#probe.finish() }
    return await judging.judge(this.#trace, this.#seed, this.#fleet, reports, this.#caller.budget, observations)
  }

  #addresses (): string[] {
    return this.#fleet.routers.filter((router) => router.process !== undefined).map((router) => router.callerAddress)
  }

  async #apply (event: Exclude<traces.TraceEvent, { kind: 'request' }>): Promise<void> {
    const fleet = this.#fleet
    await pattern.match(event)
      .with({ kind: 'load' }, () => {})
      .with({ kind: 'kill' }, ({ routers }) => { for (const index of routers) this.#kill(fleet.routers[index]) })
      .with({ kind: 'start' }, ({ routers }) => { for (const index of routers) this.#background.push(fleet.startRouter(fleet.routers[index])) })
      .with({ kind: 'shut-down' }, ({ routers }) => { for (const index of routers) this.#background.push(shutDown(fleet.routers[index])) })
      .with({ kind: 'roll' }, ({ pauseMs }) => { this.#background.push(this.#roll(pauseMs)) })
      .with({ kind: 'freeze' }, ({ routers }) => { for (const index of routers) fleet.routers[index].process?.signal('SIGSTOP') })
      .with({ kind: 'thaw' }, ({ routers }) => { for (const index of routers) fleet.routers[index].process?.signal('SIGCONT') })
      .with({ kind: 'cut' }, ({ from, to }) => { fleet.cut(from, to) })
      .with({ kind: 'heal' }, () => { fleet.heal() })
      .with({ kind: 'cut-platform' }, ({ routers }) => { for (const index of routers) fleet.routers[index].platformRelay.setMode(relays.RelayMode.cut) })
      .with({ kind: 'heal-platform' }, ({ routers }) => { for (const index of routers) fleet.routers[index].platformRelay.setMode(relays.RelayMode.pass) })
      .with({ kind: 'silence-platform' }, ({ routers }) => { for (const index of routers) fleet.routers[index].platformRelay.silenceOpenConnections() })
      .with({ kind: 'platform' }, async ({ at: _at, kind: _kind, ...faults }) => { await fleet.setPlatform(faults) })
      .with({ kind: 'silence-target' }, ({ target }) => { fleet.target(target).relay.silenceOpenConnections() })
      .with({ kind: 'kill-target' }, async ({ target }) => { await fleet.killTarget(fleet.target(target)) })
      .with({ kind: 'start-target' }, async ({ target }) => { await fleet.startTarget(fleet.target(target)) })
      .with({ kind: 'target' }, async ({ at: _at, kind: _kind, target, ...change }) => { await fleet.setTarget(fleet.target(target), change) })
      .with({ kind: 'crash-text' }, async ({ text }) => { await fleet.setCrashText(text) })
      .with({ kind: 'target-leaves' }, async (leaving) => { await this.#targetLeaves(leaving) })
      .with({ kind: 'top-up' }, ({ tokens }) => { this.#background.push(this.#topUp(tokens)) })
      .with({ kind: 'race' }, ({ operators }) => { this.#background.push(this.#probe.race(operators)) })
      .exhaustive()
  }

  #kill (router: fleets.FleetRouter): void {
    router.process?.signal('SIGKILL')
    router.process = undefined
  }

  async #roll (pauseMs: number): Promise<void> {
    for (const router of this.#fleet.routers) {
      await shutDown(router)
      await this.#fleet.startRouter(router)
      await this.#clock.sleep(pauseMs)
    }
  }

  async #targetLeaves (event: Extract<traces.TraceEvent, { kind: 'target-leaves' }>): Promise<void> {
    const target = this.#fleet.target(event.target)
    this.#leavingSince.set(target.id, Date.now())
    if (event.told === 'target') await this.#fleet.setTarget(target, { leaving: true })
    if (event.told === 'host-list') await this.#fleet.setListed('targets', target.id, true)
    if (event.told === 'manifest') await this.#probe.change((manifest) => { manifest.targets.filter((entry) => entry.id === target.id).forEach((entry) => { entry.leaving = true }) })
  }

  async #topUp (tokens: number): Promise<void> {
    this.#caller.budget.totalTokens += tokens
    await this.#probe.change((manifest) => { manifest.budgets[0].totalTokens += tokens })
  }
}

async function shutDown (router: fleets.FleetRouter): Promise<void> {
  const { process } = router
  router.process = undefined
  process?.signal('SIGTERM')
  await process?.waitForExit()
}
