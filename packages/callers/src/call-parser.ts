import * as decisions from '@acaciaweir/decisions'
import type * as http from 'node:http'
import * as zod from 'zod'
import type * as types from './caller-types.js'

/** Longest Idempotency-Key, in characters. */
const KEY_LIMIT = 200

const contentPart = zod.looseObject({ type: zod.literal('text'), text: zod.string() })
const messageSchema = zod.looseObject({
  role: zod.string(),
  content: zod.union([zod.string(), zod.array(contentPart)])
})
const modelBodySchema = zod.looseObject({
  model: zod.string(),
  messages: zod.array(messageSchema).min(1),
  max_tokens: zod.int().min(1).optional(),
  max_completion_tokens: zod.int().min(1).optional(),
  n: zod.literal(1).optional(),
  stream: zod.boolean().nullish()
})

/** The parts of a model request's body that the router reads. */
export interface ParsedModelBody {
  model: string
  messages: Array<{ role: string, content: string }>
  maximumOutputTokens: number | undefined
  stream: boolean
  body: Record<string, unknown>
}

/** Reads the body of a model request. Throws ProblemError. */
export function parseModelBody (text: string): ParsedModelBody {
  const parsed = modelBodySchema.safeParse(parseJson(text))
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    throw badRequest(faults.join('; '))
  }
  const body = parsed.data
  return {
    model: body.model,
    messages: body.messages.map((message) => ({ role: message.role, content: contentText(message.content) })),
    maximumOutputTokens: body.max_tokens ?? body.max_completion_tokens,
    stream: body.stream === true,
    body
  }
}

/** Reads the headers that all calls share. Throws ProblemError. */
export function parseEnvelope (request: http.IncomingMessage, caller: types.Caller, gone: AbortSignal, proof: types.KeyProof): types.CallEnvelope {
  const key = headerText(request, 'idempotency-key')
  if (key !== undefined && (key.length === 0 || key.length > KEY_LIMIT)) throw badRequest(`Idempotency-Key must have 1 to ${KEY_LIMIT} characters`)
  const notRepeatable = headerText(request, 'acaciaweir-not-repeatable') ?? 'false'
  if (notRepeatable !== 'true' && notRepeatable !== 'false') throw badRequest('acaciaweir-not-repeatable must be true or false')
  return {
    caller,
    budget: headerText(request, 'acaciaweir-budget'),
    key,
    repeatable: notRepeatable === 'false',
    proof,
    headers: request.headers,
    gone
  }
}

/** True for a request that may run at most once and names its key. */
export function runsAtMostOnce (request: http.IncomingMessage): boolean {
  return headerText(request, 'acaciaweir-not-repeatable') === 'true' && headerText(request, 'idempotency-key') !== undefined
}

/** The bearer key of a request, or undefined. */
export function bearerKey (request: http.IncomingMessage): string | undefined {
  const match = /^Bearer (.+)$/.exec(headerText(request, 'authorization') ?? '')
  return match?.[1]
}

/** One header as text. */
export function headerText (request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** An error for a request that cannot be read. */
export function badRequest (detail: string): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag: 'bad_request', step: 'parse', peer: decisions.problem.Peer.caller, detail })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw badRequest(`the body is not JSON: ${(error as Error).message}`)
  }
}

function contentText (content: string | Array<{ text: string }>): string {
  if (typeof content === 'string') return content
  return content.map((part) => part.text).join('\n')
}
