import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as zod from 'zod'
import type * as callers from './trace-caller.js'
import type * as traces from './trace-format.js'

/** Longest silence a caller bears, in milliseconds. */
const CALLER_SILENCE_MS = 15_000

/** An entry host that a caller knows. */
export interface KnownHost {
  address: string
  keyPrefix: string
}

/** A request on its way, over all its tries. */
export interface CallerRun {
  event: traces.RequestEvent
  report: callers.RequestReport
  messages: Array<{ role: string, content: string }>
  worst: number
  bearer: string
  tries: number
  /** Tags of tries of the present key whose outcome is open; for requests that may run at most once. */
  triesOfKey: string[]
  /** Names the stream to resume, once an answer has begun. */
  stream: string | undefined
  text: string
  offset: number
}

/** A whole answer. */
export interface Answered {
  kind: 'answered'
  tokens: number
}

/** A refusal or an error that the router reported. */
export interface ProblemAnswer {
  kind: 'problem'
  tag: string
  ran: string
  requestTag: string
}

/** Outcome of one try. */
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

/** Asks a router which entry hosts to use. Returns undefined where it does not answer. */
export async function askEntryHosts (address: string, bearer: string): Promise<zod.infer<typeof entryHostsSchema> | undefined> {
  try {
    const answer = await runtime.httpCall.callHttp({ method: 'GET', url: address + '/v1/entry-hosts', headers: { authorization: `Bearer ${bearer}` }, idleTimeoutMs: 1000 })
    return answer.status === 200 ? entryHostsSchema.parse(JSON.parse(answer.body)) : undefined
  } catch {
    return undefined
  }
}

/** Tries a request once at one host; a stream that has begun is resumed. */
export async function tryOnce (run: CallerRun, host: KnownHost): Promise<AttemptResult> {
  const requestTag = `${run.report.index}.${run.tries}`
  const controller = new AbortController()
  const goneMs = run.tries === 1 ? run.event.callerGoneMs : undefined
  const timer = goneMs === undefined ? undefined : setTimeout(() => { controller.abort() }, goneMs)
  try {
    const response = await runtime.httpCall.openCall({ ...callOf(run, host, requestTag), idleTimeoutMs: CALLER_SILENCE_MS, signal: controller.signal })
    if (response.headers['content-type'] === 'application/problem+json') return await readProblem(response, requestTag)
    if (run.event.call !== 'model') return await readServiceAnswer(response)
    return await readStream(run, response, requestTag)
  } catch (error) {
    return { kind: 'lost', reason: (error as Error).message }
  } finally {
    clearTimeout(timer)
  }
}

function callOf (run: CallerRun, host: KnownHost, requestTag: string): { method: string, url: string, headers: Record<string, string>, body?: string } {
  const headers: Record<string, string> = { authorization: `Bearer ${run.bearer}` }
  if (run.stream !== undefined) return { method: 'GET', url: `${host.address}/v1/streams/${run.stream}?offset=${run.offset}`, headers }
  headers['idempotency-key'] = keyOf(run, host)
  if (run.event.call === 'model') {
    const body = JSON.stringify({ model: 'advisor', stream: true, max_tokens: run.event.maximumOutputTokens, user: requestTag, messages: run.messages })
    return { method: 'POST', url: host.address + '/v1/chat/completions', headers, body }
  }
  if (run.event.call === 'service-once') headers['acaciaweir-not-repeatable'] = 'true'
  return { method: 'POST', url: host.address + '/services/registry/lookup', headers, body: JSON.stringify({ tag: requestTag }) }
}

/** A request that may run at most once keeps its key until it is told that it did not run. */
function keyOf (run: CallerRun, host: KnownHost): string {
  const { keys } = run.report
  const last = keys[keys.length - 1] ?? ''
  if (last !== '') return last
  const once = run.event.call === 'service-once'
  const key = once ? `${host.keyPrefix}call-${run.report.index}-${run.tries}` : `call-${run.report.index}`
  keys.push(key)
  return key
}

async function readProblem (response: http.IncomingMessage, requestTag: string): Promise<ProblemAnswer> {
  return toProblem(await runtime.httpCall.readBody(response), requestTag)
}

function toProblem (text: string, requestTag: string): ProblemAnswer {
  const problem = problemSchema.parse(JSON.parse(text))
  return { kind: 'problem', tag: problem.type.split(':').pop() ?? '', ran: problem.ran, requestTag }
}

async function readServiceAnswer (response: http.IncomingMessage): Promise<AttemptResult> {
  await runtime.httpCall.readBody(response)
  return { kind: 'answered', tokens: 10 }
}

async function readStream (run: CallerRun, response: http.IncomingMessage, requestTag: string): Promise<AttemptResult> {
  run.stream = String(response.headers['acaciaweir-stream'])
  let tokens = 0
  for await (const event of runtime.sse.readEvents(response)) {
    if (event.data === '[DONE]') return { kind: 'answered', tokens }
    if (event.data.startsWith('{"type"')) return toProblem(event.data, requestTag)
    const chunk = chunkSchema.parse(JSON.parse(event.data))
    run.text += chunk.choices[0].delta.content ?? ''
    run.offset += 1
    tokens = chunk.usage?.total_tokens ?? tokens
  }
  return { kind: 'lost', reason: 'the stream ended early' }
}
