import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as errors from './target-error.js'

/** A request to a plain service. */
export interface ServiceRequest {
  requestId: string
  method: string
  path: string
  contentType: string
  body: string
  /** Timeout of the complete call, in milliseconds. */
  timeoutMs: number
  traceHeaders: Record<string, string>
}

/** The answer of a plain service. */
export interface ServiceAnswer {
  status: number
  contentType: string
  body: string
}

/** HTTP client of one plain service. */
export class ServiceClient {
  readonly target: string
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (target: string, address: string) {
    this.target = target
    this.#address = address
  }

  /** Sends one request and returns the complete answer. Throws TargetError. */
  async call (request: ServiceRequest): Promise<ServiceAnswer> {
    try {
      const answer = await runtime.httpCall.callHttp({
        method: request.method,
        url: this.#address + request.path,
        headers: { ...request.traceHeaders, 'x-request-id': request.requestId, 'content-type': request.contentType },
        body: request.body === '' ? undefined : request.body,
        idleTimeoutMs: request.timeoutMs,
        signal: AbortSignal.timeout(request.timeoutMs),
        agent: this.#agent
      })
      return { status: answer.status, contentType: answer.headers['content-type'] ?? 'application/octet-stream', body: answer.body }
    } catch (error) {
      throw new errors.TargetError(this.target, 'call', (error as Error).message, knowledgeFromError(error as Error))
    }
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }
}

function knowledgeFromError (error: Error): decisions.retryRules.DispatchKnowledge {
  const wasNotSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
  return wasNotSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}
