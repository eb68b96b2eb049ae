import type * as standIns from '@acaciaweir/stand-ins'
import type * as callers from './soak-callers.js'
import type * as soakFaults from './soak-faults.js'

/** A guarantee that the gateways broke, with the evidence. */
export interface Breach {
  /** Name of the guarantee. */
  promise: string
  detail: string
}

/** Statuses which state that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Time until a limit must hold, and the windows in which requests are counted, in milliseconds. */
const LIMIT_HOLDS_AFTER_MS = 3000
const LIMIT_WINDOW_MS = 4000

/** Excess over the limit that is allowed in a window. */
const LIMIT_ALLOWED_FACTOR = 1.5
const LIMIT_ALLOWED_REQUESTS = 5

/** Targets that may end under a prompt part until the gateways must hold it back, and the time that they have for it, in milliseconds. */
const KNOWN_AFTER_CRASHES = 5
const HOLD_BACK_TIME_MS = 3000

/** Requests with the part that may still reach targets after that. */
const MAXIMUM_LATE_REQUESTS = 3

/** Checks a run by what callers and targets observed, and returns the broken guarantees. */
export function findBreaches (requests: readonly callers.SoakRequest[], platform: standIns.platformStandIn.PlatformStandIn): Breach[] {
  const runs = new Map<string, standIns.targetServer.TargetRun[]>()
  for (const run of platform.runs()) runs.set(run.attemptId, [...runs.get(run.attemptId) ?? [], run])
  const breaches: Breach[] = []
  for (const account of platform.accounts) {
    const served = platform.servedTokens(account.name)
    if (served > account.prepaidTokens) breaches.push({ promise: 'spending within prepaid budget', detail: `${account.name} was served ${served} tokens, ${account.prepaidTokens} are prepaid` })
  }
  breaches.push(...findCrashingPartBreaches(platform))
  for (const request of requests) breaches.push(...findRequestBreaches(request, runs.get(request.attemptId) ?? []))
  for (const run of platform.runs()) {
    if (run.wasKeyForwarded) breaches.push({ promise: 'API keys are not forwarded', detail: run.attemptId })
  }
  return breaches
}

function findRequestBreaches (request: callers.SoakRequest, runs: readonly standIns.targetServer.TargetRun[]): Breach[] {
  const { answer, attemptId } = request
  const breaches: Breach[] = []
  const addBreach = (promise: string, detail: string): void => { breaches.push({ promise, detail: `${attemptId} ${request.path} at ${request.host}: ${detail}` }) }
  if (!request.repeatable && runs.length > 1) addBreach('at most once', `ran ${runs.length} times`)
  if (!request.repeatable && NOT_RUN_STATUSES.has(answer.status) && runs.length > 0) addBreach('a "not run" status is accurate', `answered ${answer.status} although it ran`)
  if (answer.status === 200 && answer.isWhole && !isWholeOwnAnswer(request)) addBreach('whole answer to the own request', answer.body.slice(0, 120))
  if (answer.status === 200 && runs.length === 0) addBreach('whole answer to the own request', 'answered 200 although no target ran it')
  if (answer.status === 401 || answer.status === 404) addBreach('configuration in force', `answered ${answer.status} although route and key were never removed`)
  return breaches
}

/** Checks that all hosts together kept to the limits that targets named. */
export function findLimitBreaches (limits: readonly soakFaults.NamedLimit[]): Breach[] {
  const breaches: Breach[] = []
  for (const { target, perSecond, from, until } of limits) {
    const counted = target.arrivals.filter((at) => at > from + LIMIT_HOLDS_AFTER_MS && at < until)
    const most = Math.max(0, ...counted.map((start) => counted.filter((at) => at >= start && at < start + LIMIT_WINDOW_MS).length))
    const allowed = LIMIT_ALLOWED_FACTOR * perSecond * LIMIT_WINDOW_MS / 1000 + LIMIT_ALLOWED_REQUESTS
    if (most > allowed) breaches.push({ promise: 'limits of targets', detail: `${target.options.id} got ${most} requests in a window, ${allowed} are allowed at ${perSecond} a second` })
  }
  return breaches
}

/** A crashing part is the first one of its requests, and begins with `bad`. */
function findCrashingPartBreaches (platform: standIns.platformStandIn.PlatformStandIn): Breach[] {
  const times = new Map<string, number[]>()
  for (const { parts, startedAt } of platform.runs()) {
    if (parts[0]?.startsWith('bad')) times.set(parts[0], [...times.get(parts[0]) ?? [], startedAt].sort((left, right) => left - right))
  }
  const breaches: Breach[] = []
  for (const [part, startedAt] of times) {
    const late = startedAt.filter((at) => at > (startedAt[KNOWN_AFTER_CRASHES - 1] ?? Infinity) + HOLD_BACK_TIME_MS)
    if (late.length > MAXIMUM_LATE_REQUESTS) breaches.push({ promise: 'crashing prompt parts are held back', detail: `${part} was sent ${late.length} times after the bound, ${startedAt.length} in all` })
  }
  return breaches
}

/** True if the body is the whole answer of a stand-in target to this request and to no other. */
function isWholeOwnAnswer (request: callers.SoakRequest): boolean {
  const { body } = request.answer
  if (!request.streamed) return body.includes(`ran ${request.path} with`)
  const events = body.split('\n\n').filter((event) => event !== '')
  return events.length === 6 && events.every((event, index) => event === `id: ${index + 1}\ndata: piece ${index + 1} of ${request.attemptId}`)
}
