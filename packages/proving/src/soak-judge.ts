import type * as standIns from '@acaciaweir/stand-ins'
import type * as callers from './soak-callers.js'

/** A promise that a run broke, with what shows it. */
export interface Breach {
  promise: string
  detail: string
}

/** Statuses that say that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503])

/** Judges a run by what callers and targets saw. */
export function judge (requests: readonly callers.SoakRequest[], platform: standIns.publishedPlatform.PublishedPlatform): Breach[] {
  const runs = new Map<string, standIns.publishedTarget.PublishedRun[]>()
  for (const run of platform.runs()) runs.set(run.attemptId, [...runs.get(run.attemptId) ?? [], run])
  const breaches: Breach[] = []
  for (const account of platform.accounts) {
    const served = platform.served(account.name)
    if (served > account.prepaid) breaches.push({ promise: 'spend within budget', detail: `${account.name} got ${served} of ${account.prepaid} tokens` })
  }
  for (const request of requests) breaches.push(...judgeRequest(request, runs.get(request.attemptId) ?? []))
  for (const run of platform.runs()) {
    if (run.keyPassedOn) breaches.push({ promise: 'keys stay here', detail: run.attemptId })
  }
  return breaches
}

function judgeRequest (request: callers.SoakRequest, runs: readonly standIns.publishedTarget.PublishedRun[]): Breach[] {
  const { answer, attemptId } = request
  const breaches: Breach[] = []
  const breach = (promise: string, detail: string): void => { breaches.push({ promise, detail: `${attemptId} ${request.path} at ${request.host}: ${detail}` }) }
  if (!request.repeatable && runs.length > 1) breach('at most once', `ran ${runs.length} times`)
  if (!request.repeatable && NOT_RUN.has(answer.status) && runs.length > 0) breach('"not run" is true', `answered ${answer.status} after a run`)
  if (answer.status === 200 && answer.whole && !isOwnAnswer(request)) breach('whole answer, only one\'s own', answer.body.slice(0, 120))
  if (answer.status === 200 && runs.length === 0) breach('whole answer, only one\'s own', 'no target ran it')
  if (answer.status === 401 || answer.status === 404) breach('configuration in force', `answered ${answer.status} though route and key were never taken away`)
  return breaches
}

/** Whether a body is the whole answer to its own request. */
function isOwnAnswer (request: callers.SoakRequest): boolean {
  const { body } = request.answer
  if (!request.streamed) return body.includes(`ran ${request.path} with`)
  const events = body.split('\n\n').filter((event) => event !== '')
  return events.length === 6 && events.every((event, index) => event === `id: ${index + 1}\ndata: piece ${index + 1} of ${request.attemptId}`)
}
