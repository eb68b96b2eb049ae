import * as commander from 'commander'
import * as fs from 'node:fs'
import * as replays from './replay.js'
import * as traces from './trace-format.js'

const program = new commander.Command('replay')
  .description('Plays a trace against real router processes and judges it by the outcomes that it states')
  .argument('<file>', 'trace, one JSON object a line')
  .option('--seed <number>', 'seed of the requests and of the routers', Number, 1)
  .action(async (file: string, options: { seed: number }) => {
    const verdict = await replays.replay(traces.parseTrace(fs.readFileSync(file, 'utf8')), options.seed)
    process.stdout.write(JSON.stringify(verdict) + '\n')
    process.exitCode = verdict.held ? 0 : 1
  })

try {
  await program.parseAsync()
} catch (error) {
  process.stderr.write(`replay: ${(error as Error).message}\n`)
  process.exitCode = 2
}
process.exit()
