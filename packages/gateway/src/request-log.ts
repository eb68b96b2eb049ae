import type * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as http from 'node:http'
import type * as calls from './call.js'
import * as logs from './decision-log.js'
import type * as metrics from './gateway-metrics.js'

/** Outcomes of requests whose caller got no whole answer, although a target may have run them. */
const LOST_ANSWER_OUTCOMES = new Set(['broken-off', 'answer-lost', 'timed-out'])

export interface RequestLogOptions {
  clock: decisions.clock.Clock
  decisionLog: logs.DecisionLog
  metrics: metrics.GatewayMetrics
  /** Time since the agreement was last confirmed, in milliseconds. */
  agreementAgeMs: () => number
}

/** Logs and counts how requests end. */
export class RequestLog {
  readonly #options: RequestLogOptions

  constructor (options: RequestLogOptions) {
    this.#options = options
  }

  recordRefusal (message: http.IncomingMessage, refusal: calls.Refusal, arrival: calls.Arrival, agreementVersion: number | undefined): void {
    this.#options.metrics.observeRequest('none', `refused-${refusal.status}`, 0)
    this.#options.decisionLog.write({
      event: 'request-refused',
      request: adapter.callerRequest.attemptIdForLog(message),
      status: refusal.status,
      reason: refusal.reason,
      agreementVersion,
      agreementAgeMs: Math.round(this.#options.agreementAgeMs()),
      ...arrivalForLog(arrival),
      totalMs: Math.round(this.#options.clock.now() - arrival.at)
    })
  }

  /** Records a request whose caller left before it was started. */
  recordUnstarted (message: http.IncomingMessage, arrival: calls.Arrival): void {
    this.#options.metrics.observeRequest('none', 'caller-left', 0)
    this.#options.decisionLog.write({
      event: 'request-dropped',
      request: adapter.callerRequest.attemptIdForLog(message),
      reason: 'the caller left',
      ...arrivalForLog(arrival),
      totalMs: Math.round(this.#options.clock.now() - arrival.at)
    })
  }

  /** Records how an admitted request ended. */
  recordOutcome (call: calls.Call, outcome: string): void {
    const totalMs = this.#options.clock.now() - call.arrival.at
    this.#options.metrics.observeRequest(call.route.name, outcome, totalMs / 1000)
    this.#options.decisionLog.write({
      event: 'request-ended',
      request: call.request.attemptId,
      outcome,
      status: call.response.headersSent ? call.response.statusCode : undefined,
      route: call.route.name,
      service: call.service,
      account: call.account?.name,
      agreementVersion: call.agreementVersion,
      agreementAgeMs: Math.round(this.#options.agreementAgeMs()),
      promptTokens: call.request.promptTokens,
      outputTokens: call.request.maximumOutputTokens,
      promptParts: sharedPartsForLog(call),
      heldPart: call.heldPart,
      permitWaitMs: call.permitWaitMs === undefined ? undefined : Math.round(call.permitWaitMs),
      evacuatedZones: call.evacuatedZones?.length === 0 ? undefined : call.evacuatedZones,
      budget: call.budget,
      room: call.room,
      waitsMs: call.request.remainingMs,
      ...arrivalForLog(call.arrival),
      sends: call.sends,
      noRetryReason: outcome === 'answered' ? undefined : call.noRetryReason,
      abortReason: call.abortReason,
      events: call.events,
      firstEventMs: call.firstEventAt === undefined ? undefined : Math.round(call.firstEventAt - call.arrival.at),
      totalMs: Math.round(totalMs)
    }, LOST_ANSWER_OUTCOMES.has(outcome) ? logs.LineKind.lostAnswer : logs.LineKind.ordinary)
  }
}

function arrivalForLog ({ caller, requestOnConnection, readDelayMs, queuedMs }: calls.Arrival): Record<string, unknown> {
  return { caller, requestOnConnection, readDelayMs: Math.round(readDelayMs), queuedMs: Math.round(queuedMs) }
}

/** Returns the ids of the prompt parts that other requests may share, if a target may have ended under them. Undefined otherwise, to bound the log. */
function sharedPartsForLog (call: calls.Call): readonly string[] | undefined {
  const hasLostSend = call.sends.some((send) => send.result === 'lost' || send.result === 'cut')
  return hasLostSend ? call.sharedParts : undefined
}
