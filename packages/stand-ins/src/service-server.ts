import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'

/** One run of a request. `/admin/served` reports it, and the replay judges the routers by it. */
export interface ServiceRun {
  requestId: string
  tag: string
  startedAt: number
}

/** Behaviour of the stand-in service; `/admin/set` changes it at run time. */
export interface ServiceOptions {
  /** Duration of a run, in milliseconds. */
  workMs: number
  /** Runs requests and closes the connection without an answer. */
  dropAnswers: boolean
  /** Least size of an answer, in bytes. */
  answerBytes: number
}

/** A stand-in for a plain service behind a router: records each run and echoes the request's path and tag. */
export class ServiceServer {
  readonly runs: ServiceRun[] = []
  readonly options: ServiceOptions
  readonly #server = new runtime.httpServer.HttpServer((request, response) => this.#handle(request, response))

  constructor (options: Partial<ServiceOptions> = {}) {
    this.options = { workMs: 5, dropAnswers: false, answerBytes: 0, ...options }
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.closeNow()
  }

  async #handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await runtime.httpCall.readBody(request)
    if (request.url === '/admin/served') { runtime.httpServer.sendJson(response, 200, this.runs); return }
    if (request.url === '/admin/set') {
      Object.assign(this.options, JSON.parse(body))
      runtime.httpServer.sendJson(response, 200, {})
      return
    }
    this.runs.push({ requestId: String(request.headers['x-request-id']), tag: parseTag(body), startedAt: Date.now() })
    await timers.setTimeout(this.options.workMs)
    if (this.options.dropAnswers) { response.destroy(); return }
    const { answerBytes } = this.options
    const answer = { ok: true, path: request.url, tag: parseTag(body), filler: answerBytes === 0 ? undefined : ' '.repeat(answerBytes) }
    runtime.httpServer.sendJson(response, 200, answer)
  }
}

function parseTag (body: string): string {
  if (body === '') return ''
  const parsed = JSON.parse(body) as { tag?: string }
  return parsed.tag ?? ''
}
