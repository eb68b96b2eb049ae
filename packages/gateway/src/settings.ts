import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as zod from 'zod'

const settingsSchema = zod.strictObject({
  settingsFile: zod.string().min(1),
  logLevel: zod.enum(runtime.logging.logLevels),
  metricsPort: zod.coerce.number().int().min(0).max(65535),
  traceFile: zod.string().optional(),
  otlpEndpoint: zod.url().optional(),
  traceSampledShare: zod.coerce.number().min(0).max(1),
  seed: zod.coerce.number().int().optional()
})

/** Validated flags and environment variables of a gateway. The platform's settings file holds its addresses and limits. */
export type GatewaySettings = zod.infer<typeof settingsSchema>

/** A setting is missing or invalid. */
export class SettingsError extends Error {}

const options = [
  new commander.Option('--settings-file <path>', 'settings file of the platform').env('ACACIAWEIR_NODE_FILE'),
  new commander.Option('--log-level <level>', 'least severe level logged').default('info').env('ACACIAWEIR_LOG_LEVEL'),
  new commander.Option('--metrics-port <port>', 'port at which metrics are read').default('9464').env('ACACIAWEIR_METRICS_PORT'),
  new commander.Option('--trace-file <path>', 'file to which spans are written, one a line').env('ACACIAWEIR_TRACE_FILE'),
  new commander.Option('--otlp-endpoint <url>', 'OpenTelemetry collector to which spans are sent').env('ACACIAWEIR_OTLP_ENDPOINT'),
  new commander.Option('--trace-sampled-share <share>', 'share of traces kept, 0 to 1').default('1').env('ACACIAWEIR_TRACE_SAMPLED_SHARE'),
  new commander.Option('--seed <number>', 'seed of the gateway\'s random choices').env('ACACIAWEIR_SEED')
]

/**
 * Reads the settings from flags and environment variables; flags take precedence. Throws SettingsError for a missing or invalid value,
 * and CommanderError for an unknown flag and for `--help`.
 */
export function readSettings (argv: string[]): GatewaySettings {
  const program = new commander.Command('acaciaweir-gateway').description('Serves callers on the platform')
  for (const option of options) program.addOption(option)
  program.exitOverride()
  program.parse(argv, { from: 'user' })
  const parsed = settingsSchema.safeParse(program.opts())
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new SettingsError(`setting ${issue.path.join('.')}: ${issue.message}`)
}
