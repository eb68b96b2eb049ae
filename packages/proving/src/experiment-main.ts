import * as commander from 'commander'
import * as latency from './latency-experiment.js'
import * as footprint from './footprint-experiment.js'
import * as gateways from './gateway-experiment.js'
import * as routing from './routing-experiment.js'

const program = new commander.Command('experiment')
  .description('Measures the system on this machine; prints progress, then one line of JSON')

program.command('latency')
  .description('latency that a router adds to a call of the same target made directly, paired in one run')
  .option('--per-second <rates>', 'request rates, separated by commas', '50,500')
  .option('--seconds <seconds>', 'length of each rate', Number, 8)
  .option('--routers <count>', 'routers', Number, 4)
  .action(async (options: latency.LatencyOptions) => { print(await latency.measureLatency(options)) })

program.command('throughput')
  .description('requests a second that one router sustains')
  .option('--seconds <seconds>', 'length of the run', Number, 8)
  .option('--in-flight <count>', 'requests in flight', Number, 64)
  .action(async (options: footprint.ThroughputOptions) => { print(await footprint.measureThroughput(options)) })

program.command('slopes')
  .description('memory, processor time, control bytes and platform calls of an idle router against the size of the fleet')
  .option('--routers <counts>', 'fleet sizes, separated by commas', '2,8,16')
  .option('--budgets <counts>', 'budgets in the manifest, separated by commas', '10,10000')
  .option('--seconds <seconds>', 'length of each measurement', Number, 8)
  .action(async (options: footprint.SlopeOptions) => { print(await footprint.measureSlopes(options)) })

program.command('routing')
  .description('routing policies against the same seeded requests')
  .option('--seed <number>', 'seed of the requests', Number, 1)
  .option('--per-second <rate>', 'requests a second', Number, 120)
  .option('--seconds <seconds>', 'length of each policy\'s run', Number, 10)
  .action(async (options: routing.RoutingOptions) => { print(await routing.measureRouting(options)) })

program.command('gateways')
  .description('processor time, memory and store calls of gateways against the size of the fleet')
  .option('--gateways <counts>', 'fleet sizes, separated by commas', '2,8,40')
  .option('--seconds <seconds>', 'length of each measurement', Number, 10)
  .option('--rest <seconds>', 'time before each measurement', Number, 5)
  .option('--load', 'send requests meanwhile', false)
  .action(async (options: gateways.GatewayOptions) => { print(await gateways.measureGateways(options)) })

await program.parseAsync()
process.exit()

function print (result: object): void {
  process.stdout.write(JSON.stringify(result) + '\n')
}
