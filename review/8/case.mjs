import * as path from 'node:path'
import * as url from 'node:url'
import * as harness from '../harness-2.mjs'

/** Tokens that the tenant may consume. */
const PREPAID = 200_000

const PROMPT_TOKENS = 10
const TOKENS_PER_EVENT = 6
const EVENTS = 64
const EVENT_INTERVAL_MS = 60

/** Generations of the tenant that run at the same time, and the time after which the configuration changes, in milliseconds. */
const CLIENTS = 150
const CHANGE_AFTER_MS = 2500

/** Time without a served generation after which the budget counts as used up, in milliseconds. */
const QUIET_MS = 9000

/** Pause of a client after a refusal, in milliseconds. */
const PAUSE_MS = 500

const experiment = new harness.Experiment(path.dirname(url.fileURLToPath(import.meta.url)))
await experiment.run(async () => {
  const platform = new harness.Platform(experiment)
  await platform.start()
  for (const service of ['engines', 'engines-next']) await harness.startReplicas(experiment, platform, service, 3, harness.serveStream(EVENTS, EVENT_INTERVAL_MS))
  platform.configure({ prepaid: PREPAID })
  const hosts = await platform.settings(2)
  const gateways = hosts.map((host) => new harness.Gateway(experiment, host))
  for (const gateway of gateways) gateway.start()
  for (const gateway of gateways) await gateway.ready()
  await harness.sleep(3500)

  let served = 0
  let servedAt = performance.now()
  const end = { isOver: false }
  const run = async (index) => {
    for (let count = 0; !end.isOver; count++) {
      const headers = { Model: 'm', 'Token-Counts': `${PROMPT_TOKENS},${EVENTS * TOKENS_PER_EVENT}`, 'Prompt-Prefix': `a1:5,${(0x1000 + index * 100 + count).toString(16)}:5` }
      const answer = await harness.send(experiment, hosts[index % hosts.length].front, 'POST', '/plan/1', { headers, limitMs: 15_000 })
      if (answer.status === 200 && answer.isComplete) {
        // Only complete answers count here, so the tenant got this much at least.
        served += PROMPT_TOKENS + TOKENS_PER_EVENT * answer.body.match(/^id:/gm).length
        servedAt = performance.now()
      } else {
        await harness.sleep(PAUSE_MS)
      }
    }
  }
  for (let index = 0; index < CLIENTS; index++) run(index)
  await harness.sleep(CHANGE_AFTER_MS)
  platform.configure({ prepaid: PREPAID, engineService: 'engines-next', dropsEngines: experiment.hasDisruption })
  experiment.note(`version ${platform.version} of the configuration moves the route to engines-next${experiment.hasDisruption ? ' and drops engines' : ''}`)
  servedAt = performance.now()
  await harness.until(() => performance.now() - servedAt > QUIET_MS, 80_000, 'nothing more is served')
  end.isOver = true
  return { isBroken: served > PREPAID, reason: `the tenant got ${served} of ${PREPAID} prepaid tokens` }
})
