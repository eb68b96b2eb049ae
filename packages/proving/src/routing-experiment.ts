import * as decisions from '@acaciaweir/decisions'
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as examples from './example-manifest.js'
import * as figures from './figures.js'
import * as fleets from './fleet.js'
import * as histograms from './histograms.js'
import * as probes from './probe-request.js'

/** Options of the routing experiment. */
export interface RoutingExperimentOptions {
  /** Seed of the random requests. */
  seed: number
  /** Request rate in requests per second. */
  perSecond: number
  /** Duration of the run of each policy. */
  seconds: number
}

/** The policies to compare; the first one is the baseline. */
const POLICIES = ['round-robin', 'least-own-work', 'two-choices', 'prefix-affinity']

/** Number of distinct prompt prefixes that requests share. */
const SHARED_PREFIX_COUNT = 24

/** Sends the same requests under each policy, with one slow engine and another that starts to leave halfway through. */
export async function measureRouting (options: RoutingExperimentOptions): Promise<object> {
  const policies: object[] = []
  for (const policy of POLICIES) policies.push({ policy, ...await measurePolicy(policy, options) })
  return { experiment: 'routing', seed: options.seed, perSecond: options.perSecond, seconds: options.seconds, policies }
}

async function measurePolicy (policy: string, options: RoutingExperimentOptions): Promise<object> {
  const fleet = new fleets.Fleet('routing', {
    availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
    routers: 4,
    engines: 6,
    services: 0,
    accounts: 10,
    totalTokens: 1_000_000_000,
    capTokens: 1_000_000_000,
    slots: 8,
    firstTokenMs: 30,
    tokenIntervalMs: 8,
    extraBudgets: 0,
    routerSettings: { 'routing-policy': policy, 'allotment-minimum-tokens': 1_000_000 }
  }, options.seed)
  await fleet.start()
  try {
    await fleet.setTarget(fleet.target('engine-0'), { tokenIntervalMs: 24 })
    const departure = timers.setTimeout(options.seconds * 500).then(() => fleet.setTarget(fleet.target('engine-1'), { leaving: true }))
    const results = await sendRequests(fleet, options)
    await departure
    return results
  } finally {
    await fleet.stop()
  }
}

async function sendRequests (fleet: fleets.Fleet, options: RoutingExperimentOptions): Promise<object> {
  const random = new decisions.random.SeededRandom(options.seed)
  const agent = new http.Agent({ keepAlive: true })
  const firstTokenTimes = new histograms.LatencyHistogram()
  const tokenGaps = new histograms.LatencyHistogram()
  let refused = 0
  const startedAt = performance.now()
  const requests: Array<Promise<void>> = []
  for (let index = 0; index < options.perSecond * options.seconds; index += 1) {
    const request = createRandomRequest(fleet, random, index, agent)
    const delayMs = startedAt + index / options.perSecond * 1000 - performance.now()
    if (delayMs > 0) await timers.setTimeout(delayMs)
    requests.push(probes.sendProbe(request).then((timings) => {
      if (timings.status !== 200) refused += 1
      firstTokenTimes.record(timings.firstTokenMs)
      for (const gap of timings.tokenGapsMs) tokenGaps.record(gap)
    }))
  }
  await Promise.all(requests)
  agent.destroy()
  return { firstTokenMs: firstTokenTimes.quantiles(), betweenTokensMs: tokenGaps.quantiles(), refused, ...await measureDistribution(fleet) }
}

/** Creates a request of the first account in 4 of 10 cases, otherwise of an account chosen at random from all. */
function createRandomRequest (fleet: fleets.Fleet, random: decisions.random.RandomSource, index: number, agent: http.Agent): probes.ProbeRequest {
  const usesFirstAccount = random.integer(10) < 4
  const account = fleet.accounts[usesFirstAccount ? 0 : random.integer(fleet.accounts.length)]
  const prefix = `Shared beginning ${random.integer(SHARED_PREFIX_COUNT)} `.padEnd(300, '.')
  return {
    address: fleet.routers[random.integer(fleet.routers.length)].callerAddress,
    headers: { authorization: `Bearer ${examples.exampleApiKey(account)}` },
    maximumOutputTokens: 10 + random.integer(50),
    prompt: `${prefix}request ${index}`,
    agent
  }
}

/**
 * Returns the imbalance of the targets, which is the requests of the busiest one divided by the mean, and the share of
 * requests that found their prefix in the target's cache.
 */
async function measureDistribution (fleet: fleets.Fleet): Promise<object> {
  const runsByTarget = await Promise.all(fleet.targets.map(async (target) => (await fleet.readServed(target)).sinceStart))
  const requestCounts = runsByTarget.map((runs) => runs.length)
  const mean = requestCounts.reduce((total, count) => total + count, 0) / requestCounts.length
  const reusedCount = runsByTarget.flat().filter((run) => (run as { prefixReused?: boolean }).prefixReused === true).length
  return { imbalance: figures.roundTo(Math.max(...requestCounts) / mean, 2), prefixReuse: figures.roundTo(reusedCount / (mean * requestCounts.length), 3) }
}
