import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as crypto from 'node:crypto'
import * as checks from './configuration-check.js'
import * as exits from './exit-codes.js'
import * as changes from './manifest-changes.js'
import * as files from './manifest-files.js'
import * as output from './output.js'
import * as spend from './spend-report.js'

/** Attempts to apply a change to the configuration in force. An attempt fails if another operator's change comes in between. */
const MAXIMUM_CHANGE_ATTEMPTS = 5

const STANDARD_ERROR_DESCRIPTOR = 2

interface GlobalOptions {
  platformAddress?: string
  platformTimeoutMs: string
  json: boolean
}

/** Runs the command line without the leading program name. Returns the exit code. */
export async function runProgram (argv: string[]): Promise<exits.ExitCode> {
  const program = buildProgram()
  program.exitOverride()
  try {
    await program.parseAsync(argv, { from: 'user' })
    return exits.ExitCode.success
  } catch (error) {
    return reportFailure(error as Error, program.opts<GlobalOptions>().json)
  }
}

function buildProgram (): commander.Command {
  const program = new commander.Command('acaciaweir')
    .description('Operates an acaciaweir fleet through the platform')
    .addOption(new commander.Option('--platform-address <url>', 'address of the platform\'s object API').env('ACACIAWEIR_PLATFORM_ADDRESS'))
    .addOption(new commander.Option('--platform-timeout-ms <milliseconds>', 'timeout of a platform call').env('ACACIAWEIR_PLATFORM_TIMEOUT_MS').default('2000'))
    .option('--json', 'print JSON', false)
    .addHelpText('after', '\nStart with:  acaciaweir check manifest.json\nExit codes:  0 success, 1 failure, 2 invalid input, 3 conflict with another operator\'s change, 4 platform unreachable')
  addManifestCommands(program)
  addChangeCommands(program)
  addReportCommands(program)
  return program
}

function addManifestCommands (program: commander.Command): void {
  program.command('check <file>').description('check a manifest or a configuration of the platform before it is sent')
    .option('--against <file>', 'also list what differs from the version in this file')
    .option('--in-force', 'also list what differs from the version in force', false)
    .addOption(new commander.Option('--fail-on <severity>', 'least severity of a finding that fails the check').choices(Object.values(decisions.configurationRules.Severity)).default(decisions.configurationRules.Severity.error))
    .addOption(new commander.Option('--format <format>', 'text, or json as with --json').choices(['text', 'json']).default('text'))
    .action(async (file: string, options: CheckOptions) => { await check(program, file, options) })
  program.command('apply <file>').description('put a manifest in force')
    .requiredOption('--expect <generation>', 'generation that is in force now; 0 if there is none')
    .action(async (file: string, options: { expect: string }) => {
      const manifest = files.readManifestFile(file)
      const result = await createStore(program).apply(manifest, parseWholeNumber('--expect', options.expect), crypto.randomUUID())
      printApplyResult(program, result)
    })
  program.command('show').description('print the manifest in force').action(async () => {
    const { head, manifest } = await readConfiguration(program)
    printResult(program, { generation: head.generation, manifest }, () => `generation ${head.generation}\n${JSON.stringify(manifest, null, 2)}`)
  })
  program.command('diff <file>').description('compare a manifest with the one in force').action(async (file: string) => {
    const { head, manifest } = await readConfiguration(program)
    const differences = files.diffManifests(manifest, files.readManifestFile(file))
    printResult(program, { generation: head.generation, differences }, () => output.formatDifferences(differences))
  })
}

interface CheckOptions {
  against?: string
  inForce: boolean
  failOn: decisions.configurationRules.Severity
  format: 'text' | 'json'
}

/** Prints the report of a check. Throws CommandError if it has findings that fail it. */
async function check (program: commander.Command, file: string, options: CheckOptions): Promise<void> {
  if (options.inForce && options.against !== undefined) throw new exits.CommandError('--against and --in-force exclude each other', exits.ExitCode.invalidInput)
  const value = files.readJsonFile(file)
  const report = checks.checkConfiguration(file, value, await previousVersion(program, value, options))
  if (options.format === 'json') program.setOptionValue('json', true)
  printResult(program, report, () => output.formatCheckReport(file, report, process.stdout.isTTY))
  if (checks.hasFindingsAt(report, options.failOn)) throw new exits.CommandError(`the check found ${options.failOn === 'error' ? 'errors' : 'errors or warnings'}`, exits.ExitCode.failure)
}

async function previousVersion (program: commander.Command, value: unknown, options: CheckOptions): Promise<{ label: string, value: unknown } | undefined> {
  if (options.against !== undefined) return { label: options.against, value: files.readJsonFile(options.against) }
  if (!options.inForce) return undefined
  if (!adapter.configuration.isConfiguration(value)) return { label: 'the manifest in force', value: (await readConfiguration(program)).manifest }
  const { kind, name } = { kind: adapter.objectKinds.ObjectKind.configuration, name: adapter.objectKinds.CONFIGURATION_NAME }
  const outcome = await createObjectStore(program).read(kind, name)
  if (outcome.status === 'done') return { label: 'the configuration in force', value: outcome.result.value }
  if (outcome.status === 'missing') throw new exits.CommandError('no configuration is in force', exits.ExitCode.failure)
  throw new exits.CommandError(`the configuration in force cannot be read: ${outcome.reason}`, exits.ExitCode.unreachable)
}

function addChangeCommands (program: commander.Command): void {
  program.command('top-up <budget> <tokens>').description('add tokens to a budget')
    .option('--client-account <name>', 'also raise the cap of this client account by the same number of tokens')
    .action(async (budget: string, tokens: string, options: { clientAccount?: string }) => {
      const added = parseWholeNumber('tokens', tokens)
      await changeConfiguration(program, (manifest) => changes.topUpBudget(manifest, budget, added, options.clientAccount))
    })
  program.command('drain-target <target>').description('stop sending new requests to a target')
    .option('--undo', 'send new requests to the target again', false)
    .action(async (target: string, options: { undo: boolean }) => {
      await changeConfiguration(program, (manifest) => changes.setTargetLeaving(manifest, target, !options.undo))
    })
  program.command('drain-host <host>').description('make an entry host finish its requests and accept no new ones')
    .option('--undo', 'let the host accept requests again after its next start', false)
    .action(async (host: string, options: { undo: boolean }) => {
      await changeConfiguration(program, (manifest) => changes.setHostLeaving(manifest, host, !options.undo))
    })
}

function addReportCommands (program: commander.Command): void {
  program.command('budgets').description('show budgets, their members and their spend').action(async () => {
    const { manifest } = await readConfiguration(program)
    const budgets = await spend.readBudgetSpend(createClient(program), manifest)
    printResult(program, { budgets }, () => output.formatBudgets(budgets))
  })
  program.command('bills').description('show bills, one per request').action(async () => {
    const bills = await spend.readBills(createClient(program))
    printResult(program, { bills }, () => output.formatBills(bills))
  })
  program.command('hosts').description('show the registered routers').action(async () => {
    const stored = await createClient(program).list(platform.objectKeys.REGISTRATION_PREFIX)
    const hosts = stored.map((object) => object.value as decisions.membership.Member)
    printResult(program, { hosts }, () => output.formatRouters(hosts))
  })
  program.command('targets').description('show the targets of the manifest in force').action(async () => {
    const { manifest } = await readConfiguration(program)
    printResult(program, { targets: manifest.targets }, () => output.formatTargets(manifest.targets))
  })
}

async function changeConfiguration (program: commander.Command, change: (manifest: operators.manifest.Manifest) => operators.manifest.Manifest): Promise<void> {
  const changeId = crypto.randomUUID()
  for (let attempt = 1; ; attempt += 1) {
    const { head, manifest } = await readConfiguration(program)
    const result = await createStore(program).apply(change(manifest), head.generation, changeId)
    if (result.kind === 'conflict' && attempt < MAXIMUM_CHANGE_ATTEMPTS) continue
    printApplyResult(program, result)
    return
  }
}

/** Prints the generation of an accepted change. Throws CommandError after a conflict. */
function printApplyResult (program: commander.Command, result: operators.configurationStore.ApplyResult): void {
  if (result.kind === 'conflict') {
    throw new exits.CommandError(`conflict with another change: generation ${result.generationInForce} is in force`, exits.ExitCode.conflict, result)
  }
  printResult(program, result, () => `accepted as generation ${result.generation}`)
}

function createClient (program: commander.Command): platform.platformClient.PlatformClient {
  return new platform.keyedStore.KeyedStore(createObjectStore(program))
}

function createObjectStore (program: commander.Command): platform.objectStore.ObjectStore {
  const options = program.opts<GlobalOptions>()
  if (options.platformAddress === undefined) {
    throw new exits.CommandError('--platform-address (ACACIAWEIR_PLATFORM_ADDRESS) is missing', exits.ExitCode.invalidInput)
  }
  const timeoutMs = parseWholeNumber('--platform-timeout-ms', options.platformTimeoutMs)
  // Scripts read the results from standard output, so log lines go to standard error.
  const logger = runtime.logging.createLogger('warn', {}, STANDARD_ERROR_DESCRIPTOR)
  try {
    return adapter.keyedStoreFactory.createObjectStore(options.platformAddress, timeoutMs, logger)
  } catch (error) {
    throw new exits.CommandError(`--platform-address (ACACIAWEIR_PLATFORM_ADDRESS) is invalid: ${(error as Error).message}`, exits.ExitCode.invalidInput)
  }
}

function createStore (program: commander.Command): operators.configurationStore.ConfigurationStore {
  return new operators.configurationStore.ConfigurationStore(createClient(program))
}

async function readConfiguration (program: commander.Command): Promise<operators.configurationStore.Configuration> {
  const configuration = await createStore(program).read()
  if (configuration !== undefined) return configuration
  throw new exits.CommandError('no configuration is in force; apply one with --expect 0', exits.ExitCode.failure)
}

function parseWholeNumber (name: string, text: string): number {
  const value = Number(text)
  if (Number.isSafeInteger(value) && value >= 0 && text.trim() !== '') return value
  throw new exits.CommandError(`${name} must be a whole number, not "${text}"`, exits.ExitCode.invalidInput)
}

function printResult (program: commander.Command, value: unknown, formatText: () => string): void {
  const text = program.opts<GlobalOptions>().json ? JSON.stringify(value) : formatText()
  process.stdout.write(text + '\n')
}

function reportFailure (error: Error, asJson: boolean): exits.ExitCode {
  if (error instanceof commander.CommanderError) return error.exitCode === 0 ? exits.ExitCode.success : exits.ExitCode.invalidInput
  const failure = toCommandError(error)
  const text = asJson ? JSON.stringify({ error: failure.message, details: failure.details }) : `acaciaweir: ${failure.message}`
  process.stderr.write(text + '\n')
  return failure.exitCode
}

function toCommandError (error: Error): exits.CommandError {
  if (error instanceof exits.CommandError) return error
  const isUnreachable = error instanceof platform.platformClient.PlatformUnavailable
  return new exits.CommandError(error.message, isUnreachable ? exits.ExitCode.unreachable : exits.ExitCode.failure)
}
