import * as commander from 'commander'
import * as latency from './latency-experiment.js'
import * as footprint from './footprint-experiment.js'
import * as gateways from './gateway-experiment.js'
import * as routing from './routing-experiment.js'

const program = new commander.Command('experiment')
  .description('Runs a performance experiment on this machine; prints progress, then the result as one line of JSON')

program.command('latency')
  .description('latency that a router adds to a request, compared with the same requests sent directly to the target in the same run')
  .option('--per-second <rates>', 'request rates in requests per second, separated by commas', '50,500')
  .option('--seconds <seconds>', 'duration of the run at each rate, in seconds', Number, 8)
  .option('--routers <count>', 'number of routers', Number, 4)
  .action(async (options: latency.LatencyExperimentOptions) => { print(await latency.measureLatency(options)) })

program.command('throughput')
  .description('requests per second that one router sustains')
  .option('--seconds <seconds>', 'duration of the run, in seconds', Number, 8)
  .option('--in-flight <count>', 'number of concurrent requests', Number, 64)
  .action(async (options: footprint.ThroughputExperimentOptions) => { print(await footprint.measureThroughput(options)) })

program.command('slopes')
  .description('memory, processor time, control traffic and platform calls of an idle router, by fleet size and by number of budgets')
  .option('--routers <counts>', 'numbers of routers, separated by commas', '2,8,16')
  .option('--budgets <counts>', 'numbers of budgets in the manifest, separated by commas', '10,10000')
  .option('--seconds <seconds>', 'duration of each measurement, in seconds', Number, 8)
  .action(async (options: footprint.SlopesExperimentOptions) => { print(await footprint.measureSlopes(options)) })

program.command('routing')
  .description('latency and load balance of the routing policies under the same seeded random requests')
  .option('--seed <number>', 'seed of the random requests', Number, 1)
  .option('--per-second <rate>', 'requests per second', Number, 120)
  .option('--seconds <seconds>', 'duration of the run of each policy, in seconds', Number, 10)
  .action(async (options: routing.RoutingExperimentOptions) => { print(await routing.measureRouting(options)) })

program.command('gateways')
  .description('processor time, memory and store calls of gateways, by fleet size')
  .option('--gateways <counts>', 'numbers of gateways, separated by commas', '2,8,40')
  .option('--seconds <seconds>', 'duration of each measurement, in seconds', Number, 10)
  .option('--rest <seconds>', 'settling time before each measurement, in seconds', Number, 5)
  .option('--load', 'send requests during the measurement', false)
  .action(async (options: gateways.GatewayExperimentOptions) => { print(await gateways.measureGateways(options)) })

await program.parseAsync()
process.exit()

function print (result: object): void {
  process.stdout.write(JSON.stringify(result) + '\n')
}
