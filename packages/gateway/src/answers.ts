import type * as http from 'node:http'
import type * as calls from './call.js'

/** Largest retry-after delay, as a share of the time that remains until the caller's deadline. */
const MAXIMUM_RETRY_AFTER_SHARE = 0.33

/** Retry-after delay of requests that a leaving gateway does not take, in milliseconds. Other gateways take them at once. */
const LEAVING_RETRY_AFTER_MS = 50

/** Refusal of a request that could outlast a leaving gateway. */
export const LEAVING_REFUSAL: calls.Refusal = { status: 503, reason: 'the gateway is leaving', retryAfterMs: LEAVING_RETRY_AFTER_MS }

/**
 * Answers a call with the gateway's own refusal, as problem+json. Does nothing once the response has started or its connection is
 * closed. `remainingMs` is the time until the caller's deadline and bounds the retry-after delay.
 */
export function sendRefusal (response: http.ServerResponse, refusal: calls.Refusal, remainingMs: number = Infinity): void {
  if (response.headersSent || response.destroyed) return
  const body = JSON.stringify({ title: refusal.reason })
  const headers: http.OutgoingHttpHeaders = { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body) }
  if (refusal.retryAfterMs !== undefined) {
    const waitMs = Math.max(0, Math.min(refusal.retryAfterMs, remainingMs * MAXIMUM_RETRY_AFTER_SHARE))
    headers['retry-after'] = (waitMs / 1000).toFixed(3)
  }
  response.writeHead(refusal.status, headers)
  response.end(body)
}

/** A complete answer of a target, held back until the gateway knows whether it forwards it. */
export interface BufferedAnswer {
  status: number
  headers: http.OutgoingHttpHeaders
  body: Buffer
}

/** Sends a target's answer to the caller. Does nothing once the response has started or its connection is closed. */
export function forwardAnswer (response: http.ServerResponse, answer: BufferedAnswer): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(answer.status, { ...answer.headers, 'content-length': answer.body.length })
  response.end(answer.body)
}

/** Closes the connection in the middle of a response, so that the caller does not mistake the part for a complete answer. */
export function abortResponse (response: http.ServerResponse): void {
  response.destroy()
}
