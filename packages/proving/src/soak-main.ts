import * as commander from 'commander'
import * as soaks from './soak.js'

const program = new commander.Command('soak')
  .description('Runs random load and faults against real gateway processes, and checks their guarantees')
  .option('--first-seed <number>', 'seed of the first run', '1')
  .option('--seeds <count>', 'number of runs, each with the next seed', '10')
  .option('--gateways <count>', 'gateway processes in each run', '4')
  .option('--seconds <seconds>', 'duration of fault injection in each run', '8')
  .parse()
const { firstSeed, seeds, gateways, seconds } = program.opts<Record<string, string>>()

let failedRuns = 0
for (let seed = Number(firstSeed); seed < Number(firstSeed) + Number(seeds); seed++) {
  const report = await soaks.runSoak({ seed, gateways: Number(gateways), faultyMs: Number(seconds) * 1000 })
  if (report.breaches.length > 0) failedRuns += 1
  process.stdout.write(JSON.stringify({ ...report, injected: report.injected.length, faults: report.breaches.length > 0 ? report.injected : undefined }) + '\n')
}
process.stdout.write(`${seeds} runs, ${failedRuns} with a broken guarantee\n`)
process.exit(failedRuns > 0 ? 1 : 0)
