import type * as http from 'node:http'
import type * as calls from './call.js'

/** Largest part of a caller's remaining time that it is told to wait. */
const WAITING_SHARE = 0.33

/** Answers without a target's answer. Nothing is written where an answer has begun. */
export function refuse (response: http.ServerResponse, refusal: calls.Refusal, remainingMs: number = Infinity): void {
  if (response.headersSent || response.destroyed) return
  const text = JSON.stringify({ title: refusal.reason })
  const headers: http.OutgoingHttpHeaders = { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(text) }
  if (refusal.retryAfterMs !== undefined) {
    const waitMs = Math.max(0, Math.min(refusal.retryAfterMs, remainingMs * WAITING_SHARE))
    headers['retry-after'] = (waitMs / 1000).toFixed(3)
  }
  response.writeHead(refusal.status, headers)
  response.end(text)
}

/** Breaks an answer off, so that it cannot be taken for a whole one. */
export function breakOff (response: http.ServerResponse): void {
  response.destroy()
}
