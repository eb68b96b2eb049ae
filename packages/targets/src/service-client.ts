import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as errors from './target-error.js'

/** A call to a plain service. */
export interface ServiceRequest {
  requestId: string
  method: string
  path: string
  contentType: string
  body: string
  timeoutMs: number
  traceHeaders: Record<string, string>
}

/** A plain service's answer. */
export interface ServiceAnswer {
  status: number
  contentType: string
  body: string
}

/** Talks to one plain service. */
export class ServiceClient {
  readonly target: string
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (target: string, address: string) {
    this.target = target
    this.#address = address
  }

  /** Makes one call and returns the whole answer. Throws TargetError. */
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
      throw new errors.TargetError(this.target, 'call', (error as Error).message, knowledgeOf(error as Error))
    }
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }
}

function knowledgeOf (error: Error): decisions.retryRules.DispatchKnowledge {
  const notSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
  return notSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
}
