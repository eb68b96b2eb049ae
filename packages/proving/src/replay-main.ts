import * as commander from 'commander'
import * as fs from 'node:fs'
import * as replays from './replay.js'
import * as traces from './trace-format.js'

const program = new commander.Command('replay')
  .description('Replays a trace against router processes and checks the outcomes that the trace states')
  .argument('<file>', 'trace in JSON lines: the header, then one event per line')
  .option('--seed <number>', 'seed for the requests and the routers', Number, 1)
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
