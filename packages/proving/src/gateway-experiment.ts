import * as decisions from '@acaciaweir/decisions'
import * as figures from './figures.js'
import * as callers from './soak-callers.js'
import * as usage from './process-usage.js'
import * as fleets from './soak-fleet.js'

/** Options of the gateways experiment, as the command line parses them. */
export interface GatewayExperimentOptions {
  /** Fleet sizes, separated by commas. */
  gateways: string
  /** Duration of each measurement. */
  seconds: number
  /** Time between the start of a fleet and its measurement, in seconds. */
  rest: number
  /** Callers send requests during the measurement. */
  load: boolean
}

/** Resources that one gateway of a fleet uses, as mean and maximum over the gateways. */
interface GatewayFootprint {
  gateways: number
  /** Mean processor time that a gateway has used when the whole fleet is ready. */
  startProcessorSeconds: number
  /** Processor seconds per second. */
  coreShare: { mean: number, most: number }
  residentMegabytes: { mean: number, most: number }
  /** Calls of the whole fleet. */
  storeCallsPerSecond: number
  requestsPerSecond: number
}

const clientAccounts = Array.from({ length: 24 }, (_value, index) => ({ name: `account-${index}`, apiKey: `key-${index}`, prepaidTokens: 10_000_000 }))

/** Measures the footprint of fleets of several sizes, idle or under load. */
export async function measureGateways (options: GatewayExperimentOptions): Promise<object> {
  const footprints: GatewayFootprint[] = []
  for (const size of options.gateways.split(',')) footprints.push(await measureFleet(Number(size), options))
  return { experiment: 'gateways', load: options.load, footprints }
}

async function measureFleet (gateways: number, options: GatewayExperimentOptions): Promise<GatewayFootprint> {
  const fleet = new fleets.SoakFleet(clientAccounts)
  const onUnexpectedExit = (host: fleets.SoakHost): void => { process.stderr.write(`${host.name} exited unexpectedly\n`) }
  try {
    await fleet.start(gateways, onUnexpectedExit)
    const usageAfterStart = fleet.hosts.map((host) => usage.readUsage(host.pid))
    await fleets.sleep(options.rest * 1000)
    const load = new callers.SoakCallers(fleet, new decisions.random.SeededRandom(1))
    const before = fleet.hosts.map((host) => usage.readUsage(host.pid))
    const storeCallsBefore = fleet.platform.store.callCount
    await (options.load ? load.run(options.seconds * 1000) : fleets.sleep(options.seconds * 1000))
    const after = fleet.hosts.map((host) => usage.readUsage(host.pid))
    const storeCalls = fleet.platform.store.callCount - storeCallsBefore
    return {
      gateways,
      startProcessorSeconds: meanAndMaximum(usageAfterStart.map((used) => used.processorSeconds)).mean,
      coreShare: meanAndMaximum(after.map((used, index) => (used.processorSeconds - before[index].processorSeconds) / options.seconds)),
      residentMegabytes: meanAndMaximum(after.map((used) => used.residentMegabytes)),
      storeCallsPerSecond: storeCalls / options.seconds,
      requestsPerSecond: load.requests.length / options.seconds
    }
  } finally {
    await fleet.stop()
  }
}

function meanAndMaximum (values: readonly number[]): { mean: number, most: number } {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean: figures.roundTo(mean, 4), most: figures.roundTo(Math.max(...values), 4) }
}
