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
export interface ThroughputExperimentOptions {
  /** Duration of the run. */
  seconds: number
  /** Number of concurrent requests. */
  inFlight: number
}

/** Options of the slopes experiment. */
export interface SlopesExperimentOptions {
  /** Fleet sizes in routers, separated by commas. */
  routers: string
  /** Numbers of budgets in the manifest, separated by commas. */
  budgets: string
  /** Duration of each measurement. */
  seconds: number
}

/** Time that a started fleet gets to settle before the measurement. */
const SETTLING_MS = 4000

/** Output tokens of one request in the throughput experiment. */
const OUTPUT_TOKENS = 8

/**
 * Measures how many requests per second one router of a fleet of four serves, and its processor time and memory,
 * while a fixed number of requests is in flight. Throws if the router's process is not running.
 */
export async function measureThroughput (options: ThroughputExperimentOptions): Promise<object> {
  const fleet = new fleets.Fleet('throughput', createDeployment(4, 4), 1, fleets.FleetPaths.direct)
  await fleet.start()
  try {
    const before = usage.readUsage(routerPid(fleet, 0))
    const firstTokenTimes = new histograms.LatencyHistogram()
    const agent = new http.Agent({ keepAlive: true })
    const deadlineMs = performance.now() + options.seconds * 1000
    const counts = { served: 0, failed: 0, tokens: 0 }
    await Promise.all(Array.from({ length: options.inFlight }, (_value, index) => sendRequestsUntil(fleet, index, deadlineMs, firstTokenTimes, counts, agent)))
    agent.destroy()
    const after = usage.readUsage(routerPid(fleet, 0))
    const processorSeconds = after.processorSeconds - before.processorSeconds
    return {
      experiment: 'throughput',
      inFlight: options.inFlight,
      requestsPerSecond: Math.round(counts.served / options.seconds),
      failed: counts.failed,
      processorMsPerRequest: figures.roundTo(processorSeconds * 1000 / counts.served, 3),
      tokensPerRequest: figures.roundTo(counts.tokens / counts.served, 3),
      coreShare: figures.roundTo(processorSeconds / options.seconds, 3),
      firstTokenMs: firstTokenTimes.quantiles(),
      residentMegabytes: Math.round(after.residentMegabytes)
    }
  } finally {
    await fleet.stop()
  }
}

/** Measures the usage of idle routers: first by fleet size, then by the number of budgets. Prints each row as progress. */
export async function measureSlopes (options: SlopesExperimentOptions): Promise<object> {
  const rows: object[] = []
  for (const routers of options.routers.split(',').map(Number)) rows.push(await measureIdleFleet(routers, 10, options.seconds))
  for (const budgets of options.budgets.split(',').map(Number)) rows.push(await measureIdleFleet(2, budgets, options.seconds))
  return { experiment: 'slopes', seconds: options.seconds, rows }
}

async function measureIdleFleet (routers: number, budgets: number, seconds: number): Promise<object> {
  const fleet = new fleets.Fleet('slopes', { ...createDeployment(routers, 2), extraBudgets: budgets }, 1)
  const startedAt = performance.now()
  await fleet.start()
  const startMs = Math.round(performance.now() - startedAt)
  try {
    await timers.setTimeout(SETTLING_MS)
    const before = await takeSnapshot(fleet)
    await timers.setTimeout(seconds * 1000)
    const after = await takeSnapshot(fleet)
    const row = { routers, budgets, startMs, ...computePerRouterUsage(before, after, routers, seconds) }
    process.stdout.write(JSON.stringify(row) + '\n')
    return row
  } finally {
    await fleet.stop()
  }
}

/** Totals over all routers at one moment; the memory is the mean per router. */
interface UsageSnapshot {
  processorSeconds: number
  residentMegabytes: number
  peerBytes: number
  platformBytes: number
  platformCalls: Record<string, number>
}

async function takeSnapshot (fleet: fleets.Fleet): Promise<UsageSnapshot> {
  const usages = fleet.routers.map((router) => usage.readUsage(router.process?.pid ?? 0))
  return {
    processorSeconds: sum(usages.map((entry) => entry.processorSeconds)),
    residentMegabytes: sum(usages.map((entry) => entry.residentMegabytes)) / usages.length,
    peerBytes: sum(fleet.routers.map((router) => router.proxy.bytes)),
    platformBytes: sum(fleet.routers.map((router) => router.platformRelay.bytes)),
    platformCalls: await fleet.readPlatformCallCounts()
  }
}

/**
 * Returns the usage per router and, except for memory, per second. Bytes of both directions count at the router that
 * opened the connection.
 */
function computePerRouterUsage (before: UsageSnapshot, after: UsageSnapshot, routers: number, seconds: number): object {
  const perRouterSecond = (value: number): number => figures.roundTo(value / routers / seconds, 3)
  const callRates = Object.entries(after.platformCalls).map(([kind, count]) => [kind, perRouterSecond(count - before.platformCalls[kind])])
  return {
    coreSharePercent: figures.roundTo((after.processorSeconds - before.processorSeconds) / routers / seconds * 100, 3),
    residentMegabytes: Math.round(after.residentMegabytes),
    peerBytesPerSecond: perRouterSecond(after.peerBytes - before.peerBytes),
    platformBytesPerSecond: perRouterSecond(after.platformBytes - before.platformBytes),
    platformCallsPerSecond: Object.fromEntries(callRates) as Record<string, number>
  }
}

/** Sends requests one after another to the first router until `deadlineMs` on the clock of `performance.now()`. */
async function sendRequestsUntil (fleet: fleets.Fleet, index: number, deadlineMs: number, firstTokenTimes: histograms.LatencyHistogram, counts: { served: number, failed: number, tokens: number }, agent: http.Agent): Promise<void> {
  const account = fleet.accounts[index % fleet.accounts.length]
  for (let sequence = 0; performance.now() < deadlineMs; sequence += 1) {
    const timings = await probes.sendProbe({
      address: fleet.routers[0].callerAddress,
      headers: { authorization: `Bearer ${examples.exampleApiKey(account)}` },
      maximumOutputTokens: OUTPUT_TOKENS,
      prompt: `Request ${index} ${sequence}`,
      agent
    })
    if (timings.status === 200) counts.served += 1
    else counts.failed += 1
    counts.tokens += timings.tokenGapsMs.length + 1
    firstTokenTimes.record(timings.firstTokenMs)
  }
}

function createDeployment (routers: number, engines: number): traces.TraceHeader['deployment'] {
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

function routerPid (fleet: fleets.Fleet, index: number): number {
  const pid = fleet.routers[index].process?.pid
  if (pid === undefined) throw new Error(`router ${index} is not running`)
  return pid
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
