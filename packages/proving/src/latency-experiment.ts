import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as figures from './figures.js'
import * as examples from './example-manifest.js'
import * as fleets from './fleet.js'
import * as histograms from './histograms.js'
import * as probes from './probe-request.js'

/** Options of the latency experiment. */
export interface LatencyOptions {
  perSecond: string
  seconds: number
  routers: number
}

/** Output tokens of one request; short, so that rates and not streams are measured. */
const OUTPUT_TOKENS = 8

interface Arm {
  first: histograms.TimeHistogram
  gap: histograms.TimeHistogram
  total: histograms.TimeHistogram
  failed: number
}

/** Sends the same requests in turn to a router and straight to a target, and compares their times. */
export async function measureLatency (options: LatencyOptions): Promise<object> {
  const fleet = new fleets.Fleet('latency', {
    availabilityZones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    routers: options.routers,
    engines: 4,
    services: 0,
    accounts: 4,
    totalTokens: 1_000_000_000,
    capTokens: 1_000_000_000,
    slots: 256,
    firstTokenMs: 10,
    tokenIntervalMs: 5,
    extraBudgets: 0,
    routerSettings: { 'log-level': 'info', 'allotment-minimum-tokens': 1_000_000 }
  }, 1, fleets.FleetPaths.direct)
  await fleet.start()
  try {
    const rates: object[] = []
    for (const rate of options.perSecond.split(',').map(Number)) {
      await runRate(fleet, Math.min(rate, 50), 2)
      rates.push({ perSecond: rate, ...summarise(await runRate(fleet, rate, options.seconds)) })
    }
    return { experiment: 'latency', routers: options.routers, seconds: options.seconds, rates }
  } finally {
    await fleet.stop()
  }
}

async function runRate (fleet: fleets.Fleet, perSecond: number, seconds: number): Promise<{ routed: Arm, direct: Arm }> {
  const arms = { routed: newArm(), direct: newArm() }
  const agent = new http.Agent({ keepAlive: true })
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const wait = startedAt + index / perSecond * 1000 - performance.now()
    if (wait > 0) await timers.setTimeout(wait)
    const isRouted = index % 2 === 0
    running.push(sendOne(fleet, index, isRouted, isRouted ? arms.routed : arms.direct, agent))
  }
  await Promise.all(running)
  agent.destroy()
  return arms
}

async function sendOne (fleet: fleets.Fleet, index: number, isRouted: boolean, arm: Arm, agent: http.Agent): Promise<void> {
  const router = fleet.routers[(index >> 1) % fleet.routers.length]
  const target = fleet.targets[(index >> 1) % fleet.targets.length]
  const account = fleet.accounts[(index >> 1) % fleet.accounts.length]
  const headers: Record<string, string> = isRouted
    ? { authorization: `Bearer ${examples.exampleKey(account)}` }
    : { 'x-request-id': `direct-${index}-${performance.now()}` }
  const address = isRouted ? router.callerAddress : `http://127.0.0.1:${target.port}`
  const times = await probes.probe({ address, headers, agent, maximumOutputTokens: OUTPUT_TOKENS, prompt: `Request ${index}` })
  if (times.status !== 200) arm.failed += 1
  arm.first.add(times.firstTokenMs)
  arm.total.add(times.totalMs)
  for (const gap of times.gapsMs) arm.gap.add(gap)
}

function newArm (): Arm {
  return { first: new histograms.TimeHistogram(), gap: new histograms.TimeHistogram(), total: new histograms.TimeHistogram(), failed: 0 }
}

function summarise (arms: { routed: Arm, direct: Arm }): object {
  const added = (name: 'first' | 'gap' | 'total'): Record<string, number> => {
    const routed = arms.routed[name].quantiles()
    const direct = arms.direct[name].quantiles()
    return { p50: figures.rounded(routed.p50 - direct.p50, 2), p99: figures.rounded(routed.p99 - direct.p99, 2), routedP95: figures.rounded(routed.p95, 2) }
  }
  return { failed: arms.routed.failed, addedFirstTokenMs: added('first'), addedBetweenTokensMs: added('gap'), addedTotalMs: added('total') }
}
