import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'

/** A streamed model request to be timed. */
export interface ProbeRequest {
  /** Base URL of a router or target, without the path. */
  address: string
  headers: Record<string, string>
  maximumOutputTokens: number
  prompt: string
  agent: http.Agent
}

/** Status and timings of one answer. Times are in milliseconds from the start of the request. */
export interface ProbeTimings {
  status: number
  /** NaN if the answer has no token. */
  firstTokenMs: number
  /** Time from each token to the next. */
  tokenGapsMs: number[]
  totalMs: number
}

/**
 * Sends a streamed request and times its tokens. An answer with an error status resolves as well. Throws HttpCallError if
 * no answer comes, and an error if the stream is cut.
 */
export async function sendProbe (request: ProbeRequest): Promise<ProbeTimings> {
  const startedAt = performance.now()
  const timings: ProbeTimings = { status: 0, firstTokenMs: NaN, tokenGapsMs: [], totalMs: NaN }
  const response = await runtime.httpCall.openCall({
    method: 'POST',
    url: request.address + '/v1/chat/completions',
    headers: request.headers,
    body: JSON.stringify({ model: 'advisor', stream: true, max_tokens: request.maximumOutputTokens, messages: [{ role: 'user', content: request.prompt }] }),
    idleTimeoutMs: 30_000,
    agent: request.agent
  })
  timings.status = response.statusCode ?? 0
  let previousTokenAt = NaN
  for await (const event of runtime.sse.readEvents(response)) {
    if (event.data === '' || event.data.includes('"usage":{') || event.data === '[DONE]') continue
    const now = performance.now()
    if (Number.isNaN(previousTokenAt)) timings.firstTokenMs = now - startedAt
    else timings.tokenGapsMs.push(now - previousTokenAt)
    previousTokenAt = now
  }
  timings.totalMs = performance.now() - startedAt
  return timings
}
