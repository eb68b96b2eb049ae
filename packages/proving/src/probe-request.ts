import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'

/** One timed, streamed model request. */
export interface ProbeRequest {
  address: string
  headers: Record<string, string>
  maximumOutputTokens: number
  prompt: string
  agent: http.Agent
}

/** Times of one answer, in milliseconds. */
export interface ProbeTimes {
  status: number
  firstTokenMs: number
  /** Time between each token and the one before. */
  gapsMs: number[]
  totalMs: number
}

/** Sends a streamed request and times its tokens. */
export async function probe (request: ProbeRequest): Promise<ProbeTimes> {
  const startedAt = performance.now()
  const times: ProbeTimes = { status: 0, firstTokenMs: NaN, gapsMs: [], totalMs: NaN }
  const response = await runtime.httpCall.openCall({
    method: 'POST',
    url: request.address + '/v1/chat/completions',
    headers: request.headers,
    body: JSON.stringify({ model: 'advisor', stream: true, max_tokens: request.maximumOutputTokens, messages: [{ role: 'user', content: request.prompt }] }),
    idleTimeoutMs: 30_000,
    agent: request.agent
  })
  times.status = response.statusCode ?? 0
  let previous = NaN
  for await (const event of runtime.sse.readEvents(response)) {
    if (event.data === '' || event.data.includes('"usage":{') || event.data === '[DONE]') continue
    const now = performance.now()
    if (Number.isNaN(previous)) times.firstTokenMs = now - startedAt
    else times.gapsMs.push(now - previous)
    previous = now
  }
  times.totalMs = performance.now() - startedAt
  return times
}
