import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as zod from 'zod'

const listenAddress = zod.string().regex(/^[0-9A-Za-z.:[\]-]+:\d+$/, 'must be ADDRESS:PORT')
const share = zod.coerce.number().min(0).max(1)
const milliseconds = zod.coerce.number().int().min(1)

/** Names of the routing policies. */
export const routingPolicyNames = ['round-robin', 'least-own-work', 'two-choices', 'prefix-affinity'] as const

const settingsSchema = zod.strictObject({
  host: zod.string().min(1),
  availabilityZone: zod.string().min(1),
  platformAddress: zod.string().refine(adapter.keyedStoreFactory.isStoreUrl, 'it must be http://HOST:PORT'),
  platformTimeoutMs: milliseconds,
  callerListen: listenAddress,
  callerAddress: zod.string().optional(),
  peerListen: listenAddress,
  peerAddress: zod.string().optional(),
  metricsListen: listenAddress,
  logLevel: zod.enum(runtime.logging.logLevels),
  traceFile: zod.string().optional(),
  otlpEndpoint: zod.url().optional(),
  traceSampledShare: share,
  journalIntervalMs: milliseconds,
  witnessCount: zod.coerce.number().int().min(0).max(5),
  allotmentHorizonSeconds: zod.coerce.number().min(0),
  allotmentShare: share,
  allotmentMinimumTokens: zod.coerce.number().int().min(1),
  unjournaledShare: share,
  budgetWaitMs: zod.coerce.number().int().min(0),
  recoveryWaitMs: zod.coerce.number().int().min(0),
  durabilityWaitMs: milliseconds,
  billJournalWaitMs: zod.coerce.number().int().min(0),
  requestTimeoutMs: milliseconds,
  resumeGraceMs: zod.coerce.number().int().min(0),
  heartbeatIntervalMs: milliseconds,
  suspectAfterMs: milliseconds,
  deadAfterMs: milliseconds,
  routingPolicy: zod.enum(routingPolicyNames),
  entryHostCount: zod.coerce.number().int().min(1),
  keepSeconds: zod.coerce.number().int().min(1),
  seed: zod.coerce.number().int().optional()
})

/** Checked settings of a router. */
export type Settings = zod.infer<typeof settingsSchema>

/** A setting is missing or bad. */
export class SettingsError extends Error {}

interface SettingDefinition {
  flag: string
  description: string
  fallback?: string
}

const definitions: SettingDefinition[] = [
  { flag: '--host <name>', description: 'name of this entry host' },
  { flag: '--availability-zone <name>', description: 'availability zone of this host' },
  { flag: '--platform-address <url>', description: 'address of the platform\'s object API' },
  { flag: '--platform-timeout-ms <milliseconds>', description: 'longest wait for one platform call', fallback: '1000' },
  { flag: '--caller-listen <address:port>', description: 'where callers connect', fallback: '0.0.0.0:8080' },
  { flag: '--caller-address <url>', description: 'address told to callers; made from --caller-listen where not set' },
  { flag: '--peer-listen <address:port>', description: 'where other routers connect', fallback: '0.0.0.0:8081' },
  { flag: '--peer-address <address:port>', description: 'address told to other routers; --peer-listen where not set' },
  { flag: '--metrics-listen <address:port>', description: 'where metrics are read', fallback: '0.0.0.0:8082' },
  { flag: '--log-level <level>', description: 'least severe level logged', fallback: 'info' },
  { flag: '--trace-file <path>', description: 'file to which spans are written, one a line' },
  { flag: '--otlp-endpoint <url>', description: 'OpenTelemetry collector to which spans are sent' },
  { flag: '--trace-sampled-share <share>', description: 'share of traces kept, 0 to 1', fallback: '1' },
  { flag: '--journal-interval-ms <milliseconds>', description: 'time between journal writes', fallback: '200' },
  { flag: '--witness-count <count>', description: 'routers that hold copies of this router\'s records', fallback: '3' },
  { flag: '--allotment-horizon-seconds <seconds>', description: 'time of drawing that an allotment covers without the platform', fallback: '120' },
  { flag: '--allotment-share <share>', description: 'largest share of a budget\'s rest that one grant takes', fallback: '0.1' },
  { flag: '--allotment-minimum-tokens <tokens>', description: 'smallest grant drawn ahead', fallback: '2000' },
  { flag: '--unjournaled-share <share>', description: 'share of the free allotment that may be spent beyond the last journal write; all of it is lost to the budget where this router and its witnesses die together', fallback: '0.5' },
  { flag: '--budget-wait-ms <milliseconds>', description: 'longest wait for tokens before a refusal', fallback: '2000' },
  { flag: '--recovery-wait-ms <milliseconds>', description: 'longest wait for tokens while a router that holds some of the budget does not answer', fallback: '12000' },
  { flag: '--durability-wait-ms <milliseconds>', description: 'longest wait for a durable record before a refusal', fallback: '1500' },
  { flag: '--bill-journal-wait-ms <milliseconds>', description: 'longest wait for a bill to reach the journal before copies at other routers are enough', fallback: '1000' },
  { flag: '--request-timeout-ms <milliseconds>', description: 'longest time for one request', fallback: '120000' },
  { flag: '--resume-grace-ms <milliseconds>', description: 'time a stream runs on after its caller has gone', fallback: '2000' },
  { flag: '--heartbeat-interval-ms <milliseconds>', description: 'time between heartbeats to other routers', fallback: '1000' },
  { flag: '--suspect-after-ms <milliseconds>', description: 'silence after which a router gets no new work', fallback: '3000' },
  { flag: '--dead-after-ms <milliseconds>', description: 'silence after which a router\'s journal is sealed', fallback: '5000' },
  { flag: '--routing-policy <name>', description: `one of ${routingPolicyNames.join(', ')}`, fallback: 'least-own-work' },
  { flag: '--entry-host-count <count>', description: 'entry hosts told to one client account', fallback: '3' },
  { flag: '--keep-seconds <seconds>', description: 'how long callers may keep the list of entry hosts', fallback: '30' },
  { flag: '--seed <number>', description: 'seed of the router\'s random choices' }
]

/** Reads the settings from flags and environment variables; flags go first. Throws SettingsError. */
export function readSettings (argv: string[], environment: NodeJS.ProcessEnv): Settings {
  const program = buildProgram(environment)
  program.exitOverride()
  program.parse(argv, { from: 'user' })
  return checkSettings(program.opts())
}

/** Checks settings given as values. Throws SettingsError. */
export function checkSettings (values: Record<string, unknown>): Settings {
  const parsed = settingsSchema.safeParse({ ...defaultValues(), ...values })
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  const name = String(issue.path[0] ?? '')
  const missing = values[name] === undefined
  throw new SettingsError(`setting ${flagName(name)} (${environmentName(name)}) ${missing ? 'is missing' : `is bad: ${issue.message}`}`)
}

function buildProgram (environment: NodeJS.ProcessEnv): commander.Command {
  const program = new commander.Command('acaciaweir-router')
    .description('Routes requests of client accounts to targets within prepaid budgets')
  for (const definition of definitions) {
    const option = new commander.Option(definition.flag, definition.description).env(environmentName(optionKey(definition)))
    if (definition.fallback !== undefined) option.default(definition.fallback)
    const fromEnvironment = environment[environmentName(optionKey(definition))]
    if (fromEnvironment !== undefined) option.default(fromEnvironment)
    program.addOption(option)
  }
  return program
}

function defaultValues (): Record<string, string> {
  const values: Record<string, string> = {}
  for (const definition of definitions) {
    if (definition.fallback !== undefined) values[optionKey(definition)] = definition.fallback
  }
  return values
}

function optionKey (definition: SettingDefinition): string {
  return new commander.Option(definition.flag).attributeName()
}

function flagName (key: string): string {
  return '--' + kebab(key)
}

function environmentName (key: string): string {
  return 'ACACIAWEIR_' + kebab(key).replaceAll('-', '_').toUpperCase()
}

function kebab (key: string): string {
  return key.replace(/[A-Z]/g, (letter) => '-' + letter.toLowerCase())
}
