import * as decisions from '@acaciaweir/decisions'
import * as figures from './figures.js'
import * as callers from './soak-callers.js'
import * as usage from './process-usage.js'
import * as fleets from './soak-fleet.js'

/** Options of the gateways experiment. */
export interface GatewayOptions {
  gateways: string
  seconds: number
  /** Time for a fleet to come to rest before it is measured, in seconds. */
  rest: number
  /** Whether callers send requests during the measurement. */
  load: boolean
}

/** What one gateway of a fleet uses, on average and at most. */
interface GatewayFootprint {
  gateways: number
  startProcessorSeconds: number
  coreShare: { mean: number, most: number }
  residentMegabytes: { mean: number, most: number }
  storeCallsPerSecond: number
  requestsPerSecond: number
}

const accounts = Array.from({ length: 24 }, (_value, index) => ({ name: `account-${index}`, key: `key-${index}`, prepaid: 10_000_000 }))

/** Measures fleets of several sizes, at rest or under load. */
export async function measureGateways (options: GatewayOptions): Promise<object> {
  const footprints: GatewayFootprint[] = []
  for (const size of options.gateways.split(',')) footprints.push(await measureFleet(Number(size), options))
  return { experiment: 'gateways', load: options.load, footprints }
}

async function measureFleet (gateways: number, options: GatewayOptions): Promise<GatewayFootprint> {
  const fleet = new fleets.SoakFleet(accounts)
  const onOwnExit = (host: fleets.SoakHost): void => { process.stderr.write(`${host.name} ended by itself\n`) }
  try {
    await fleet.start(gateways, onOwnExit)
    const started = fleet.hosts.map((host) => usage.readUsage(host.pid))
    await fleets.pause(options.rest * 1000)
    const load = new callers.SoakCallers(fleet, new decisions.random.SeededRandom(1))
    const before = fleet.hosts.map((host) => usage.readUsage(host.pid))
    const callsBefore = fleet.platform.store.calls
    await (options.load ? load.run(options.seconds * 1000) : fleets.pause(options.seconds * 1000))
    const after = fleet.hosts.map((host) => usage.readUsage(host.pid))
    const calls = fleet.platform.store.calls - callsBefore
    return {
      gateways,
      startProcessorSeconds: summary(started.map((used) => used.processorSeconds)).mean,
      coreShare: summary(after.map((used, index) => (used.processorSeconds - before[index].processorSeconds) / options.seconds)),
      residentMegabytes: summary(after.map((used) => used.residentMegabytes)),
      storeCallsPerSecond: calls / options.seconds,
      requestsPerSecond: load.requests.length / options.seconds
    }
  } finally {
    await fleet.stop()
  }
}

function summary (values: readonly number[]): { mean: number, most: number } {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean: figures.rounded(mean, 4), most: figures.rounded(Math.max(...values), 4) }
}
