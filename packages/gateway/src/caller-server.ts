import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as net from 'node:net'
import * as answers from './answers.js'
import * as callerConnections from './caller-connections.js'
import type * as calls from './call.js'
import * as logs from './decision-log.js'
import type * as metrics from './gateway-metrics.js'
import type * as flows from './request-flow.js'

/** Hard limit of Node's parser on the header block, in bytes. The agreement's own limit is checked once the headers are parsed. */
const MAXIMUM_HEADER_BYTES = 65_536

/** Interval at which Node checks for headers and bodies that arrive too slowly, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1000

/** Time before the caller's deadline at which the gateway sends its final answer, in milliseconds. */
const DEADLINE_MARGIN_MS = 30

/** Greatest age of the agreement at which the gateway refuses an unknown route or key for good, in milliseconds. */
const MAXIMUM_AUTHORITATIVE_AGE_MS = 3500

/** Retry-after delay while the gateway has no agreement, or one too old to refuse for good, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1024

/** Outcomes of requests whose caller got no whole answer, although a target may have run them. */
const LOST_ANSWER_OUTCOMES = new Set(['broken-off', 'answer-lost', 'timed-out'])

/** Mean retry-after delay of requests that an overloaded gateway rejects, in milliseconds. */
const OVERLOAD_RETRY_AFTER_MS = 800

export interface CallerServerOptions {
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  decisionLog: logs.DecisionLog
  metrics: metrics.GatewayMetrics
  flow: flows.RequestFlow
  leavingAdmission: decisions.leavingAdmission.LeavingAdmission
  /** Memory of the host, in megabytes. */
  memoryMb: number
  /** Descriptors that the process may open. */
  maximumDescriptors: number
  routeTable: () => decisions.routeTable.RouteTable | undefined
  /** Time since the agreement was last confirmed, in milliseconds. */
  agreementAgeMs: () => number
  /** Returns true if a newer agreement is known to be in force elsewhere and could not be fetched in time. */
  isAgreementOutdated: () => boolean
}

/** HTTP server for callers: admits requests by the agreement in force and passes them to the request flow. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: http.Server
  readonly #readDelayMeter = new runtime.readDelay.ReadDelayMeter()
  readonly #requestsOnConnection = new WeakMap<net.Socket, number>()
  /** Answers that have been handed to Node but not yet written out, for each open connection. */
  readonly #unwrittenAnswers = new Map<net.Socket, Set<http.ServerResponse>>()
  /** Aborts of the calls in progress. */
  readonly #aborts = new Set<(reason: calls.AbortReason) => void>()
  readonly #queue: runtime.admissionQueue.AdmissionQueue
  readonly #connections: callerConnections.CallerConnections
  readonly #memory: runtime.memoryAccount.MemoryAccount
  #inProgress = 0
  #isLeaving = false

  constructor (options: CallerServerOptions) {
    this.#options = options
    const serverOptions = { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS }
    this.#server = http.createServer(serverOptions, (message, response) => {
      const arrival = this.#recordArrival(message)
      this.#connections.takeRequest(message.socket, response, () => { this.#enqueue(message, response, arrival) })
    })
    this.#queue = new runtime.admissionQueue.AdmissionQueue({
      clock: options.clock,
      dropWaitingConnections: () => { this.#dropWaitingConnections() }
    })
    this.#memory = new runtime.memoryAccount.MemoryAccount({
      clock: options.clock,
      capacityBytes: decisions.memoryYielding.bodyCapacity(options.memoryMb),
      onPushBack: (isPushingBack, largestBytes) => {
        options.logger.warn({ event: isPushingBack ? 'memory-pushes-back' : 'memory-regained', heldBytes: this.#memory.heldBytes, largestBytes, connections: this.#connections.size })
      }
    })
    this.#connections = new callerConnections.CallerConnections(decisions.memoryYielding.callerConnectionLimit(options.maximumDescriptors), this.#memory, (reason, caller) => {
      options.metrics.countClosedConnection(reason)
      options.decisionLog.write({ event: 'connection-closed', reason, caller })
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => { this.#connections.endUnreadable(socket, error) })
    this.#server.on('connection', (socket) => {
      this.#connections.add(socket)
      this.#queue.recordConnection()
      this.#trackConnection(socket)
    })
  }

  /** Requests whose answers have not been written out and whose callers are connected, or that are still being served. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** Memory that request bodies and unread answers occupy, in bytes. */
  get heldBytes (): { bodies: number, answers: number } {
    const { heldBytes, answerBytes } = this.#memory
    return { bodies: heldBytes - answerBytes, answers: answerBytes }
  }

  /** Bodies that are not read on for want of memory. */
  get waitingBodies (): number {
    return this.#memory.waitingBodies
  }

  get connections (): number {
    return this.#connections.size
  }

  /** Closes a connection whose caller doesn't read its answer, so that the target's connection becomes free. */
  closeStillestAnswers (): void {
    this.#memory.closeStillestAnswers()
  }

  listen (port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, address, LISTEN_BACKLOG, () => { resolve() })
    })
  }

  #dropWaitingConnections (): void {
    this.#options.metrics.countConnectionDrop()
    this.#options.logger.warn({ event: 'connections-dropped', waitingRequests: this.#queue.length, inProgress: this.#inProgress })
    runtime.reopenListener.reopenListener(this.#server, LISTEN_BACKLOG)
  }

  /** Applies the agreement's timeouts for callers' connections. */
  applyLimits (limits: decisions.agreementTypes.CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs
  }

  /**
   * Adds `connection: close` to responses from now on, so that callers reconnect elsewhere. Requests that end before `stopAt`, in clock
   * milliseconds, are still served.
   */
  startLeaving (stopAt: number): void {
    this.#isLeaving = true
    this.#options.leavingAdmission.startLeaving(this.#options.clock.now(), stopAt)
  }

  /** Ends the requests in progress: with an answer where none has begun. */
  endRequests (): void {
    for (const abort of this.#aborts) abort('stop')
  }

  closeIdleConnections (): void {
    for (const socket of this.#unwrittenAnswers.keys()) {
      if (runtime.httpServer.isIdle(socket)) socket.destroy()
    }
  }

  /** Stops accepting connections. */
  stopListening (): void {
    // The close method of http.Server would close connections whose answers have not been written out, too.
    net.Server.prototype.close.call(this.#server)
  }

  closeNow (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #trackConnection (socket: net.Socket): void {
    const unwritten = new Set<http.ServerResponse>()
    this.#unwrittenAnswers.set(socket, unwritten)
    socket.on('close', () => {
      this.#unwrittenAnswers.delete(socket)
      this.#inProgress -= unwritten.size
      unwritten.clear()
    })
  }

  #enqueue (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival): void {
    this.#inProgress += 1
    const fail = (error: Error): void => { this.#fail(message, response, error) }
    this.#queue.push({
      hasLeft: () => message.socket.destroyed || message.socket.readableEnded,
      start: () => { this.#handle(message, response, arrival).then(() => { this.#endWhenWritten(message, response) }, fail) },
      reject: () => {
        this.#refuse(message, response, { status: 503, reason: 'the gateway is overloaded', retryAfterMs: this.#overloadRetryAfterMs() }, arrival, this.#options.routeTable())
        this.#endWhenWritten(message, response)
      },
      drop: () => {
        this.#recordUnstarted(message, arrival)
        this.#inProgress -= 1
      },
      fail
    })
  }

  /** Counts a request as in progress until its answer has been written out or its connection has closed. */
  #endWhenWritten (message: http.IncomingMessage, response: http.ServerResponse): void {
    const unwritten = this.#unwrittenAnswers.get(message.socket)
    if (unwritten === undefined || response.writableFinished) {
      this.#inProgress -= 1
      return
    }
    unwritten.add(response)
    response.on('finish', () => {
      if (unwritten.delete(response)) this.#inProgress -= 1
    })
  }

  /** Ends a request after an error in this process. */
  #fail (message: http.IncomingMessage, response: http.ServerResponse, error: Error): void {
    this.#options.logger.error({ event: 'request-error', request: adapter.callerRequest.attemptIdForLog(message), reason: error.stack })
    if (response.headersSent) answers.abortResponse(response)
    else answers.sendRefusal(response, { status: 500, reason: 'internal error' })
    this.#endWhenWritten(message, response)
  }

  /** Spreads the retries of the callers that are rejected at the same time. */
  #overloadRetryAfterMs (): number {
    return OVERLOAD_RETRY_AFTER_MS / 2 + this.#options.random.integer(OVERLOAD_RETRY_AFTER_MS)
  }

  async #handle (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival): Promise<void> {
    arrival.queuedMs = this.#options.clock.now() - arrival.at
    if (this.#isLeaving) response.setHeader('connection', 'close')
    await this.#serve(message, response, arrival)
  }

  #recordArrival (message: http.IncomingMessage): calls.Arrival {
    const readDelayMs = this.#readDelayMeter.measure()
    this.#options.metrics.observeReadDelay(readDelayMs / 1000)
    const requestOnConnection = (this.#requestsOnConnection.get(message.socket) ?? 0) + 1
    this.#requestsOnConnection.set(message.socket, requestOnConnection)
    return { at: this.#options.clock.now(), caller: message.socket.remoteAddress, requestOnConnection, readDelayMs, queuedMs: 0 }
  }

  async #serve (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival): Promise<void> {
    const table = this.#options.routeTable()
    const admission = this.#admit(message, table)
    if ('status' in admission) {
      this.#refuse(message, response, admission, arrival, table)
      return
    }
    const { request, route } = admission
    const deadlineAt = arrival.at + Math.min(request.remainingMs ?? Infinity, route.timeoutMs) - DEADLINE_MARGIN_MS
    const now = this.#options.clock.now()
    if (!this.#options.leavingAdmission.mayStart(route.name, deadlineAt - now, now)) {
      this.#refuse(message, response, answers.LEAVING_REFUSAL, arrival, table)
      return
    }
    if (deadlineAt <= now) {
      this.#refuse(message, response, answers.DEADLINE_REFUSAL, arrival, table)
      return
    }
    const announcedBytes = runtime.bodyReader.announcedBytes(message)
    if (!this.#memory.mayTake(announcedBytes)) {
      this.#refuse(message, response, answers.MEMORY_REFUSAL, arrival, table)
      return
    }
    const reading = announcedBytes !== undefined && announcedBytes > admission.limits.bodyBytes
      ? { kind: 'too-large' as const }
      : await new runtime.bodyReader.BodyReader(message, admission.limits.bodyBytes, this.#memory, this.#options.clock, deadlineAt).read()
    if (reading.kind !== 'whole') {
      this.#refuse(message, response, reading.kind === 'too-large' ? answers.BODY_REFUSAL : answers.MEMORY_REFUSAL, arrival, table)
      return
    }
    try {
      await this.#serveWhole(message, response, arrival, admission, deadlineAt, reading.body)
    } finally {
      reading.release()
    }
  }

  async #serveWhole (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival, admission: AdmittedRequest, deadlineAt: number, body: runtime.byteBlocks.ByteBlocks): Promise<void> {
    const { request, route, account } = admission
    const heldAnswer = this.#connections.holdAnswer(message.socket)
    this.#connections.recordPassedOn(message.socket, response)
    const call: calls.Call = {
      message,
      response,
      heldAnswer,
      request,
      route,
      account,
      body,
      service: decisions.routeTable.pickService(route, this.#options.random),
      rank: account?.rank ?? route.rank,
      agreementVersion: admission.version,
      arrival,
      deadlineAt,
      abortController: new AbortController(),
      abortReason: undefined,
      sends: [],
      sharedParts: request.promptParts.slice(0, -1).map((part) => part.id),
      events: 0,
      lastEventId: request.lastEventId,
      firstEventAt: undefined,
      span: runtime.telemetry.startSpan('request', runtime.telemetry.contextFromHeaders(message.headers), { request: request.attemptId })
    }
    await this.#serveUntilDeadline(call)
    if (response.writableFinished) {
      heldAnswer.setBytes(0)
    } else {
      heldAnswer.setBytes(response.writableLength)
      response.on('finish', () => { heldAnswer.setBytes(0) })
      heldAnswer.limitUnread(response, deadlineAt - this.#options.clock.now())
    }
  }

  /** Serves a call and aborts it when its caller disconnects, its deadline passes or the gateway stops. */
  async #serveUntilDeadline (call: calls.Call): Promise<void> {
    const abort = (reason: calls.AbortReason): void => {
      call.abortReason ??= reason
      call.abortController.abort()
    }
    const onClose = (): void => { if (!call.response.writableFinished) abort('caller') }
    const endWatch = this.#connections.watchClose(call.message.socket, onClose)
    this.#aborts.add(abort)
    const timer = setTimeout(() => { abort('deadline') }, Math.max(0, call.deadlineAt - this.#options.clock.now()))
    try {
      const outcome = await this.#options.flow.serve(call)
      this.#recordOutcome(call, outcome)
    } finally {
      clearTimeout(timer)
      this.#aborts.delete(abort)
      endWatch()
      call.span.end()
    }
  }

  #admit (message: http.IncomingMessage, table: decisions.routeTable.RouteTable | undefined): AdmittedRequest | calls.Refusal {
    if (table === undefined) return { status: 503, reason: 'no agreement is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    if (this.#options.isAgreementOutdated()) return { status: 503, reason: 'a newer agreement is being fetched', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    if (headerSizeBytes(message) > table.agreement.limits.headerBytes) return { status: 431, reason: 'the headers are too large' }
    let request: adapter.callerRequest.CallerRequest
    try {
      request = adapter.callerRequest.decodeCallerRequest(message)
    } catch (error) {
      return { status: 400, reason: (error as Error).message }
    }
    const route = table.match(request.host, request.pathAndQuery)
    if (route === undefined) return this.#refusalOfUnknown(404, 'no route matches')
    const account = request.apiKey === undefined ? undefined : table.accountOfKey(request.apiKey)
    if (table.agreement.accounts !== undefined && !route.anonymous && account === undefined) return this.#refusalOfUnknown(401, 'the key is unknown')
    if (route.streaming && account?.prepaidTokens !== undefined && request.promptTokens === undefined) {
      return { status: 400, reason: 'a model request needs its token counts' }
    }
    if (request.remainingMs !== undefined && request.remainingMs <= DEADLINE_MARGIN_MS) return answers.DEADLINE_REFUSAL
    return { request, route, account, limits: table.agreement.limits, version: table.agreement.version }
  }

  /** Returns a refusal for good only while the agreement is fresh: a newer one may contain the route or key that an old one lacks. */
  #refusalOfUnknown (status: number, reason: string): calls.Refusal {
    if (this.#options.agreementAgeMs() <= MAXIMUM_AUTHORITATIVE_AGE_MS) return { status, reason }
    return { status: 503, reason: `${reason} as far as known; the store has been out of reach`, retryAfterMs: NOT_READY_RETRY_AFTER_MS }
  }

  #refuse (message: http.IncomingMessage, response: http.ServerResponse, refusal: calls.Refusal, arrival: calls.Arrival, table: decisions.routeTable.RouteTable | undefined): void {
    if (mayReadOn(message, table)) {
      answers.sendRefusal(response, refusal)
      message.resume()
    } else {
      answers.sendRefusalAndClose(message, response, refusal)
    }
    this.#options.metrics.observeRequest('none', `refused-${refusal.status}`, 0)
    this.#options.decisionLog.write({
      event: 'request-refused',
      request: adapter.callerRequest.attemptIdForLog(message),
      status: refusal.status,
      reason: refusal.reason,
      agreementVersion: table?.agreement.version,
      agreementAgeMs: Math.round(this.#options.agreementAgeMs()),
      ...arrivalForLog(arrival),
      totalMs: Math.round(this.#options.clock.now() - arrival.at)
    })
  }

  /** Records a request whose caller left before it was started. */
  #recordUnstarted (message: http.IncomingMessage, arrival: calls.Arrival): void {
    this.#options.metrics.observeRequest('none', 'caller-left', 0)
    this.#options.decisionLog.write({
      event: 'request-dropped',
      request: adapter.callerRequest.attemptIdForLog(message),
      reason: 'the caller left',
      ...arrivalForLog(arrival),
      totalMs: Math.round(this.#options.clock.now() - arrival.at)
    })
  }

  #recordOutcome (call: calls.Call, outcome: string): void {
    const now = this.#options.clock.now()
    const totalMs = now - call.arrival.at
    if (outcome === 'answered') this.#options.leavingAdmission.recordDuration(call.route.name, totalMs, now)
    this.#options.metrics.observeRequest(call.route.name, outcome, totalMs / 1000)
    this.#options.decisionLog.write({
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
      promptParts: sharedPartsForLog(call),
      heldPart: call.heldPart,
      permitWaitMs: call.permitWaitMs === undefined ? undefined : Math.round(call.permitWaitMs),
      evacuatedZones: call.evacuatedZones?.length === 0 ? undefined : call.evacuatedZones,
      budget: call.budget,
      waitsMs: call.request.remainingMs,
      ...arrivalForLog(call.arrival),
      sends: call.sends,
      noRetryReason: outcome === 'answered' ? undefined : call.noRetryReason,
      abortReason: call.abortReason,
      events: call.events,
      firstEventMs: call.firstEventAt === undefined ? undefined : Math.round(call.firstEventAt - call.arrival.at),
      totalMs: Math.round(totalMs)
    }, LOST_ANSWER_OUTCOMES.has(outcome) ? logs.LineKind.lostAnswer : logs.LineKind.ordinary)
  }
}

interface AdmittedRequest {
  request: adapter.callerRequest.CallerRequest
  route: decisions.agreementTypes.Route
  account: decisions.agreementTypes.Account | undefined
  limits: decisions.agreementTypes.CallerLimits
  version: number
}

function arrivalForLog ({ caller, requestOnConnection, readDelayMs, queuedMs }: calls.Arrival): Record<string, unknown> {
  return { caller, requestOnConnection, readDelayMs: Math.round(readDelayMs), queuedMs: Math.round(queuedMs) }
}

/** Returns the ids of the prompt parts that other requests may share, if a target may have ended under them. Undefined otherwise, to bound the log. */
function sharedPartsForLog (call: calls.Call): readonly string[] | undefined {
  const hasLostSend = call.sends.some((send) => send.result === 'lost' || send.result === 'cut')
  return hasLostSend ? call.sharedParts : undefined
}

/** Returns the size of the headers on the wire, including separators and line ends. */
function headerSizeBytes (message: http.IncomingMessage): number {
  return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}

/** Returns true if the rest of a refused request has an end within the limit and is read, so that the connection can be used again. */
function mayReadOn (message: http.IncomingMessage, table: decisions.routeTable.RouteTable | undefined): boolean {
  const bytes = runtime.bodyReader.announcedBytes(message)
  return message.complete || (bytes !== undefined && bytes <= (table?.agreement.limits.bodyBytes ?? decisions.memoryYielding.ORDINARY_BODY_BYTES))
}
