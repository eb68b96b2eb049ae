import * as path from 'node:path'
import * as url from 'node:url'
import * as harness from '../harness-2.mjs'

/** Bound DrainMs of the settings. */
const DRAIN_MS = 2000

/** Time after the report that a replica drains until one gateway is cut off from the store, and the length of the cut, in milliseconds. */
const CUT_AFTER_MS = 700
const CUT_MS = 4000

/** Time until a replica that has ended is back under its id, in milliseconds. */
const RESTART_MS = Number(process.env.RESTART_MS ?? 300)

/** Gateways, and whether one of them is cut off. A fleet of more than 12 exchanges targets in another way, and needs no cut. */
const GATEWAYS = Number(process.env.GATEWAYS ?? 3)
const HAS_CUT = process.env.CUT !== '0'

/** Requests a second on each route. The first two routes are there from the beginning, the third is added by version 2 of the configuration. */
const RATES = { plan: 20, order: 2, later: 4 }

const RUN_MS = 60_000

/** Time from which the state counts as steady, in milliseconds: long after the last cut and restart. */
const STEADY_FROM_MS = 28_000

/** CONFIG: requests on later routes of which the rule speaks, and the least share of the service of the first routes. */
const MINIMUM_REQUESTS = 20
const MINIMUM_SHARE = 0.25

const experiment = new harness.Experiment(path.dirname(url.fileURLToPath(import.meta.url)))
await experiment.run(async () => {
  const platform = new harness.Platform(experiment)
  await platform.start()
  const proxy = new harness.Proxy(experiment, platform.storeAddress)
  await proxy.listen()
  await harness.startReplicas(experiment, platform, 'engines', 2, harness.serveStream(5, 10))

  let starts = 0
  const startReplica = async (id, port) => {
    const replica = new harness.Replica(experiment, id, 'orders', harness.serveOrder(50))
    starts += 1
    replica.born = Date.now() + starts
    await replica.listen(port)
    platform.store.putObject('servers', id, replica.entry())
    experiment.note(`replica ${id} starts at ${replica.address}, born ${replica.born}`)
    return replica
  }
  const replicas = [await startReplica('i-orders-1'), await startReplica('i-orders-2')]
  platform.configure()
  const hosts = await platform.settings(GATEWAYS, (host, address) => host.name === 'front-a-3' ? proxy.address : address)
  const gateways = hosts.map((host) => new harness.Gateway(experiment, host))
  for (const gateway of gateways) gateway.start()
  for (const gateway of gateways) await gateway.ready()

  await harness.sleep(1000)
  platform.configure({ routes: [{ Name: 'later', PathPrefix: '/later/', Kind: 'non_idempotent', TimeoutMs: 6000, TargetLatencyMs: 400, Service: 'orders', MaxAttempts: 1 }] })
  experiment.note('version 2 of the configuration adds the route /later/')
  await harness.sleep(3000)

  const startedAt = experiment.nowMs
  const counts = { plan: { sent: 0, served: 0 }, order: { sent: 0, served: 0 }, later: { sent: 0, served: 0 } }
  let lastServedMs = 0
  let sent = 0
  const sendOne = async (route, options) => {
    const isSteady = experiment.nowMs - startedAt >= STEADY_FROM_MS
    sent += 1
    const answer = await harness.send(experiment, hosts[sent % hosts.length].front, 'POST', `/${route}/1`, { limitMs: 3000, ...options })
    const isServed = answer.status === 200 && answer.isComplete
    if (isServed && route === 'later') lastServedMs = experiment.nowMs - startedAt
    if (!isSteady) return
    counts[route].sent += 1
    if (isServed) counts[route].served += 1
  }
  const generationHeaders = () => ({ Model: 'm', 'Token-Counts': '100,30', 'Prompt-Prefix': `a1:50,${(0x1000 + sent).toString(16)}:50` })
  const timers = Object.entries(RATES).map(([route, rate]) => setInterval(() => sendOne(route, route === 'plan' ? { headers: generationHeaders() } : { body: 'x' }), 1000 / rate))

  /** Restarts a replica in its place: it drains, ends and starts again under its id. */
  const restart = async (replica) => {
    experiment.note(`replica ${replica.id} drains`)
    platform.store.putObject('servers', replica.id, replica.entry('draining'))
    await harness.sleep(CUT_AFTER_MS)
    if (experiment.hasDisruption && HAS_CUT) proxy.cut()
    setTimeout(() => { if (experiment.hasDisruption && HAS_CUT) proxy.heal() }, CUT_MS)
    await harness.sleep(DRAIN_MS - CUT_AFTER_MS + 500)
    experiment.note(`replica ${replica.id} ends`)
    platform.store.removeObject('servers', replica.id)
    const port = Number(replica.address.split(':')[1])
    replica.crash()
    await harness.sleep(RESTART_MS)
    await startReplica(replica.id, port)
  }
  await harness.sleep(5000)
  await restart(replicas[0])
  await harness.sleep(4000)
  await restart(replicas[1])
  await harness.sleep(RUN_MS - (experiment.nowMs - startedAt))
  for (const timer of timers) clearInterval(timer)
  await harness.sleep(3500)
  const share = (...routes) => routes.reduce((sum, route) => sum + counts[route].served, 0) / routes.reduce((sum, route) => sum + counts[route].sent, 0)
  return {
    isBroken: counts.later.sent >= MINIMUM_REQUESTS && share('later') < MINIMUM_SHARE * share('plan', 'order'),
    reason: `in steady state ${counts.later.served} of ${counts.later.sent} requests on the later route were served, ${counts.plan.served} of ${counts.plan.sent} and ${counts.order.served} of ${counts.order.sent} on the first ones; the last one on the later route was served ${Math.round(lastServedMs / 1000)} s after the start of a run of ${RUN_MS / 1000} s`
  }
})
