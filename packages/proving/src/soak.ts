import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as callers from './soak-callers.js'
import * as soakFaults from './soak-faults.js'
import * as fleets from './soak-fleet.js'
import * as judges from './soak-judge.js'

/** Seed and size of one soak run. */
export interface SoakOptions {
  seed: number
  /** Number of gateway processes. */
  gateways: number
  /** Duration of load and fault injection, in milliseconds. */
  faultyMs: number
}

/** Result of one soak run. */
export interface SoakReport {
  seed: number
  /** Requests that callers sent. */
  requests: number
  /** Requests with status 200 and a whole answer. */
  served: number
  /** Names of the injected faults, in the order of their start. */
  injected: string[]
  breaches: judges.Breach[]
}

/** Time that the fleet has to recover after the last fault, in milliseconds. */
const RECOVERY_TIME_MS = 4000

/** Requests to each gateway after the recovery time; each must be served, or refused for an exhausted budget. */
const REQUESTS_AFTER_RECOVERY = 6

const clientAccounts: standIns.platformStandIn.ClientAccount[] = [
  { name: 'large', apiKey: 'key-large', prepaidTokens: 400_000 },
  { name: 'small', apiKey: 'key-small', prepaidTokens: 6000 }
]

/**
 * Runs random load and faults against real gateway processes, and checks the guarantees by what callers and targets
 * observed. Does not reject if the fleet fails: the failure is a breach in the report.
 */
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const fleet = new fleets.SoakFleet(clientAccounts)
  const breaches: judges.Breach[] = []
  const onUnexpectedExit = (host: fleets.SoakHost, code: number | undefined): void => {
    breaches.push({ promise: 'no unexpected exit', detail: `${host.name} exited unexpectedly with code ${String(code)}` })
  }
  const load = new callers.SoakCallers(fleet, new decisions.random.SeededRandom(options.seed))
  const faults = new soakFaults.SoakFaults(fleet, new decisions.random.SeededRandom(options.seed + 1), onUnexpectedExit)
  try {
    await fleet.start(options.gateways, onUnexpectedExit)
    await Promise.all([load.run(options.faultyMs), faults.run(options.faultyMs)])
    await fleets.sleep(RECOVERY_TIME_MS)
    await fleet.waitUntilReady()
    breaches.push(...await findBreachesAfterRecovery(fleet, load, faults))
    breaches.push(...judges.findBreaches(load.requests, fleet.platform), ...judges.findLimitBreaches(faults.limits))
  } catch (error) {
    breaches.push({ promise: 'recovery after faults', detail: (error as Error).message })
  } finally {
    await fleet.stop()
  }
  const served = load.requests.filter((request) => request.answer.status === 200 && request.answer.isWhole).length
  return { seed: options.seed, requests: load.requests.length, served, injected: faults.injected, breaches }
}

/** Checks that every gateway serves requests after the faults, and that the newest configuration is in force. */
async function findBreachesAfterRecovery (fleet: fleets.SoakFleet, load: callers.SoakCallers, faults: soakFaults.SoakFaults): Promise<judges.Breach[]> {
  const breaches: judges.Breach[] = []
  const newestRoute = faults.addedRoutes.length
  for (const [index, host] of fleet.hosts.entries()) {
    for (let count = 0; count < REQUESTS_AFTER_RECOVERY; count++) {
      const { answer, path } = await load.send(index)
      const isBudgetExhausted = answer.status === 402
      if (!isBudgetExhausted && (answer.status !== 200 || !answer.isWhole)) breaches.push({ promise: 'recovery after faults', detail: `${host.name} answered ${path} with ${answer.status} ${answer.body.slice(0, 100)}` })
    }
    if (newestRoute === 0) continue
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: `added-${host.name}` })
    const added = await standIns.callerClient.send(host.callerAddress, `/added-${newestRoute}/x`, headers)
    if (added.status !== 200) breaches.push({ promise: 'configuration in force', detail: `${host.name} answered a request to the newest route with ${added.status}` })
  }
  return breaches
}
