import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as zod from 'zod'
import type * as types from './engine-types.js'
import * as errors from './target-error.js'

/** Engines send a heartbeat at least every second. */
export const STREAM_IDLE_TIMEOUT_MS = 3000

/** Timeout of a cancel or load call. */
const CONTROL_TIMEOUT_MS = 1500

const usageSchema = zod.object({ prompt_tokens: zod.number(), completion_tokens: zod.number() })
const lastFrameSchema = zod.object({ usage: usageSchema })
const cancelResultSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('ended'), finished: zod.boolean(), incarnation: zod.string(), usage: usageSchema }),
  zod.object({ kind: zod.literal('attached'), incarnation: zod.string() }),
  zod.object({ kind: zod.literal('never-ran'), rememberedMs: zod.number() })
])
const loadReportSchema = zod.object({ running: zod.number(), waiting: zod.number(), leaving: zod.boolean() })

/** HTTP client of one model engine. */
export class EngineClient {
  readonly target: string
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (target: string, address: string) {
    this.target = target
    this.#address = address
  }

  /** Starts a request and yields its frames as they arrive. Throws TargetError. */
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
      idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
      agent: this.#agent,
      signal
    })
  }

  /** Continues an answer at the frame with the given offset, on a new connection. Throws TargetError. */
  async * resume (requestId: string, offset: number, incarnation: string, signal: AbortSignal): AsyncGenerator<types.EngineFrame> {
    yield * this.#stream('resume', {
      method: 'GET',
      url: `${this.#address}/v1/streams/${encodeURIComponent(requestId)}?offset=${offset}`,
      headers: { 'x-router-incarnation': incarnation },
      idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
      agent: new http.Agent({ keepAlive: false }),
      signal
    })
  }

  /** Cancels a request, unless another router incarnation is reading its answer. Throws TargetError if the call fails. */
  async cancel (requestId: string, incarnation: string): Promise<types.CancelResult> {
    const answer = await this.#callControl('cancel', 'DELETE', `/v1/streams/${encodeURIComponent(requestId)}`, { 'x-router-incarnation': incarnation })
    const result = cancelResultSchema.parse(JSON.parse(answer.body))
    if (result.kind !== 'ended') return result
    return { ...result, usage: toUsage(result.usage) }
  }

  /** Fetches the engine's load report. Throws TargetError if the call fails. */
  async fetchLoad (): Promise<types.LoadReport> {
    const answer = await this.#callControl('load', 'GET', '/load', {})
    return loadReportSchema.parse(JSON.parse(answer.body))
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }

  async #callControl (step: string, method: string, path: string, headers: Record<string, string>): Promise<runtime.httpCall.HttpAnswer> {
    try {
      return await runtime.httpCall.callHttp({
        method,
        url: this.#address + path,
        headers,
        idleTimeoutMs: CONTROL_TIMEOUT_MS,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS)
      })
    } catch (error) {
      throw this.#toTargetError(step, error as Error, false)
    }
  }

  async * #stream (step: string, call: runtime.httpCall.HttpCall): AsyncGenerator<types.EngineFrame> {
    let hasReceivedFrame = false
    let isComplete = false
    let response: http.IncomingMessage | undefined
    try {
      response = await runtime.httpCall.openCall(call)
      if (response.statusCode !== 200) {
        throw new errors.TargetError(this.target, step, `status ${response.statusCode ?? 0}`, await knowledgeFromRefusal(response))
      }
      for await (const event of runtime.sse.readEvents(response)) {
        if (event.id === undefined) continue
        hasReceivedFrame = true
        const frame = parseFrame(event.id, event.data)
        isComplete = frame.usage !== undefined
        yield frame
      }
    } catch (error) {
      throw this.#toTargetError(step, error as Error, hasReceivedFrame)
    } finally {
      // Draining the rest of a complete answer lets the next request reuse the connection.
      if (isComplete) response?.resume()
      else response?.destroy()
    }
  }

  #toTargetError (step: string, error: Error, hasReceivedFrame: boolean): errors.TargetError {
    if (error instanceof errors.TargetError) return error
    const isConnectionLost = error instanceof runtime.httpCall.HttpCallError ? error.isConnectionLost : runtime.httpCall.isConnectionLost(error)
    const isSilence = [error, error.cause].some((reason) => reason instanceof runtime.httpCall.IdleTimeoutError)
    return new errors.TargetError(this.target, step, error.message, knowledgeFromError(error, hasReceivedFrame), isConnectionLost, isSilence)
  }
}

/** Status codes of requests that the engine did not accept: cancelled before arrival (409), queue full (429), leaving (503). */
const NOT_ACCEPTED_STATUSES = new Set([409, 429, 503])

async function knowledgeFromRefusal (response: http.IncomingMessage): Promise<decisions.retryRules.DispatchKnowledge> {
  response.resume()
  return NOT_ACCEPTED_STATUSES.has(response.statusCode ?? 0) ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}

function knowledgeFromError (error: Error, hasReceivedFrame: boolean): decisions.retryRules.DispatchKnowledge {
  if (hasReceivedFrame) return decisions.retryRules.DispatchKnowledge.partOfAnswer
  const wasNotSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
  return wasNotSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}

function parseFrame (id: string, data: string): types.EngineFrame {
  const separator = id.lastIndexOf(':')
  const frame: types.EngineFrame = {
    requestId: id.slice(0, separator),
    offset: Number(id.slice(separator + 1)),
    data
  }
  // JSON escapes quotes inside strings, so this text can only be a field.
  if (data.includes('"usage":{')) frame.usage = toUsage(lastFrameSchema.parse(JSON.parse(data)).usage)
  return frame
}

function toUsage (usage: zod.infer<typeof usageSchema>): types.Usage {
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens }
}
