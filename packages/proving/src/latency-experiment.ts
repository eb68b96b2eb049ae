import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as figures from './figures.js'
import * as examples from './example-manifest.js'
import * as fleets from './fleet.js'
import * as histograms from './histograms.js'
import * as probes from './probe-request.js'

/** Options of the latency experiment. */
export interface LatencyExperimentOptions {
  /** Request rates in requests per second, separated by commas. */
  perSecond: string
  /** Duration of the run at each rate, without the warm-up. */
  seconds: number
  /** Number of routers. */
  routers: number
}

/** Output tokens of one request. Answers are short, so that the request rate is measured rather than long streams. */
const OUTPUT_TOKENS = 8

/** Measurements of the requests on one path: through a router, or directly to a target. */
interface PathSamples {
  firstTokenTimes: histograms.LatencyHistogram
  tokenGaps: histograms.LatencyHistogram
  totalTimes: histograms.LatencyHistogram
  failed: number
}

/**
 * Measures the latency that a router adds, in milliseconds: sends the same requests alternately through a router and
 * directly to a target, and subtracts the quantiles of the direct requests. Before each rate, 2 seconds at no more than
 * 50 requests per second warm up the fleet.
 */
export async function measureLatency (options: LatencyExperimentOptions): Promise<object> {
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
      await sendAtRate(fleet, Math.min(rate, 50), 2)
      rates.push({ perSecond: rate, ...computeAddedTimes(await sendAtRate(fleet, rate, options.seconds)) })
    }
    return { experiment: 'latency', routers: options.routers, seconds: options.seconds, rates }
  } finally {
    await fleet.stop()
  }
}

/** Sends requests at a fixed rate; those with an even index go through a router, the others directly to a target. */
async function sendAtRate (fleet: fleets.Fleet, perSecond: number, seconds: number): Promise<{ routed: PathSamples, direct: PathSamples }> {
  const samples = { routed: createSamples(), direct: createSamples() }
  const agent = new http.Agent({ keepAlive: true })
  const startedAt = performance.now()
  const requests: Array<Promise<void>> = []
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const delayMs = startedAt + index / perSecond * 1000 - performance.now()
    if (delayMs > 0) await timers.setTimeout(delayMs)
    const isRouted = index % 2 === 0
    requests.push(sendRequest(fleet, index, isRouted, isRouted ? samples.routed : samples.direct, agent))
  }
  await Promise.all(requests)
  agent.destroy()
  return samples
}

async function sendRequest (fleet: fleets.Fleet, index: number, isRouted: boolean, samples: PathSamples, agent: http.Agent): Promise<void> {
  const router = fleet.routers[(index >> 1) % fleet.routers.length]
  const target = fleet.targets[(index >> 1) % fleet.targets.length]
  const account = fleet.accounts[(index >> 1) % fleet.accounts.length]
  const headers: Record<string, string> = isRouted
    ? { authorization: `Bearer ${examples.exampleApiKey(account)}` }
    : { 'x-request-id': `direct-${index}-${performance.now()}` }
  const address = isRouted ? router.callerAddress : `http://127.0.0.1:${target.port}`
  const timings = await probes.sendProbe({ address, headers, agent, maximumOutputTokens: OUTPUT_TOKENS, prompt: `Request ${index}` })
  if (timings.status !== 200) samples.failed += 1
  samples.firstTokenTimes.record(timings.firstTokenMs)
  samples.totalTimes.record(timings.totalMs)
  for (const gap of timings.tokenGapsMs) samples.tokenGaps.record(gap)
}

function createSamples (): PathSamples {
  return { firstTokenTimes: new histograms.LatencyHistogram(), tokenGaps: new histograms.LatencyHistogram(), totalTimes: new histograms.LatencyHistogram(), failed: 0 }
}

function computeAddedTimes (samples: { routed: PathSamples, direct: PathSamples }): object {
  const addedQuantiles = (name: 'firstTokenTimes' | 'tokenGaps' | 'totalTimes'): Record<string, number> => {
    const routed = samples.routed[name].quantiles()
    const direct = samples.direct[name].quantiles()
    return { p50: figures.roundTo(routed.p50 - direct.p50, 2), p99: figures.roundTo(routed.p99 - direct.p99, 2), routedP95: figures.roundTo(routed.p95, 2) }
  }
  return { failed: samples.routed.failed, addedFirstTokenMs: addedQuantiles('firstTokenTimes'), addedBetweenTokensMs: addedQuantiles('tokenGaps'), addedTotalMs: addedQuantiles('totalTimes') }
}
