import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as answers from './answers.js'
import type * as calls from './call.js'
import type * as logs from './decision-log.js'
import type * as metrics from './gateway-metrics.js'
import type * as flows from './request-flow.js'

/** Largest header block taken before the agreement says more, in bytes. */
const HEADER_BYTES = 65_536

/** Interval at which slow headers and bodies are noticed, in milliseconds. */
const TIMEOUT_CHECK_MS = 1000

/** Time before the caller's deadline at which the gateway gives its final answer, in milliseconds. */
const ANSWER_MARGIN_MS = 30

/** Age of the last word of the store up to which an unknown route or key is sure to be unknown, in milliseconds. */
const CERTAIN_MS = 3500

/** Pause after which a caller may come back to a gateway that does not know enough yet, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500

/** What serving callers needs. */
export interface CallerServerOptions {
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  log: logs.DecisionLog
  metrics: metrics.GatewayMetrics
  flow: flows.RequestFlow
  table: () => decisions.routeTable.RouteTable | undefined
  /** Time since the agreement was last confirmed, in milliseconds. */
  agreementAgeMs: () => number
}

/** Accepts callers' requests, checks them against the agreement, and hands them to the flow. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: http.Server
  #inProgress = 0
  #leaving = false

  constructor (options: CallerServerOptions) {
    this.#options = options
    const serverOptions = { maxHeaderSize: HEADER_BYTES, noDelay: true, connectionsCheckingInterval: TIMEOUT_CHECK_MS }
    this.#server = http.createServer(serverOptions, (message, response) => { void this.#handle(message, response) })
  }

  get inProgress (): number {
    return this.#inProgress
  }

  listen (port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, address, 1024, () => { resolve() })
    })
  }

  /** Takes the callers' limits of an agreement. */
  useLimits (limits: decisions.agreementTypes.CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs
  }

  /** Asks callers to connect elsewhere from now on; requests that still come are served. */
  leave (): void {
    this.#leaving = true
  }

  /** Closes connections on which no request is in progress. */
  closeIdle (): void {
    this.#server.closeIdleConnections()
  }

  /** Takes no new connections. */
  stopListening (): void {
    this.#server.close()
  }

  closeNow (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this.#inProgress += 1
    const arrivedAt = this.#options.clock.now()
    if (this.#leaving) response.setHeader('connection', 'close')
    try {
      await this.#serve(message, response, arrivedAt)
    } catch (error) {
      this.#options.logger.error({ event: 'request-error', request: adapter.callerRequest.attemptIdForLog(message), reason: (error as Error).stack })
      answers.refuse(response, { status: 500, reason: 'internal error' })
    } finally {
      this.#inProgress -= 1
    }
  }

  async #serve (message: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    const table = this.#options.table()
    const admitted = this.#admit(message, table, arrivedAt)
    if ('status' in admitted) {
      this.#turnAway(message, response, admitted, arrivedAt, table)
      return
    }
    const { request, route, account } = admitted
    const body = await readBody(message, admitted.limits.bodyBytes)
    if (body === undefined) {
      this.#turnAway(message, response, { status: 413, reason: 'the body is too large' }, arrivedAt, table)
      return
    }
    const waitsMs = Math.min(request.waitsMs ?? Infinity, route.timeoutMs)
    const call: calls.Call = {
      message,
      response,
      request,
      route,
      account,
      body,
      service: decisions.routeTable.drawService(route, this.#options.random),
      rank: account?.rank ?? route.rank,
      agreementVersion: admitted.version,
      arrivedAt,
      deadlineAt: arrivedAt + waitsMs - ANSWER_MARGIN_MS,
      ended: new AbortController(),
      endedBy: undefined,
      sends: [],
      events: 0,
      lastEventId: request.resumesAfter,
      firstEventAt: undefined,
      span: runtime.telemetry.startSpan('request', runtime.telemetry.contextFromHeaders(message.headers), { request: request.attemptId })
    }
    await this.#follow(call)
  }

  /** Serves a call and ends it when its caller leaves or its deadline passes. */
  async #follow (call: calls.Call): Promise<void> {
    const end = (by: 'caller' | 'deadline'): void => {
      call.endedBy ??= by
      call.ended.abort()
    }
    const onClose = (): void => { if (!call.response.writableFinished) end('caller') }
    call.response.on('close', onClose)
    const timer = setTimeout(() => { end('deadline') }, Math.max(0, call.deadlineAt - this.#options.clock.now()))
    try {
      const outcome = await this.#options.flow.serve(call)
      this.#report(call, outcome)
    } finally {
      clearTimeout(timer)
      call.response.off('close', onClose)
      call.span.end()
    }
  }

  #admit (message: http.IncomingMessage, table: decisions.routeTable.RouteTable | undefined, arrivedAt: number): AdmittedHead | calls.Refusal {
    if (table === undefined) return { status: 503, reason: 'no agreement is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    if (headerBytes(message) > table.agreement.limits.headerBytes) return { status: 431, reason: 'the headers are too large' }
    let request: adapter.callerRequest.CallerRequest
    try {
      request = adapter.callerRequest.decodeCallerRequest(message)
    } catch (error) {
      return { status: 400, reason: (error as Error).message }
    }
    const route = table.match(request.host, request.target)
    if (route === undefined) return this.#unknown(404, 'no route matches')
    const account = request.key === undefined ? undefined : table.accountOfKey(request.key)
    if (table.agreement.accounts !== undefined && !route.anonymous && account === undefined) return this.#unknown(401, 'the key is unknown')
    if (route.streaming && account?.prepaidTokens !== undefined && request.promptTokens === undefined) {
      return { status: 400, reason: 'a model request needs its token counts' }
    }
    if (request.waitsMs !== undefined && request.waitsMs <= ANSWER_MARGIN_MS) return { status: 503, reason: 'the caller\'s deadline has passed' }
    return { request, route, account, limits: table.agreement.limits, version: table.agreement.version }
  }

  /** What an old agreement does not know may stand in a newer one. */
  #unknown (status: number, reason: string): calls.Refusal {
    if (this.#options.agreementAgeMs() <= CERTAIN_MS) return { status, reason }
    return { status: 503, reason: `${reason} as far as known; the store has been out of reach`, retryAfterMs: NOT_READY_RETRY_AFTER_MS }
  }

  #turnAway (message: http.IncomingMessage, response: http.ServerResponse, refusal: calls.Refusal, arrivedAt: number, table: decisions.routeTable.RouteTable | undefined): void {
    answers.refuse(response, refusal)
    message.resume()
    this.#options.metrics.request('none', `refused-${refusal.status}`, 0)
    this.#options.log.write({
      event: 'request-refused',
      request: adapter.callerRequest.attemptIdForLog(message),
      status: refusal.status,
      reason: refusal.reason,
      agreementVersion: table?.agreement.version,
      agreementAgeMs: Math.round(this.#options.agreementAgeMs()),
      totalMs: Math.round(this.#options.clock.now() - arrivedAt)
    })
  }

  #report (call: calls.Call, outcome: string): void {
    const totalMs = this.#options.clock.now() - call.arrivedAt
    this.#options.metrics.request(call.route.name, outcome, totalMs / 1000)
    this.#options.log.write({
      event: 'request-ended',
      request: call.request.attemptId,
      outcome,
      status: call.response.headersSent ? call.response.statusCode : undefined,
      route: call.route.name,
      service: call.service,
      account: call.account?.name,
      agreementVersion: call.agreementVersion,
      agreementAgeMs: Math.round(this.#options.agreementAgeMs()),
      promptTokens: call.request.promptTokens,
      outputTokens: call.request.maximumOutputTokens,
      budget: call.budget,
      waitsMs: call.request.waitsMs,
      sends: call.sends,
      events: call.events,
      firstEventMs: call.firstEventAt === undefined ? undefined : Math.round(call.firstEventAt - call.arrivedAt),
      totalMs: Math.round(totalMs)
    })
  }
}

interface AdmittedHead {
  request: adapter.callerRequest.CallerRequest
  route: decisions.agreementTypes.Route
  account: decisions.agreementTypes.Account | undefined
  limits: decisions.agreementTypes.CallerLimits
  version: number
}

/** Size of the headers on the wire, with separators and line ends. */
function headerBytes (message: http.IncomingMessage): number {
  return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}

/** Reads a body; undefined where it is larger than the limit. Rejects where the caller breaks off. */
async function readBody (message: http.IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of message) {
    size += (chunk as Buffer).length
    if (size > limitBytes) return undefined
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}
