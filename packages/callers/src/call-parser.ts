import * as decisions from '@acaciaweir/decisions'
import type * as http from 'node:http'
import * as zod from 'zod'
import type * as types from './caller-types.js'

const MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 200

const contentPartSchema = zod.looseObject({ type: zod.literal('text'), text: zod.string() })
const messageSchema = zod.looseObject({
  role: zod.string(),
  content: zod.union([zod.string(), zod.array(contentPartSchema)])
})
const modelBodySchema = zod.looseObject({
  model: zod.string(),
  messages: zod.array(messageSchema).min(1),
  max_tokens: zod.int().min(1).optional(),
  max_completion_tokens: zod.int().min(1).optional(),
  n: zod.literal(1).optional(),
  stream: zod.boolean().nullish()
})

/** Fields of a model request's body that the router reads, and the complete body. */
export interface ParsedModelBody {
  model: string
  messages: Array<{ role: string, content: string }>
  maximumOutputTokens: number | undefined
  stream: boolean
  body: Record<string, unknown>
}

/** Parses the body of a model request. Throws ProblemError (`bad_request`) if it is not valid. */
export function parseModelBody (text: string): ParsedModelBody {
  const parsed = modelBodySchema.safeParse(parseJson(text))
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    throw badRequest(issues.join('; '))
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

/** Parses the headers that all kinds of calls share. Throws ProblemError (`bad_request`) if one is not valid. */
export function parseEnvelope (request: http.IncomingMessage, caller: types.Caller, signal: AbortSignal, check: types.KeyCheck): types.CallEnvelope {
  const key = headerText(request, 'idempotency-key')
  if (key !== undefined && (key.length === 0 || key.length > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS)) throw badRequest(`Idempotency-Key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS} characters`)
  const notRepeatable = headerText(request, 'acaciaweir-not-repeatable') ?? 'false'
  if (notRepeatable !== 'true' && notRepeatable !== 'false') throw badRequest('acaciaweir-not-repeatable must be true or false')
  return {
    caller,
    budget: headerText(request, 'acaciaweir-budget'),
    key,
    repeatable: notRepeatable === 'false',
    keyCheck: check,
    headers: request.headers,
    disconnectSignal: signal
  }
}

/** Returns true for a request that may run at most once and has an Idempotency-Key. */
export function runsAtMostOnce (request: http.IncomingMessage): boolean {
  return headerText(request, 'acaciaweir-not-repeatable') === 'true' && headerText(request, 'idempotency-key') !== undefined
}

/** Returns the bearer key of a request, or undefined if it has none. */
export function bearerKey (request: http.IncomingMessage): string | undefined {
  const match = /^Bearer (.+)$/.exec(headerText(request, 'authorization') ?? '')
  return match?.[1]
}

/** Returns a header, or its first value if it occurs several times. `name` must be in lower case. */
export function headerText (request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Creates the error for a malformed request. */
export function badRequest (detail: string): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag: 'bad_request', step: 'parse', peer: decisions.problem.Peer.caller, detail })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw badRequest(`the body is not valid JSON: ${(error as Error).message}`)
  }
}

function contentText (content: string | Array<{ text: string }>): string {
  if (typeof content === 'string') return content
  return content.map((part) => part.text).join('\n')
}
