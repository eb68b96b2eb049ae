import * as decisions from '@acaciaweir/decisions'
import * as zod from 'zod'

const count = zod.int().min(0)
const share = zod.number().min(0).max(1)

/** Limits that a trace may state for its outcomes. Each is a maximum, except those whose name starts with `least`. */
export const outcomesSchema = zod.strictObject({
  overspendTokens: count.default(0),
  billedTwice: count.default(0),
  unbilled: count.default(0),
  wrongBills: count.default(0),
  ranTwice: count.default(0),
  notRunButRan: count.default(0),
  wrongAnswers: count.default(0),
  cutAsWhole: count.default(0),
  newWorkAfterLeaving: count.default(0),
  configurationReverts: count.default(0),
  /** Engines that crashed under the crash text. */
  engineCrashes: count.default(0),
  /** Largest share of requests refused although budget and capacity were available. */
  falseRefusalShare: share.default(0),
  /** Largest share of requests that ended with neither a whole answer nor a refusal that states that they did not run. */
  unfinishedShare: share.default(0),
  /** Largest share of at-most-once requests that ended with an unknown outcome. */
  unknownShare: share.default(1),
  /** Smallest share of the budget's total that targets must have served by the end of the trace. */
  leastUsableBudgetShare: share.default(0),
  /** Longest time until a configuration change is in force on every reachable router. */
  configurationMs: count.default(15_000)
})

const deploymentSchema = zod.strictObject({
  availabilityZones: zod.array(zod.string()).min(1),
  routers: zod.int().min(1),
  engines: zod.int().min(0),
  services: zod.int().min(0),
  accounts: zod.int().min(1),
  totalTokens: count,
  capTokens: count,
  slots: zod.int().min(1).default(32),
  firstTokenMs: count.default(20),
  tokenIntervalMs: count.default(5),
  /** Number of unused budgets in addition to the shared one. */
  extraBudgets: count.default(0),
  routerSettings: zod.record(zod.string(), zod.union([zod.string(), zod.number()])).default({})
})

const headerSchema = zod.strictObject({
  trace: zod.string(),
  deployment: deploymentSchema,
  outcomes: outcomesSchema,
  /** Wait for settlement and log recovery between the last answer and the verdict. */
  settleMs: count.default(8000),
  /** Longest time that a caller retries a request. */
  callerPatienceMs: count.default(45_000)
})

const at = count
const routers = zod.array(count)

const eventSchema = zod.discriminatedUnion('kind', [
  zod.strictObject({
    kind: zod.literal('load'),
    at,
    untilMs: count,
    perSecond: zod.number().min(0),
    maximumOutputTokens: zod.int().min(1).default(40),
    /** Share of calls to plain services. Half of these run at most once. */
    serviceShare: share.default(0.2),
    /** Share of requests sent by the first client account. The rest is spread evenly over all accounts. */
    largeAccountShare: share.default(0.4),
    /** Message that precedes the own one of each model request. */
    sharedMessage: zod.string().optional()
  }),
  zod.strictObject({ kind: zod.literal('request'), at, account: count, call: zod.enum(['model', 'service', 'service-once']), maximumOutputTokens: zod.int().min(1).default(40), callerGoneMs: count.optional(), sharedMessage: zod.string().optional() }),
  zod.strictObject({ kind: zod.literal('kill'), at, routers }),
  zod.strictObject({ kind: zod.literal('start'), at, routers }),
  zod.strictObject({ kind: zod.literal('shut-down'), at, routers }),
  zod.strictObject({ kind: zod.literal('roll'), at, pauseMs: count }),
  zod.strictObject({ kind: zod.literal('freeze'), at, routers }),
  zod.strictObject({ kind: zod.literal('thaw'), at, routers }),
  zod.strictObject({ kind: zod.literal('cut'), at, from: routers, to: routers }),
  zod.strictObject({ kind: zod.literal('heal'), at }),
  zod.strictObject({ kind: zod.literal('cut-platform'), at, routers }),
  zod.strictObject({ kind: zod.literal('heal-platform'), at, routers }),
  zod.strictObject({ kind: zod.literal('silence-platform'), at, routers }),
  zod.strictObject({ kind: zod.literal('platform'), at, delayMs: count.optional(), down: zod.boolean().optional(), lostAnswerShare: share.optional(), watchGap: zod.boolean().optional(), hostListLagMs: count.optional() }),
  zod.strictObject({ kind: zod.literal('silence-target'), at, target: zod.string() }),
  zod.strictObject({ kind: zod.literal('kill-target'), at, target: zod.string() }),
  zod.strictObject({ kind: zod.literal('start-target'), at, target: zod.string() }),
  zod.strictObject({ kind: zod.literal('target'), at, target: zod.string(), dropAnswers: zod.boolean().optional(), tokenIntervalMs: count.optional(), firstTokenMs: count.optional() }),
  zod.strictObject({ kind: zod.literal('crash-text'), at, text: zod.string() }),
  zod.strictObject({ kind: zod.literal('target-leaves'), at, target: zod.string(), told: zod.enum(['target', 'host-list', 'manifest']) }),
  zod.strictObject({ kind: zod.literal('top-up'), at, tokens: count }),
  zod.strictObject({ kind: zod.literal('race'), at, operators: zod.int().min(2) })
])

export type TraceHeader = zod.infer<typeof headerSchema>
export type TraceEvent = zod.infer<typeof eventSchema>
export type Outcomes = zod.infer<typeof outcomesSchema>
export type RequestEvent = Extract<TraceEvent, { kind: 'request' }>

/** Requests and faults in order of time, with the deployment to run and the outcomes to reach. */
export interface Trace {
  header: TraceHeader
  events: TraceEvent[]
}

/** Thrown for a malformed trace; the message names the line. */
export class TraceError extends Error {}

/** Parses a trace in JSON lines: the header, then one event per line. Sorts the events by time. Throws TraceError for the first bad line. */
export function parseTrace (text: string): Trace {
  const lines = text.split('\n').filter((line) => line.trim() !== '')
  if (lines.length === 0) throw new TraceError('line 1: the trace is empty')
  const header = parseLine(headerSchema, lines[0], 1)
  const events = lines.slice(1).map((line, index) => parseLine(eventSchema, line, index + 2))
  return { header, events: events.sort((left, right) => left.at - right.at) }
}

/** Replaces each load event by requests drawn from a random source with the given seed. */
export function expandLoad (trace: Trace, seed: number): TraceEvent[] {
  const random = new decisions.random.SeededRandom(seed)
  const events = trace.events.flatMap((event) => event.kind === 'load' ? generateRequests(event, trace.header.deployment, random) : [event])
  return events.sort((left, right) => left.at - right.at)
}

function generateRequests (load: Extract<TraceEvent, { kind: 'load' }>, deployment: TraceHeader['deployment'], random: decisions.random.RandomSource): RequestEvent[] {
  const total = Math.floor((load.untilMs - load.at) / 1000 * load.perSecond)
  const isDrawn = (probability: number): boolean => random.integer(10_000) < probability * 10_000
  const requests: RequestEvent[] = []
  for (let index = 0; index < total; index += 1) {
    const isServiceCall = deployment.services > 0 && (deployment.engines === 0 || isDrawn(load.serviceShare))
    requests.push({
      kind: 'request',
      at: load.at + Math.floor((index + random.integer(1000) / 1000) * (load.untilMs - load.at) / total),
      account: isDrawn(load.largeAccountShare) ? 0 : random.integer(deployment.accounts),
      call: !isServiceCall ? 'model' : isDrawn(0.5) ? 'service-once' : 'service',
      maximumOutputTokens: Math.max(1, Math.floor(load.maximumOutputTokens * (25 + random.integer(76)) / 100)),
      sharedMessage: load.sharedMessage
    })
  }
  return requests
}

function parseLine<Schema extends zod.ZodType> (schema: Schema, line: string, number: number): zod.infer<Schema> {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch (error) {
    throw new TraceError(`line ${number}: ${(error as Error).message}`)
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return parsed.data
  const issues = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
  throw new TraceError(`line ${number}: ${issues.join('; ')}`)
}
