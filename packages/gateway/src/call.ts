import type * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import type * as runtime from '@acaciaweir/runtime'
import type * as api from '@opentelemetry/api'
import type * as http from 'node:http'
import type * as callerConnections from './caller-connections.js'

export type AbortReason = 'caller' | 'deadline' | 'stop'

/** Why a call is not sent to another target after a send that failed. */
export type NoRetryReason = 'connection-lost-under-part' | 'not-repeatable' | 'all-attempts-used' | 'not-resumable' | 'held-part' | 'gateway-leaving' | 'no-target' | 'retry-budget-used'

/** State of one admitted request from its arrival to its final answer. Times are clock milliseconds. */
export interface Call {
  message: http.IncomingMessage
  response: http.ServerResponse
  heldAnswer: callerConnections.HeldAnswer
  request: adapter.callerRequest.CallerRequest
  route: decisions.agreementTypes.Route
  service: string
  account: decisions.agreementTypes.Account | undefined
  /** Rank of the account, or of the route where the request has no account. */
  rank: number
  body: runtime.byteBlocks.ByteBlocks
  agreementVersion: number
  arrival: Arrival
  /** Time by which the gateway must send the final answer. */
  deadlineAt: number
  /** Aborted when the caller disconnects, the deadline passes, or the gateway stops. */
  abortController: AbortController
  abortReason: AbortReason | undefined
  /** Finished sends of the request to targets, in order. */
  sends: SendRecord[]
  /** Why the call was last not sent to another target, for the log. */
  noRetryReason?: NoRetryReason
  /** Ids of the prompt parts that other requests may share, in order. */
  sharedParts: readonly string[]
  /** Evidence for which the call was refused, because targets crash under one of its prompt parts. */
  heldPart?: decisions.promptPartBoard.HeldPart
  /** Inputs of the budget decision, for the log. Set only where the budget refused the call. */
  budget?: Record<string, unknown>
  /** What the last verdict on the service's room rests on, for the log. Set only where the call had to wait or was refused. */
  room?: decisions.serviceRoom.RoomGrounds & { isRefused: boolean }
  /** Limit that the target named in the answer to the send in progress, in requests a second. */
  limitPerSecond?: number
  /** Time until a target takes the call again, in milliseconds, where all that could take it are at their limits or want no requests. */
  permitWaitMs?: number
  /** All targets that could take the call want no requests from this gateway. */
  areTargetsResting?: boolean
  /** Evacuated zones that hold all targets of the service; empty if some target is elsewhere. */
  evacuatedZones?: string[]
  /** Events of the target's stream that were forwarded to the caller. */
  events: number
  /** Id of the last event that reached the caller, after which a target resumes the stream. Starts at the id that the caller sent. */
  lastEventId: string | undefined
  firstEventAt: number | undefined
  span: api.Span
}

/** Where a request came from and when. */
export interface Arrival {
  /** Clock time at which the head of the request was read, in milliseconds. */
  at: number
  /** IP address of the caller; undefined if the connection is closed. */
  caller: string | undefined
  /** Position of the request among those of its connection, from 1. */
  requestOnConnection: number
  /** Longest time for which the request can have waited to be read, in milliseconds. */
  readDelayMs: number
  /** Time from the read until the request was started, in milliseconds. */
  queuedMs: number
}

/** Log record of sending a request to one target. */
export interface SendRecord {
  target: string
  /** Id of the target from whose cache the shared prompt parts were copied. */
  copyFrom?: string
  /** Status code of the answer, or the kind of failure. */
  result: string
  /** Cause of the failure. */
  reason?: string
  /** Requests a second that the target named in its answer as the most that it takes. */
  limitPerSecond?: number
  milliseconds: number
}

/** The gateway's own answer to a request that it does not serve. */
export interface Refusal {
  status: number
  /** Sent to the caller as the problem's title, and logged. */
  reason: string
  /** Delay before the caller may retry, in milliseconds. */
  retryAfterMs?: number
}
