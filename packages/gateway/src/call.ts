import type * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import type * as api from '@opentelemetry/api'
import type * as http from 'node:http'

/** A caller's request on its way through the gateway. */
export interface Call {
  message: http.IncomingMessage
  response: http.ServerResponse
  request: adapter.callerRequest.CallerRequest
  route: decisions.agreementTypes.Route
  service: string
  account: decisions.agreementTypes.Account | undefined
  rank: number
  body: Buffer
  agreementVersion: number
  arrivedAt: number
  /** Time by which the request must have its final answer. */
  deadlineAt: number
  /** Aborted when the caller has left or the deadline has passed. */
  ended: AbortController
  /** Why `ended` was aborted. */
  endedBy: 'caller' | 'deadline' | undefined
  /** Targets to which the request was sent, with how each send ended. */
  sends: SendRecord[]
  /** What the budget's decision rested on, where it refused the call. */
  budget?: Record<string, unknown>
  /** Events of a stream that were passed on. */
  events: number
  lastEventId: string | undefined
  firstEventAt: number | undefined
  span: api.Span
}

/** One send of a request to a target. */
export interface SendRecord {
  target: string
  /** Target whose cache the prompt's shared parts were copied from. */
  copyFrom?: string
  result: string
  /** Why there is no answer. */
  reason?: string
  milliseconds: number
}

/** Why a request ends without a target's answer. */
export interface Refusal {
  status: number
  reason: string
  /** Time after which the caller may come back, in milliseconds. */
  retryAfterMs?: number
}
