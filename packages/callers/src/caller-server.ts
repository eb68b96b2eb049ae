import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as sinks from './answer-sinks.js'
import * as parser from './call-parser.js'
import type * as types from './caller-types.js'
import * as problems from './problem-response.js'

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

/** HTTP server for callers. Authenticates and parses requests and passes them to a handler. */
export class CallerServer {
  readonly #handler: types.CallHandler
  readonly #logger: runtime.logging.Logger
  readonly #server = new runtime.httpServer.HttpServer((request, response) => this.#admit(request, response))
  readonly #queue = new runtime.admissionQueue.AdmissionQueue({
    clock: new runtime.systemClock.SystemClock(),
    dropWaitingConnections: () => {
      this.#logger.warn({ event: 'connections-dropped', waitingRequests: this.#queue.length })
      this.#server.dropWaitingConnections()
    }
  })

  constructor (handler: types.CallHandler, logger: runtime.logging.Logger) {
    this.#handler = handler
    this.#logger = logger
    this.#server.onConnection(() => { this.#queue.recordConnection() })
  }

  /** Starts listening and resolves with the port; port 0 selects a free one. */
  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  /**
   * Stops accepting connections and resolves when all requests in progress have ended and their answers have been written out. Closes the
   * connections that are still open after `timeoutMs`.
   */
  close (timeoutMs: number): Promise<void> {
    return this.#server.close(timeoutMs)
  }

  /** Stops accepting connections and closes the open ones, which interrupts requests in progress. */
  closeNow (): void {
    this.#server.closeNow()
  }

  /** Queues a request. Health probes don't wait, as they report on the process. */
  #admit (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url === '/healthz' || request.url === '/readyz') return this.#handleRequest(request, response)
    return new Promise((resolve, reject) => {
      this.#queue.push({
        hasLeft: () => request.socket.destroyed || request.socket.readableEnded,
        start: () => { this.#handleRequest(request, response).then(resolve, reject) },
        reject: () => {
          this.#refuse(request, response, { tag: 'overloaded', step: 'admit', peer: decisions.problem.Peer.self, detail: 'the request waited too long to be started' }, { isDone: false })
          request.resume()
          resolve()
        },
        drop: resolve,
        fail: reject
      })
    })
  }

  async #handleRequest (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const keyCheck: types.KeyCheck = { isDone: false }
    try {
      await this.#route(request, response, keyCheck)
    } catch (error) {
      this.#refuse(request, response, problems.toProblem(error), keyCheck)
    }
  }

  #refuse (request: http.IncomingMessage, response: http.ServerResponse, reason: decisions.problem.Problem, keyCheck: types.KeyCheck): void {
    const problem = withUncheckedKey(reason, request, keyCheck)
    this.#logger.info({ event: 'refused', ...problem, path: request.url })
    if (response.headersSent || response.destroyed) response.destroy()
    else problems.sendProblem(response, problem)
  }

  async #route (request: http.IncomingMessage, response: http.ServerResponse, keyCheck: types.KeyCheck): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://router')
    if (url.pathname === '/healthz') { runtime.httpServer.sendJson(response, 200, { alive: true }); return }
    if (url.pathname === '/readyz') { this.#answerReadiness(response); return }
    const body = await readCallBody(request)
    const caller = this.#authenticate(request)
    if (url.pathname === '/v1/entry-hosts') { runtime.httpServer.sendJson(response, 200, this.#handler.entryHosts(caller)); return }
    const signal = createDisconnectSignal(response)
    if (url.pathname === '/v1/chat/completions' && request.method === 'POST') {
      await this.#serveModel(parser.parseEnvelope(request, caller, signal, keyCheck), body, response)
      return
    }
    if (url.pathname.startsWith('/v1/streams/')) { await this.#resume(url, caller, signal, response); return }
    if (url.pathname.startsWith('/services/')) {
      await this.#serveService(parser.parseEnvelope(request, caller, signal, keyCheck), request, url, body, response)
      return
    }
    throw notFound(url.pathname)
  }

  #answerReadiness (response: http.ServerResponse): void {
    const reason = this.#handler.notReadyReason()
    runtime.httpServer.sendJson(response, reason === undefined ? 200 : 503, { ready: reason === undefined, reason })
  }

  #authenticate (request: http.IncomingMessage): types.Caller {
    const reason = this.#handler.notReadyReason()
    if (reason !== undefined) {
      throw new decisions.problem.ProblemError({ tag: 'not_ready', step: 'authenticate', peer: decisions.problem.Peer.self, detail: reason })
    }
    const key = parser.bearerKey(request)
    const caller = key === undefined ? undefined : this.#handler.authenticate(key)
    if (caller === undefined) throw new decisions.problem.ProblemError({ tag: 'unauthorized', step: 'authenticate', peer: decisions.problem.Peer.caller })
    return caller
  }

  async #serveModel (envelope: types.CallEnvelope, text: string, response: http.ServerResponse): Promise<void> {
    const parsed = parser.parseModelBody(text)
    const call = { ...envelope, ...parsed }
    if (!parsed.stream) {
      await this.#handler.serveModel(call, new sinks.BufferedSink(response))
      return
    }
    const sink = new sinks.EventStreamSink(response, 0)
    await failOpenStream(sink, this.#handler.serveModel(call, sink))
  }

  async #resume (url: URL, caller: types.Caller, signal: AbortSignal, response: http.ServerResponse): Promise<void> {
    const [target, requestId] = url.pathname.replace('/v1/streams/', '').split('/').map(decodeURIComponent)
    const offset = Number(url.searchParams.get('offset') ?? 0)
    if (requestId === undefined || !Number.isInteger(offset) || offset < 0) throw parser.badRequest('the path must be /v1/streams/TARGET/REQUEST and the offset a non-negative integer')
    const sink = new sinks.EventStreamSink(response, offset)
    await failOpenStream(sink, this.#handler.resumeStream({ caller, target, requestId, offset, disconnectSignal: signal }, sink))
  }

  async #serveService (envelope: types.CallEnvelope, request: http.IncomingMessage, url: URL, body: string, response: http.ServerResponse): Promise<void> {
    const [service, ...rest] = url.pathname.replace('/services/', '').split('/')
    const outcome = await this.#handler.serveService({
      ...envelope,
      service: decodeURIComponent(service),
      method: request.method ?? 'GET',
      path: '/' + rest.join('/') + url.search,
      contentType: parser.headerText(request, 'content-type') ?? 'application/json',
      body
    })
    response.writeHead(outcome.status, {
      'content-type': outcome.contentType,
      'content-length': Buffer.byteLength(outcome.body),
      'acaciaweir-request-id': outcome.requestId
    })
    response.end(outcome.body)
  }
}

/** Ends a stream that has begun with an error event. Rethrows the error if the stream has not begun, so that the response can still be an error response. */
async function failOpenStream (sink: sinks.EventStreamSink, serving: Promise<void>): Promise<void> {
  try {
    await serving
  } catch (error) {
    if (!sink.hasBegun) throw error
    sink.fail(error)
  }
}

/**
 * Reports the execution state as unknown if an at-most-once request is refused before its key has been checked: an earlier
 * attempt with the same key may have run. A malformed request keeps the state of its problem.
 */
function withUncheckedKey (problem: decisions.problem.Problem, request: http.IncomingMessage, keyCheck: types.KeyCheck): decisions.problem.Problem {
  const saysNotRun = decisions.problem.describeProblem(problem.tag).ran === decisions.problem.Ran.no
  if (!saysNotRun || keyCheck.isDone || problem.tag === 'bad_request' || !parser.runsAtMostOnce(request)) return problem
  return { ...problem, ran: decisions.problem.Ran.unknown }
}

async function readCallBody (request: http.IncomingMessage): Promise<string> {
  try {
    return await runtime.httpCall.readBody(request, MAXIMUM_BODY_BYTES)
  } catch (error) {
    throw parser.badRequest((error as Error).message)
  }
}

/** Returns a signal that aborts if the connection closes before the answer is complete. */
function createDisconnectSignal (response: http.ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}

function notFound (path: string): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag: 'not_found', step: 'route', peer: decisions.problem.Peer.caller, detail: path })
}
