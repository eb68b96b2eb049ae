import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as zod from 'zod'
import type * as types from './engine-types.js'
import * as errors from './target-error.js'

/** Longest silence on an answer's connection, in milliseconds. Engines send a heartbeat at least every second. */
export const STREAM_SILENCE_LIMIT_MS = 3000

/** Longest wait for a short control call, in milliseconds. */
const CONTROL_TIMEOUT_MS = 1500

const usageSchema = zod.object({ prompt_tokens: zod.number(), completion_tokens: zod.number() })
const lastFrameSchema = zod.object({ usage: usageSchema })
const cancelSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('ended'), finished: zod.boolean(), incarnation: zod.string(), usage: usageSchema }),
  zod.object({ kind: zod.literal('attached'), incarnation: zod.string() }),
  zod.object({ kind: zod.literal('never-ran'), rememberedMs: zod.number() })
])
const loadSchema = zod.object({ running: zod.number(), waiting: zod.number(), leaving: zod.boolean() })

/** Talks to one model engine. */
export class EngineClient {
  readonly target: string
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (target: string, address: string) {
    this.target = target
    this.#address = address
  }

  /** Starts a request and yields its frames as they come. Throws TargetError. */
  async * start (request: types.EngineRequest, signal: AbortSignal): AsyncGenerator<types.EngineFrame> {
    yield * this.#stream('dispatch', {
      method: 'POST',
      url: this.#address + '/v1/chat/completions',
      headers: {
        ...request.traceHeaders,
        'x-request-id': request.requestId,
        'x-router-incarnation': request.incarnation,
        'x-priority': String(request.priority)
      },
      body: JSON.stringify({ ...request.body, stream: true }),
      idleTimeoutMs: STREAM_SILENCE_LIMIT_MS,
      agent: this.#agent,
      signal
    })
  }

  /** Continues an answer at an offset, on a new connection. Throws TargetError. */
  async * resume (requestId: string, offset: number, incarnation: string, signal: AbortSignal): AsyncGenerator<types.EngineFrame> {
    yield * this.#stream('resume', {
      method: 'GET',
      url: `${this.#address}/v1/streams/${encodeURIComponent(requestId)}?offset=${offset}`,
      headers: { 'x-router-incarnation': incarnation },
      idleTimeoutMs: STREAM_SILENCE_LIMIT_MS,
      agent: new http.Agent({ keepAlive: false }),
      signal
    })
  }

  /** Ends a request. One that a router other than the caller of this method reads is left alone. Throws TargetError. */
  async cancel (requestId: string, incarnation: string): Promise<types.CancelResult> {
    const answer = await this.#control('cancel', 'DELETE', `/v1/streams/${encodeURIComponent(requestId)}`, { 'x-router-incarnation': incarnation })
    const result = cancelSchema.parse(JSON.parse(answer.body))
    if (result.kind !== 'ended') return result
    return { ...result, usage: toUsage(result.usage) }
  }

  /** Reads the engine's load report. Throws TargetError. */
  async load (): Promise<types.LoadReport> {
    const answer = await this.#control('load', 'GET', '/load', {})
    return loadSchema.parse(JSON.parse(answer.body))
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }

  async #control (step: string, method: string, path: string, headers: Record<string, string>): Promise<runtime.httpCall.HttpAnswer> {
    try {
      return await runtime.httpCall.callHttp({
        method,
        url: this.#address + path,
        headers,
        idleTimeoutMs: CONTROL_TIMEOUT_MS,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS)
      })
    } catch (error) {
      throw this.#failure(step, error as Error, false)
    }
  }

  async * #stream (step: string, call: runtime.httpCall.HttpCall): AsyncGenerator<types.EngineFrame> {
    let anyFrame = false
    let complete = false
    let response: http.IncomingMessage | undefined
    try {
      response = await runtime.httpCall.openCall(call)
      if (response.statusCode !== 200) {
        throw new errors.TargetError(this.target, step, `status ${response.statusCode ?? 0}`, await refusalKnowledge(response))
      }
      for await (const event of runtime.sse.readEvents(response)) {
        if (event.id === undefined) continue
        anyFrame = true
        const frame = parseFrame(event.id, event.data)
        complete = frame.usage !== undefined
        yield frame
      }
    } catch (error) {
      throw this.#failure(step, error as Error, anyFrame)
    } finally {
      // A whole answer leaves its connection to the next request.
      if (complete) response?.resume()
      else response?.destroy()
    }
  }

  #failure (step: string, error: Error, anyFrame: boolean): errors.TargetError {
    if (error instanceof errors.TargetError) return error
    return new errors.TargetError(this.target, step, error.message, knowledgeOf(error, anyFrame))
  }
}

/** Statuses by which an engine says that it has not taken a request: cancelled before it came, queue full, leaving. */
const NOT_TAKEN_STATUSES = new Set([409, 429, 503])

async function refusalKnowledge (response: http.IncomingMessage): Promise<decisions.retryRules.DispatchKnowledge> {
  response.resume()
  return NOT_TAKEN_STATUSES.has(response.statusCode ?? 0) ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}

function knowledgeOf (error: Error, anyFrame: boolean): decisions.retryRules.DispatchKnowledge {
  if (anyFrame) return decisions.retryRules.DispatchKnowledge.partOfAnswer
  const notSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
  return notSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}

function parseFrame (id: string, data: string): types.EngineFrame {
  const separator = id.lastIndexOf(':')
  const frame: types.EngineFrame = {
    requestId: id.slice(0, separator),
    offset: Number(id.slice(separator + 1)),
    data
  }
  // Quotes inside JSON strings are escaped, so this text occurs only as a field.
  if (data.includes('"usage":{')) frame.usage = toUsage(lastFrameSchema.parse(JSON.parse(data)).usage)
  return frame
}

function toUsage (usage: zod.infer<typeof usageSchema>): types.Usage {
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens }
}
