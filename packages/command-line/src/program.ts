import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as crypto from 'node:crypto'
import * as exits from './exit-codes.js'
import * as changes from './manifest-changes.js'
import * as files from './manifest-files.js'
import * as output from './output.js'
import * as spend from './spend-report.js'

/** Tries of a change that is made to the configuration in force, where other operators come in between. */
const CHANGE_TRIES = 5

const STANDARD_ERROR = 2

interface GlobalOptions {
  platformAddress?: string
  platformTimeoutMs: string
  json: boolean
}

/** Runs the command line and returns the exit code. */
export async function runProgram (argv: string[]): Promise<exits.ExitCode> {
  const program = buildProgram()
  program.exitOverride()
  try {
    await program.parseAsync(argv, { from: 'user' })
    return exits.ExitCode.done
  } catch (error) {
    return reportFailure(error as Error, program.opts<GlobalOptions>().json)
  }
}

function buildProgram (): commander.Command {
  const program = new commander.Command('acaciaweir')
    .description('Operates an acaciaweir fleet through the platform')
    .addOption(new commander.Option('--platform-address <url>', 'address of the platform\'s object API').env('ACACIAWEIR_PLATFORM_ADDRESS'))
    .addOption(new commander.Option('--platform-timeout-ms <milliseconds>', 'longest wait for one platform call').env('ACACIAWEIR_PLATFORM_TIMEOUT_MS').default('2000'))
    .option('--json', 'print JSON', false)
    .addHelpText('after', '\nStart with:  acaciaweir check manifest.json\nExit codes:  0 done, 1 failed, 2 bad input, 3 conflict with another operator, 4 platform unreachable')
  addManifestCommands(program)
  addChangeCommands(program)
  addReportCommands(program)
  return program
}

function addManifestCommands (program: commander.Command): void {
  program.command('check <file>').description('check a manifest and list all its faults').action((file: string) => {
    const manifest = files.readManifestFile(file)
    print(program, { valid: true, name: manifest.name }, () => `${file} is valid`)
  })
  program.command('apply <file>').description('put a manifest in force')
    .requiredOption('--expect <generation>', 'generation that is in force now; 0 where there is none')
    .action(async (file: string, options: { expect: string }) => {
      const manifest = files.readManifestFile(file)
      const result = await storeOf(program).apply(manifest, wholeNumber('--expect', options.expect), crypto.randomUUID())
      printAccepted(program, result)
    })
  program.command('show').description('print the manifest in force').action(async () => {
    const { head, manifest } = await configurationOf(program)
    print(program, { generation: head.generation, manifest }, () => `generation ${head.generation}\n${JSON.stringify(manifest, null, 2)}`)
  })
  program.command('diff <file>').description('compare a manifest with the one in force').action(async (file: string) => {
    const { head, manifest } = await configurationOf(program)
    const differences = files.diffManifests(manifest, files.readManifestFile(file))
    print(program, { generation: head.generation, differences }, () => output.differenceLines(differences))
  })
}

function addChangeCommands (program: commander.Command): void {
  program.command('top-up <budget> <tokens>').description('add tokens to a budget')
    .option('--client-account <name>', 'raise this member\'s cap by as much')
    .action(async (budget: string, tokens: string, options: { clientAccount?: string }) => {
      const added = wholeNumber('tokens', tokens)
      await changeInForce(program, (manifest) => changes.topUp(manifest, budget, added, options.clientAccount))
    })
  program.command('drain-target <target>').description('give a target no new work')
    .option('--undo', 'give it work again', false)
    .action(async (target: string, options: { undo: boolean }) => {
      await changeInForce(program, (manifest) => changes.drainTarget(manifest, target, !options.undo))
    })
  program.command('drain-host <host>').description('let an entry host finish its work and take no more')
    .option('--undo', 'let it serve again after its next start', false)
    .action(async (host: string, options: { undo: boolean }) => {
      await changeInForce(program, (manifest) => changes.drainHost(manifest, host, !options.undo))
    })
}

function addReportCommands (program: commander.Command): void {
  program.command('budgets').description('show budgets, their members and their spend').action(async () => {
    const { manifest } = await configurationOf(program)
    const budgets = await spend.readSpend(clientOf(program), manifest)
    print(program, { budgets }, () => output.budgetTable(budgets))
  })
  program.command('bills').description('show bills, one for each request').action(async () => {
    const bills = await spend.readBills(clientOf(program))
    print(program, { bills }, () => output.billTable(bills))
  })
  program.command('hosts').description('show the routers that are registered').action(async () => {
    const stored = await clientOf(program).list(platform.objectKeys.REGISTRATION_PREFIX)
    const hosts = stored.map((object) => object.value as decisions.membership.Member)
    print(program, { hosts }, () => output.hostTable(hosts))
  })
  program.command('targets').description('show the targets of the manifest in force').action(async () => {
    const { manifest } = await configurationOf(program)
    print(program, { targets: manifest.targets }, () => output.targetTable(manifest.targets))
  })
}

async function changeInForce (program: commander.Command, change: (manifest: operators.manifest.Manifest) => operators.manifest.Manifest): Promise<void> {
  const changeId = crypto.randomUUID()
  for (let attempt = 1; ; attempt += 1) {
    const { head, manifest } = await configurationOf(program)
    const result = await storeOf(program).apply(change(manifest), head.generation, changeId)
    if (result.kind === 'conflict' && attempt < CHANGE_TRIES) continue
    printAccepted(program, result)
    return
  }
}

function printAccepted (program: commander.Command, result: operators.configurationStore.ApplyResult): void {
  if (result.kind === 'conflict') {
    throw new exits.CommandError(`another change came first: generation ${result.generationInForce} is in force`, exits.ExitCode.conflict, result)
  }
  print(program, result, () => `accepted as generation ${result.generation}`)
}

function clientOf (program: commander.Command): platform.platformClient.PlatformClient {
  const options = program.opts<GlobalOptions>()
  if (options.platformAddress === undefined) {
    throw new exits.CommandError('--platform-address (ACACIAWEIR_PLATFORM_ADDRESS) is missing', exits.ExitCode.badInput)
  }
  const timeoutMs = wholeNumber('--platform-timeout-ms', options.platformTimeoutMs)
  // Standard output carries the results, which scripts read.
  const logger = runtime.logging.createLogger('warn', {}, STANDARD_ERROR)
  try {
    return adapter.keyedStoreFactory.createKeyedStore(options.platformAddress, timeoutMs, logger)
  } catch (error) {
    throw new exits.CommandError(`--platform-address (ACACIAWEIR_PLATFORM_ADDRESS) is bad: ${(error as Error).message}`, exits.ExitCode.badInput)
  }
}

function storeOf (program: commander.Command): operators.configurationStore.ConfigurationStore {
  return new operators.configurationStore.ConfigurationStore(clientOf(program))
}

async function configurationOf (program: commander.Command): Promise<operators.configurationStore.Configuration> {
  const configuration = await storeOf(program).read()
  if (configuration !== undefined) return configuration
  throw new exits.CommandError('no configuration is in force; apply one with --expect 0', exits.ExitCode.failed)
}

function wholeNumber (name: string, text: string): number {
  const value = Number(text)
  if (Number.isSafeInteger(value) && value >= 0 && text.trim() !== '') return value
  throw new exits.CommandError(`${name} must be a whole number, not "${text}"`, exits.ExitCode.badInput)
}

function print (program: commander.Command, value: unknown, human: () => string): void {
  const text = program.opts<GlobalOptions>().json ? JSON.stringify(value) : human()
  process.stdout.write(text + '\n')
}

function reportFailure (error: Error, asJson: boolean): exits.ExitCode {
  if (error instanceof commander.CommanderError) return error.exitCode === 0 ? exits.ExitCode.done : exits.ExitCode.badInput
  const failure = asCommandError(error)
  const text = asJson ? JSON.stringify({ error: failure.message, details: failure.details }) : `acaciaweir: ${failure.message}`
  process.stderr.write(text + '\n')
  return failure.exitCode
}

function asCommandError (error: Error): exits.CommandError {
  if (error instanceof exits.CommandError) return error
  const unreachable = error instanceof platform.platformClient.PlatformUnavailable
  return new exits.CommandError(error.message, unreachable ? exits.ExitCode.unreachable : exits.ExitCode.failed)
}
