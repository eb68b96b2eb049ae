import * as decisions from '@acaciaweir/decisions'
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as examples from './example-manifest.js'
import * as figures from './figures.js'
import * as fleets from './fleet.js'
import * as histograms from './histograms.js'
import * as probes from './probe-request.js'

/** Options of the routing experiment. */
export interface RoutingOptions {
  seed: number
  perSecond: number
  seconds: number
}

/** The policies compared; the first is the baseline. */
const POLICIES = ['round-robin', 'least-own-work', 'two-choices', 'prefix-affinity']

/** Different prompt beginnings that requests share. */
const PREFIX_COUNT = 24

/** Sends the same requests under each policy; one engine is slow, another leaves half-way. */
export async function measureRouting (options: RoutingOptions): Promise<object> {
  const policies: object[] = []
  for (const policy of POLICIES) policies.push({ policy, ...await runPolicy(policy, options) })
  return { experiment: 'routing', seed: options.seed, perSecond: options.perSecond, seconds: options.seconds, policies }
}

async function runPolicy (policy: string, options: RoutingOptions): Promise<object> {
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
    const leaves = timers.setTimeout(options.seconds * 500).then(() => fleet.setTarget(fleet.target('engine-1'), { leaving: true }))
    const figures = await sendAll(fleet, options)
    await leaves
    return figures
  } finally {
    await fleet.stop()
  }
}

async function sendAll (fleet: fleets.Fleet, options: RoutingOptions): Promise<object> {
  const random = new decisions.random.SeededRandom(options.seed)
  const agent = new http.Agent({ keepAlive: true })
  const first = new histograms.TimeHistogram()
  const gap = new histograms.TimeHistogram()
  let refused = 0
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  for (let index = 0; index < options.perSecond * options.seconds; index += 1) {
    const request = randomRequest(fleet, random, index, agent)
    const wait = startedAt + index / options.perSecond * 1000 - performance.now()
    if (wait > 0) await timers.setTimeout(wait)
    running.push(probes.probe(request).then((times) => {
      if (times.status !== 200) refused += 1
      first.add(times.firstTokenMs)
      for (const time of times.gapsMs) gap.add(time)
    }))
  }
  await Promise.all(running)
  agent.destroy()
  return { firstTokenMs: first.quantiles(), betweenTokensMs: gap.quantiles(), refused, ...await spread(fleet) }
}

function randomRequest (fleet: fleets.Fleet, random: decisions.random.RandomSource, index: number, agent: http.Agent): probes.ProbeRequest {
  const large = random.integer(10) < 4
  const account = fleet.accounts[large ? 0 : random.integer(fleet.accounts.length)]
  const prefix = `Shared beginning ${random.integer(PREFIX_COUNT)} `.padEnd(300, '.')
  return {
    address: fleet.routers[random.integer(fleet.routers.length)].callerAddress,
    headers: { authorization: `Bearer ${examples.exampleKey(account)}` },
    maximumOutputTokens: 10 + random.integer(50),
    prompt: `${prefix}request ${index}`,
    agent
  }
}

/** How even the requests are over the targets, and how many found their beginning in the target's cache. */
async function spread (fleet: fleets.Fleet): Promise<object> {
  const served = await Promise.all(fleet.targets.map(async (target) => (await fleet.served(target)).sinceStart))
  const counts = served.map((runs) => runs.length)
  const mean = counts.reduce((total, count) => total + count, 0) / counts.length
  const reused = served.flat().filter((run) => (run as { prefixReused?: boolean }).prefixReused === true).length
  return { imbalance: figures.rounded(Math.max(...counts) / mean, 2), prefixReuse: figures.rounded(reused / (mean * counts.length), 3) }
}
