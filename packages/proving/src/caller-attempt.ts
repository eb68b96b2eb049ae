import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as zod from 'zod'
import type * as callers from './trace-caller.js'
import type * as traces from './trace-format.js'

const CALLER_IDLE_TIMEOUT_MS = 15_000

/** An entry host, with the prefix that idempotency keys of at-most-once requests sent to it start with. */
export interface EntryHost {
  address: string
  keyPrefix: string
}

/** State of an unfinished request, kept over all its attempts. */
export interface PendingRequest {
  event: traces.RequestEvent
  report: callers.RequestReport
  messages: Array<{ role: string, content: string }>
  worstCaseTokens: number
  bearer: string
  attemptCount: number
  /** Tags of the attempts with the current key whose outcome is uncertain. Used only for at-most-once requests. */
  openAttemptTags: string[]
  /** ID of the stream to resume, set once an answer has begun. */
  stream: string | undefined
  text: string
  /** Number of stream events received, which is the position to resume from. */
  offset: number
}

/** A whole answer. */
export interface Answered {
  kind: 'answered'
  tokens: number
}

/** A problem response (RFC 9457), or an error event within a stream. */
export interface ProblemAnswer {
  kind: 'problem'
  /** Last part of the problem's type URN. */
  tag: string
  /** Value of the problem's `ran` member: whether the request ran. */
  ran: string
  requestTag: string
}

/** Outcome of one attempt. */
export type AttemptResult = Answered | ProblemAnswer | { kind: 'lost', reason: string }

const entryHostsSchema = zod.object({
  hosts: zod.array(zod.object({ address: zod.string(), keyPrefix: zod.string() })),
  keepSeconds: zod.number()
})
const problemSchema = zod.looseObject({ type: zod.string(), ran: zod.string() })
const chunkSchema = zod.looseObject({
  choices: zod.array(zod.object({ delta: zod.object({ content: zod.string().optional() }) })),
  usage: zod.object({ total_tokens: zod.number() }).optional()
})

/** Fetches the caller's entry hosts from a router. Returns undefined on a failure, or after 1000 ms of silence. */
export async function fetchEntryHosts (address: string, bearer: string): Promise<zod.infer<typeof entryHostsSchema> | undefined> {
  try {
    const answer = await runtime.httpCall.callHttp({ method: 'GET', url: address + '/v1/entry-hosts', headers: { authorization: `Bearer ${bearer}` }, idleTimeoutMs: 1000 })
    return answer.status === 200 ? entryHostsSchema.parse(JSON.parse(answer.body)) : undefined
  } catch {
    return undefined
  }
}

/** Sends a request once to one host, or resumes its stream if an answer has begun. Errors become a `lost` result. */
export async function sendOnce (request: PendingRequest, host: EntryHost): Promise<AttemptResult> {
  const requestTag = `${request.report.index}.${request.attemptCount}`
  const controller = new AbortController()
  const disconnectAfterMs = request.attemptCount === 1 ? request.event.callerGoneMs : undefined
  const timer = disconnectAfterMs === undefined ? undefined : setTimeout(() => { controller.abort() }, disconnectAfterMs)
  try {
    const response = await runtime.httpCall.openCall({ ...buildCall(request, host, requestTag), idleTimeoutMs: CALLER_IDLE_TIMEOUT_MS, signal: controller.signal })
    if (response.headers['content-type'] === 'application/problem+json') return await readProblem(response, requestTag)
    if (request.event.call !== 'model') return await readServiceAnswer(response)
    return await readStream(request, response, requestTag)
  } catch (error) {
    return { kind: 'lost', reason: (error as Error).message }
  } finally {
    clearTimeout(timer)
  }
}

function buildCall (request: PendingRequest, host: EntryHost, requestTag: string): { method: string, url: string, headers: Record<string, string>, body?: string } {
  const headers: Record<string, string> = { authorization: `Bearer ${request.bearer}` }
  if (request.stream !== undefined) return { method: 'GET', url: `${host.address}/v1/streams/${request.stream}?offset=${request.offset}`, headers }
  headers['idempotency-key'] = idempotencyKeyOf(request, host)
  if (request.event.call === 'model') {
    const body = JSON.stringify({ model: 'advisor', stream: true, max_tokens: request.event.maximumOutputTokens, user: requestTag, messages: request.messages })
    return { method: 'POST', url: host.address + '/v1/chat/completions', headers, body }
  }
  if (request.event.call === 'service-once') headers['acaciaweir-not-repeatable'] = 'true'
  return { method: 'POST', url: host.address + '/services/registry/lookup', headers, body: JSON.stringify({ tag: requestTag }) }
}

/** Returns the request's key. An at-most-once request keeps it until the router reports that it did not run. */
function idempotencyKeyOf (request: PendingRequest, host: EntryHost): string {
  const { keys } = request.report
  const last = keys[keys.length - 1] ?? ''
  if (last !== '') return last
  const isAtMostOnce = request.event.call === 'service-once'
  const key = isAtMostOnce ? `${host.keyPrefix}call-${request.report.index}-${request.attemptCount}` : `call-${request.report.index}`
  keys.push(key)
  return key
}

async function readProblem (response: http.IncomingMessage, requestTag: string): Promise<ProblemAnswer> {
  return parseProblem(await runtime.httpCall.readBody(response), requestTag)
}

function parseProblem (text: string, requestTag: string): ProblemAnswer {
  const problem = problemSchema.parse(JSON.parse(text))
  return { kind: 'problem', tag: problem.type.split(':').pop() ?? '', ran: problem.ran, requestTag }
}

async function readServiceAnswer (response: http.IncomingMessage): Promise<AttemptResult> {
  await runtime.httpCall.readBody(response)
  return { kind: 'answered', tokens: 10 }
}

async function readStream (request: PendingRequest, response: http.IncomingMessage, requestTag: string): Promise<AttemptResult> {
  request.stream = String(response.headers['acaciaweir-stream'])
  let tokens = 0
  for await (const event of runtime.sse.readEvents(response)) {
    if (event.data === '[DONE]') return { kind: 'answered', tokens }
    if (event.data.startsWith('{"type"')) return parseProblem(event.data, requestTag)
    const chunk = chunkSchema.parse(JSON.parse(event.data))
    request.text += chunk.choices[0].delta.content ?? ''
    request.offset += 1
    tokens = chunk.usage?.total_tokens ?? tokens
  }
  return { kind: 'lost', reason: 'the stream ended early' }
}
