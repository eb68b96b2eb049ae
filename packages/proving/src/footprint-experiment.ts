import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as figures from './figures.js'
import * as examples from './example-manifest.js'
import * as fleets from './fleet.js'
import * as histograms from './histograms.js'
import * as probes from './probe-request.js'
import * as usage from './process-usage.js'
import type * as traces from './trace-format.js'

/** Options of the throughput experiment. */
export interface ThroughputOptions {
  seconds: number
  inFlight: number
}

/** Options of the slopes experiment. */
export interface SlopeOptions {
  routers: string
  budgets: string
  seconds: number
}

/** Time for a fleet to come to rest before it is measured, in milliseconds. */
const REST_MS = 4000

/** Output tokens of one request in the throughput experiment. */
const OUTPUT_TOKENS = 8

/** Sends as many requests as one router of a fleet of four takes. */
export async function measureThroughput (options: ThroughputOptions): Promise<object> {
  const fleet = new fleets.Fleet('throughput', deploymentOf(4, 4), 1, fleets.FleetPaths.direct)
  await fleet.start()
  try {
    const before = usage.readUsage(pidOf(fleet, 0))
    const histogram = new histograms.TimeHistogram()
    const agent = new http.Agent({ keepAlive: true })
    const until = performance.now() + options.seconds * 1000
    const counts = { served: 0, failed: 0, tokens: 0 }
    await Promise.all(Array.from({ length: options.inFlight }, (_value, index) => sendUntil(fleet, index, until, histogram, counts, agent)))
    agent.destroy()
    const after = usage.readUsage(pidOf(fleet, 0))
    const processorSeconds = after.processorSeconds - before.processorSeconds
    return {
      experiment: 'throughput',
      inFlight: options.inFlight,
      requestsPerSecond: Math.round(counts.served / options.seconds),
      failed: counts.failed,
      processorMsPerRequest: figures.rounded(processorSeconds * 1000 / counts.served, 3),
      tokensPerRequest: figures.rounded(counts.tokens / counts.served, 3),
      coreShare: figures.rounded(processorSeconds / options.seconds, 3),
      firstTokenMs: histogram.quantiles(),
      residentMegabytes: Math.round(after.residentMegabytes)
    }
  } finally {
    await fleet.stop()
  }
}

/** Measures idle fleets of several sizes, then several sizes of the manifest. */
export async function measureSlopes (options: SlopeOptions): Promise<object> {
  const rows: object[] = []
  for (const routers of options.routers.split(',').map(Number)) rows.push(await measureIdle(routers, 10, options.seconds))
  for (const budgets of options.budgets.split(',').map(Number)) rows.push(await measureIdle(2, budgets, options.seconds))
  return { experiment: 'slopes', seconds: options.seconds, rows }
}

async function measureIdle (routers: number, budgets: number, seconds: number): Promise<object> {
  const fleet = new fleets.Fleet('slopes', { ...deploymentOf(routers, 2), extraBudgets: budgets }, 1)
  const startedAt = performance.now()
  await fleet.start()
  const startMs = Math.round(performance.now() - startedAt)
  try {
    await timers.setTimeout(REST_MS)
    const before = await snapshot(fleet)
    await timers.setTimeout(seconds * 1000)
    const after = await snapshot(fleet)
    const row = { routers, budgets, startMs, ...difference(before, after, routers, seconds) }
    process.stdout.write(JSON.stringify(row) + '\n')
    return row
  } finally {
    await fleet.stop()
  }
}

interface Snapshot {
  processorSeconds: number
  residentMegabytes: number
  peerBytes: number
  platformBytes: number
  platformCalls: Record<string, number>
}

async function snapshot (fleet: fleets.Fleet): Promise<Snapshot> {
  const usages = fleet.routers.map((router) => usage.readUsage(router.process?.pid ?? 0))
  return {
    processorSeconds: sum(usages.map((entry) => entry.processorSeconds)),
    residentMegabytes: sum(usages.map((entry) => entry.residentMegabytes)) / usages.length,
    peerBytes: sum(fleet.routers.map((router) => router.proxy.bytes)),
    platformBytes: sum(fleet.routers.map((router) => router.platformRelay.bytes)),
    platformCalls: await fleet.platformCounts()
  }
}

/** Figures of one router, a second. Bytes are of both directions, each counted at the router that opened the connection. */
function difference (before: Snapshot, after: Snapshot, routers: number, seconds: number): object {
  const perRouterSecond = (value: number): number => figures.rounded(value / routers / seconds, 3)
  const calls = Object.entries(after.platformCalls).map(([kind, count]) => [kind, perRouterSecond(count - before.platformCalls[kind])])
  return {
    coreSharePercent: figures.rounded((after.processorSeconds - before.processorSeconds) / routers / seconds * 100, 3),
    residentMegabytes: Math.round(after.residentMegabytes),
    peerBytesPerSecond: perRouterSecond(after.peerBytes - before.peerBytes),
    platformBytesPerSecond: perRouterSecond(after.platformBytes - before.platformBytes),
    platformCallsPerSecond: Object.fromEntries(calls) as Record<string, number>
  }
}

async function sendUntil (fleet: fleets.Fleet, index: number, until: number, histogram: histograms.TimeHistogram, counts: { served: number, failed: number, tokens: number }, agent: http.Agent): Promise<void> {
  const account = fleet.accounts[index % fleet.accounts.length]
  for (let step = 0; performance.now() < until; step += 1) {
    const times = await probes.probe({
      address: fleet.routers[0].callerAddress,
      headers: { authorization: `Bearer ${examples.exampleKey(account)}` },
      maximumOutputTokens: OUTPUT_TOKENS,
      prompt: `Request ${index} ${step}`,
      agent
    })
    if (times.status === 200) counts.served += 1
    else counts.failed += 1
    counts.tokens += times.gapsMs.length + 1
    histogram.add(times.firstTokenMs)
  }
}

function deploymentOf (routers: number, engines: number): traces.TraceHeader['deployment'] {
  return {
    availabilityZones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    routers,
    engines,
    services: 0,
    accounts: 4,
    totalTokens: 1_000_000_000,
    capTokens: 1_000_000_000,
    slots: 1024,
    firstTokenMs: 2,
    tokenIntervalMs: 1,
    extraBudgets: 0,
    routerSettings: { 'allotment-minimum-tokens': 1_000_000 }
  }
}

function pidOf (fleet: fleets.Fleet, index: number): number {
  const pid = fleet.routers[index].process?.pid
  if (pid === undefined) throw new Error(`router ${index} does not run`)
  return pid
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
