import * as commander from 'commander'
import * as soaks from './soak.js'

const program = new commander.Command('soak')
  .description('Plays random load and faults over real gateway processes, and checks the promises')
  .option('--first-seed <number>', 'seed of the first run', '1')
  .option('--seeds <count>', 'number of runs', '10')
  .option('--gateways <count>', 'gateway processes of a run', '4')
  .option('--seconds <seconds>', 'time with faults in a run', '8')
  .parse()
const { firstSeed, seeds, gateways, seconds } = program.opts<Record<string, string>>()

let broken = 0
for (let seed = Number(firstSeed); seed < Number(firstSeed) + Number(seeds); seed++) {
  const report = await soaks.soak({ seed, gateways: Number(gateways), faultyMs: Number(seconds) * 1000 })
  if (report.breaches.length > 0) broken += 1
  process.stdout.write(JSON.stringify({ ...report, injected: report.injected.length, faults: report.breaches.length > 0 ? report.injected : undefined }) + '\n')
}
process.stdout.write(`${seeds} runs, ${broken} with a broken promise\n`)
process.exit(broken > 0 ? 1 : 0)
