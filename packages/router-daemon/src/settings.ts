import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as zod from 'zod'

const listenAddressSchema = zod.string().regex(/^[0-9A-Za-z.:[\]-]+:\d+$/, 'must be ADDRESS:PORT')
const shareSchema = zod.coerce.number().min(0).max(1)
const millisecondsSchema = zod.coerce.number().int().min(1)

export const routingPolicyNames = ['round-robin', 'least-own-work', 'two-choices', 'prefix-affinity'] as const

const settingsSchema = zod.strictObject({
  host: zod.string().min(1),
  availabilityZone: zod.string().min(1),
  platformAddress: zod.string().refine(adapter.keyedStoreFactory.isStoreUrl, 'must be http://HOST:PORT'),
  platformTimeoutMs: millisecondsSchema,
  callerListen: listenAddressSchema,
  callerAddress: zod.string().optional(),
  peerListen: listenAddressSchema,
  peerAddress: zod.string().optional(),
  metricsListen: listenAddressSchema,
  logLevel: zod.enum(runtime.logging.logLevels),
  traceFile: zod.string().optional(),
  otlpEndpoint: zod.url().optional(),
  traceSampledShare: shareSchema,
  journalIntervalMs: millisecondsSchema,
  witnessCount: zod.coerce.number().int().min(0).max(5),
  allotmentHorizonSeconds: zod.coerce.number().min(0),
  allotmentShare: shareSchema,
  allotmentMinimumTokens: zod.coerce.number().int().min(1),
  unjournaledShare: shareSchema,
  budgetWaitMs: zod.coerce.number().int().min(0),
  recoveryWaitMs: zod.coerce.number().int().min(0),
  durabilityWaitMs: millisecondsSchema,
  billJournalWaitMs: zod.coerce.number().int().min(0),
  requestTimeoutMs: millisecondsSchema,
  resumeGraceMs: zod.coerce.number().int().min(0),
  heartbeatIntervalMs: millisecondsSchema,
  suspectAfterMs: millisecondsSchema,
  deadAfterMs: millisecondsSchema,
  routingPolicy: zod.enum(routingPolicyNames),
  entryHostCount: zod.coerce.number().int().min(1),
  keepSeconds: zod.coerce.number().int().min(1),
  seed: zod.coerce.number().int().optional()
})

/** Validated settings of a router. */
export type Settings = zod.infer<typeof settingsSchema>

/** A setting is missing or invalid. */
export class SettingsError extends Error {}

interface SettingDefinition {
  flag: string
  description: string
  defaultValue?: string
}

const settingDefinitions: SettingDefinition[] = [
  { flag: '--host <name>', description: 'name of this entry host' },
  { flag: '--availability-zone <name>', description: 'availability zone of this host' },
  { flag: '--platform-address <url>', description: 'address of the platform\'s object API' },
  { flag: '--platform-timeout-ms <milliseconds>', description: 'timeout of a platform call', defaultValue: '1000' },
  { flag: '--caller-listen <address:port>', description: 'address at which callers connect', defaultValue: '0.0.0.0:8080' },
  { flag: '--caller-address <url>', description: 'address that callers are given; derived from --caller-listen if not set' },
  { flag: '--peer-listen <address:port>', description: 'address at which other routers connect', defaultValue: '0.0.0.0:8081' },
  { flag: '--peer-address <address:port>', description: 'address that other routers are given; derived from --peer-listen if not set' },
  { flag: '--metrics-listen <address:port>', description: 'address at which metrics are read', defaultValue: '0.0.0.0:8082' },
  { flag: '--log-level <level>', description: 'least severe level logged', defaultValue: 'info' },
  { flag: '--trace-file <path>', description: 'file to which spans are written, one a line' },
  { flag: '--otlp-endpoint <url>', description: 'OpenTelemetry collector to which spans are sent' },
  { flag: '--trace-sampled-share <share>', description: 'share of traces kept, 0 to 1', defaultValue: '1' },
  { flag: '--journal-interval-ms <milliseconds>', description: 'time between journal writes', defaultValue: '200' },
  { flag: '--witness-count <count>', description: 'routers that hold copies of this router\'s records', defaultValue: '3' },
  { flag: '--allotment-horizon-seconds <seconds>', description: 'time for which an allotment lasts at the current spending rate without the platform', defaultValue: '120' },
  { flag: '--allotment-share <share>', description: 'largest share of a budget\'s remaining tokens that one grant takes ahead of demand', defaultValue: '0.1' },
  { flag: '--allotment-minimum-tokens <tokens>', description: 'smallest grant that is requested ahead of demand', defaultValue: '2000' },
  { flag: '--unjournaled-share <share>', description: 'share of the free allotment that may be spent beyond the last journal write; if this router and all its witnesses fail together, the budget loses all of it', defaultValue: '0.5' },
  { flag: '--budget-wait-ms <milliseconds>', description: 'longest wait for tokens before a refusal', defaultValue: '2000' },
  { flag: '--recovery-wait-ms <milliseconds>', description: 'longest wait for tokens while a router that holds tokens of the budget does not answer', defaultValue: '12000' },
  { flag: '--durability-wait-ms <milliseconds>', description: 'longest wait for a durable record before a refusal', defaultValue: '1500' },
  { flag: '--bill-journal-wait-ms <milliseconds>', description: 'longest wait for a bill to reach the journal; after that, copies at the witnesses suffice', defaultValue: '1000' },
  { flag: '--request-timeout-ms <milliseconds>', description: 'timeout of a request', defaultValue: '120000' },
  { flag: '--resume-grace-ms <milliseconds>', description: 'time for which a stream continues after its caller has disconnected', defaultValue: '2000' },
  { flag: '--heartbeat-interval-ms <milliseconds>', description: 'time between heartbeats to other routers', defaultValue: '1000' },
  { flag: '--suspect-after-ms <milliseconds>', description: 'silence after which a router gets no new work', defaultValue: '3000' },
  { flag: '--dead-after-ms <milliseconds>', description: 'silence after which a router\'s journal is sealed', defaultValue: '5000' },
  { flag: '--routing-policy <name>', description: `one of ${routingPolicyNames.join(', ')}`, defaultValue: 'least-own-work' },
  { flag: '--entry-host-count <count>', description: 'number of entry hosts listed to a client account', defaultValue: '3' },
  { flag: '--keep-seconds <seconds>', description: 'time for which callers may cache the list of entry hosts', defaultValue: '30' },
  { flag: '--seed <number>', description: 'seed of the router\'s random choices' }
]

/**
 * Reads the settings from flags and environment variables; flags take precedence. Throws SettingsError for a missing or
 * invalid value, and CommanderError for an unknown flag and for `--help`.
 */
export function readSettings (argv: string[], environment: NodeJS.ProcessEnv): Settings {
  const program = buildProgram(environment)
  program.exitOverride()
  program.parse(argv, { from: 'user' })
  return validateSettings(program.opts())
}

/** Validates settings given by name and adds the defaults. Throws SettingsError for the first missing or invalid value. */
export function validateSettings (values: Record<string, unknown>): Settings {
  const parsed = settingsSchema.safeParse({ ...defaultValues(), ...values })
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  const name = String(issue.path[0] ?? '')
  const isMissing = values[name] === undefined
  throw new SettingsError(`setting ${flagName(name)} (${environmentName(name)}) ${isMissing ? 'is missing' : `is invalid: ${issue.message}`}`)
}

function buildProgram (environment: NodeJS.ProcessEnv): commander.Command {
  const program = new commander.Command('acaciaweir-router')
    .description('Routes requests of client accounts to targets within prepaid budgets')
  for (const definition of settingDefinitions) {
    const option = new commander.Option(definition.flag, definition.description).env(environmentName(settingName(definition)))
    if (definition.defaultValue !== undefined) option.default(definition.defaultValue)
    const fromEnvironment = environment[environmentName(settingName(definition))]
    if (fromEnvironment !== undefined) option.default(fromEnvironment)
    program.addOption(option)
  }
  return program
}

function defaultValues (): Record<string, string> {
  const values: Record<string, string> = {}
  for (const definition of settingDefinitions) {
    if (definition.defaultValue !== undefined) values[settingName(definition)] = definition.defaultValue
  }
  return values
}

function settingName (definition: SettingDefinition): string {
  return new commander.Option(definition.flag).attributeName()
}

function flagName (name: string): string {
  return '--' + toKebabCase(name)
}

function environmentName (name: string): string {
  return 'ACACIAWEIR_' + toKebabCase(name).replaceAll('-', '_').toUpperCase()
}

function toKebabCase (name: string): string {
  return name.replace(/[A-Z]/g, (letter) => '-' + letter.toLowerCase())
}
