import type * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as calls from './call.js'

/** Largest retry-after delay, as a share of the time that remains until the caller's deadline. */
const MAXIMUM_RETRY_AFTER_SHARE = 0.33

/** Retry-after delay of requests that a leaving gateway does not take, in milliseconds. Other gateways take them at once. */
const LEAVING_RETRY_AFTER_MS = 50

/** Time for which what a refused caller still sends is dropped, in milliseconds, and the most that is dropped, in bytes. */
const DROP_TIME_MS = 1000
const MAXIMUM_DROPPED_BYTES = 4 * 1024 * 1024

/** Retry-after delay of requests whose bodies have no room, in milliseconds. */
const MEMORY_RETRY_AFTER_MS = 1000

/** Refusal of a request whose body has no room in memory. */
export const MEMORY_REFUSAL: calls.Refusal = { status: 503, reason: 'no memory is free for the body', retryAfterMs: MEMORY_RETRY_AFTER_MS }

/** Refusal of a request whose body exceeds the limit. */
export const BODY_REFUSAL: calls.Refusal = { status: 413, reason: 'the body is too large' }

/** Refusal of a request that can't be run in the time that its caller waits. */
export const DEADLINE_REFUSAL: calls.Refusal = { status: 503, reason: 'the caller\'s deadline has passed' }

/** Refusal of a request that could outlast a leaving gateway. */
export const LEAVING_REFUSAL: calls.Refusal = { status: 503, reason: 'the gateway is leaving', retryAfterMs: LEAVING_RETRY_AFTER_MS }

/**
 * Answers a call with the gateway's own refusal, as problem+json. Does nothing once the response has started or its connection is
 * closed. `remainingMs` is the time until the caller's deadline and bounds the retry-after delay.
 */
export function sendRefusal (response: http.ServerResponse, refusal: calls.Refusal, remainingMs: number = Infinity): void {
  if (response.headersSent || response.destroyed) return
  response.end(writeRefusalHead(response, refusal, remainingMs))
}

/**
 * Answers a request whose body is not read to its end with a refusal, and closes the connection soon after it. For a moment it drops what
 * still arrives: a connection that is closed with unread bytes is reset, and the caller may lose the answer.
 */
export function sendRefusalAndClose (message: http.IncomingMessage, response: http.ServerResponse, refusal: calls.Refusal): void {
  if (response.headersSent || response.destroyed) return
  response.setHeader('connection', 'close')
  response.write(writeRefusalHead(response, refusal, Infinity))
  let droppedBytes = 0
  const finish = (): void => {
    clearTimeout(timer)
    message.off('data', drop).off('end', finish).off('close', finish)
    response.end()
  }
  const drop = (chunk: Buffer): void => {
    droppedBytes += chunk.length
    if (droppedBytes > MAXIMUM_DROPPED_BYTES) finish()
  }
  const timer = setTimeout(finish, DROP_TIME_MS)
  message.on('data', drop).on('end', finish).on('close', finish).on('error', () => {})
  message.resume()
}

/** Writes the head of a refusal and returns its body. */
function writeRefusalHead (response: http.ServerResponse, refusal: calls.Refusal, remainingMs: number): string {
  const body = JSON.stringify({ title: refusal.reason })
  const headers: http.OutgoingHttpHeaders = { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body) }
  if (refusal.retryAfterMs !== undefined) {
    const waitMs = Math.max(0, Math.min(refusal.retryAfterMs, remainingMs * MAXIMUM_RETRY_AFTER_SHARE))
    headers['retry-after'] = (waitMs / 1000).toFixed(3)
  }
  response.writeHead(refusal.status, headers)
  return body
}

/** A complete answer of a target, held back until the gateway knows whether it forwards it. */
export interface BufferedAnswer {
  status: number
  headers: http.OutgoingHttpHeaders
  body: runtime.byteBlocks.ByteBlocks
}

/** Sends a target's answer to the caller. Does nothing once the response has started or its connection is closed. */
export function forwardAnswer (response: http.ServerResponse, answer: BufferedAnswer): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(answer.status, { ...answer.headers, 'content-length': answer.body.length })
  answer.body.endMessage(response)
}

/** Closes the connection in the middle of a response, so that the caller does not mistake the part for a complete answer. */
export function abortResponse (response: http.ServerResponse): void {
  response.destroy()
}
