import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as callers from './soak-callers.js'
import * as soakFaults from './soak-faults.js'
import * as fleets from './soak-fleet.js'
import * as judges from './soak-judge.js'

/** Size of one run. */
export interface SoakOptions {
  seed: number
  gateways: number
  /** Time with faults, in milliseconds. */
  faultyMs: number
}

/** What one run showed. */
export interface SoakReport {
  seed: number
  requests: number
  served: number
  injected: string[]
  breaches: judges.Breach[]
}

/** Time after the last fault in which everything has to work again, in milliseconds. */
const SETTLE_MS = 4000

/** Requests to each gateway after that time, all of which must be answered. */
const CALM_REQUESTS = 6

const accounts: standIns.publishedPlatform.PublishedAccount[] = [
  { name: 'large', key: 'key-large', prepaid: 400_000 },
  { name: 'small', key: 'key-small', prepaid: 6000 }
]

/** Plays random load and faults over real gateway processes and judges what callers and targets saw. */
export async function soak (options: SoakOptions): Promise<SoakReport> {
  const fleet = new fleets.SoakFleet(accounts)
  const breaches: judges.Breach[] = []
  const onOwnExit = (host: fleets.SoakHost, code: number | undefined): void => {
    breaches.push({ promise: 'processes run on', detail: `${host.name} ended by itself with ${String(code)}` })
  }
  const load = new callers.SoakCallers(fleet, new decisions.random.SeededRandom(options.seed))
  const faults = new soakFaults.SoakFaults(fleet, new decisions.random.SeededRandom(options.seed + 1), onOwnExit)
  try {
    await fleet.start(options.gateways, onOwnExit)
    await Promise.all([load.run(options.faultyMs), faults.run(options.faultyMs)])
    await fleets.pause(SETTLE_MS)
    await fleet.allReady()
    breaches.push(...await judgeCalm(fleet, load, faults))
    breaches.push(...judges.judge(load.requests, fleet.platform))
  } catch (error) {
    breaches.push({ promise: 'recovery after faults', detail: (error as Error).message })
  } finally {
    await fleet.stop()
  }
  const served = load.requests.filter((request) => request.answer.status === 200 && request.answer.whole).length
  return { seed: options.seed, requests: load.requests.length, served, injected: faults.injected, breaches }
}

/** After the faults every gateway serves, knows the newest configuration and sends nothing to targets that left. */
async function judgeCalm (fleet: fleets.SoakFleet, load: callers.SoakCallers, faults: soakFaults.SoakFaults): Promise<judges.Breach[]> {
  const breaches: judges.Breach[] = []
  const newest = faults.addedRoutes.length
  for (const [index, host] of fleet.hosts.entries()) {
    for (let count = 0; count < CALM_REQUESTS; count++) {
      const { answer, path } = await load.send(index)
      const exhausted = answer.status === 402
      if (!exhausted && (answer.status !== 200 || !answer.whole)) breaches.push({ promise: 'recovery after faults', detail: `${host.name} answers ${path} with ${answer.status} ${answer.body.slice(0, 100)}` })
    }
    if (newest === 0) continue
    const headers = standIns.publishedCaller.callerHeaders({ host: standIns.publishedPlatform.HOST, attemptId: `added-${host.name}` })
    const added = await standIns.publishedCaller.send(host.callerAddress, `/added-${newest}/x`, headers)
    if (added.status !== 200) breaches.push({ promise: 'configuration in force', detail: `${host.name} answers the newest route with ${added.status}` })
  }
  return breaches
}
