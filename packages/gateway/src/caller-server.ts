import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as answers from './answers.js'
import * as callerConnections from './caller-connections.js'
import type * as calls from './call.js'
import * as connectionGates from './connection-gate.js'
import type * as logs from './decision-log.js'
import type * as metrics from './gateway-metrics.js'
import * as requestAdmissions from './request-admission.js'
import type * as flows from './request-flow.js'
import * as requestLogs from './request-log.js'
import * as progress from './requests-in-progress.js'

/** Hard limit of Node's parser on the header block, in bytes. The agreement's own limit is checked once the headers are parsed. */
const MAXIMUM_HEADER_BYTES = 65_536

/** Interval at which Node checks for headers and bodies that arrive too slowly, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1000

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1024

/** Mean retry-after delay of requests that an overloaded gateway rejects, in milliseconds. */
const OVERLOAD_RETRY_AFTER_MS = 800

export interface CallerServerOptions extends requestAdmissions.RequestAdmissionOptions {
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
  connectionAdmission: decisions.connectionAdmission.ConnectionAdmission
}

/** HTTP server for callers: admits requests by the agreement in force and passes them to the request flow. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: http.Server
  readonly #readDelayMeter = new runtime.readDelay.ReadDelayMeter()
  readonly #requestsOnConnection = new WeakMap<net.Socket, number>()
  /** Aborts of the calls in progress. */
  readonly #aborts = new Set<(reason: calls.AbortReason) => void>()
  readonly #queue: runtime.admissionQueue.AdmissionQueue
  readonly #connections: callerConnections.CallerConnections
  readonly #memory: runtime.memoryAccount.MemoryAccount
  readonly #progress = new progress.RequestsInProgress()
  readonly #listener: runtime.reopenListener.PausableListener
  readonly #gate: connectionGates.ConnectionGate
  readonly #admission: requestAdmissions.RequestAdmission
  readonly #log: requestLogs.RequestLog
  #isLeaving = false

  constructor (options: CallerServerOptions) {
    this.#options = options
    this.#admission = new requestAdmissions.RequestAdmission(options)
    this.#log = new requestLogs.RequestLog(options)
    const serverOptions = { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS }
    this.#server = http.createServer(serverOptions, (message, response) => {
      const arrival = this.#recordArrival(message)
      this.#connections.takeRequest(message.socket, response, () => { this.#enqueue(message, response, arrival) })
    })
    this.#listener = new runtime.reopenListener.PausableListener(this.#server, LISTEN_BACKLOG)
    this.#gate = new connectionGates.ConnectionGate({ ...options, admission: options.connectionAdmission, waitingRequests: () => this.#queue.length }, this.#listener)
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
      this.#gate.recordConnection()
      this.#progress.trackConnection(socket)
    })
  }

  /** Requests whose answers have not been written out and whose callers are connected, or that are still being served. */
  get inProgress (): number {
    return this.#progress.count
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

  async listen (port: number, address: string): Promise<void> {
    await this.#listener.listen(port, address)
  }

  #dropWaitingConnections (): void {
    if (!this.#server.listening) return
    this.#options.metrics.countConnectionDrop()
    this.#options.logger.warn({ event: 'connections-dropped', waitingRequests: this.#queue.length, inProgress: this.#progress.count })
    this.#listener.dropWaiting()
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
    this.#gate.stayOpen()
    this.#options.leavingAdmission.startLeaving(this.#options.clock.now(), stopAt)
  }

  /** Ends the requests in progress: with an answer where none has begun. */
  endRequests (): void {
    for (const abort of this.#aborts) abort('stop')
  }

  closeIdleConnections (): void {
    this.#progress.closeIdleConnections()
  }

  /** Stops accepting connections. */
  stopListening (): void {
    this.#listener.close()
  }

  closeNow (): void {
    this.#listener.close()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #enqueue (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival): void {
    this.#progress.begin()
    const fail = (error: Error): void => { this.#fail(message, response, error) }
    this.#queue.push({
      hasLeft: () => message.socket.destroyed || message.socket.readableEnded,
      start: () => { this.#handle(message, response, arrival).then(() => { this.#progress.endWhenWritten(message, response) }, fail) },
      reject: () => {
        this.#refuse(message, response, { status: 503, reason: 'the gateway is overloaded', retryAfterMs: this.#overloadRetryAfterMs() }, arrival, this.#options.routeTable())
        this.#progress.endWhenWritten(message, response)
      },
      drop: () => {
        this.#log.recordUnstarted(message, arrival)
        this.#progress.end()
      },
      fail
    })
  }

  /** Ends a request after an error in this process. */
  #fail (message: http.IncomingMessage, response: http.ServerResponse, error: Error): void {
    this.#options.logger.error({ event: 'request-error', request: adapter.callerRequest.attemptIdForLog(message), reason: error.stack })
    if (response.headersSent) answers.abortResponse(response)
    else answers.sendRefusal(response, { status: 500, reason: 'internal error' })
    this.#progress.endWhenWritten(message, response)
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
    this.#gate.recordReadDelay(readDelayMs)
    const requestOnConnection = (this.#requestsOnConnection.get(message.socket) ?? 0) + 1
    this.#requestsOnConnection.set(message.socket, requestOnConnection)
    return { at: this.#options.clock.now(), caller: message.socket.remoteAddress, requestOnConnection, readDelayMs, queuedMs: 0 }
  }

  async #serve (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival): Promise<void> {
    const table = this.#options.routeTable()
    const admission = this.#admission.admit(message)
    if ('status' in admission) {
      this.#refuse(message, response, admission, arrival, table)
      return
    }
    const { request, route } = admission
    const deadlineAt = arrival.at + Math.min(request.remainingMs ?? Infinity, route.timeoutMs) - requestAdmissions.DEADLINE_MARGIN_MS
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

  async #serveWhole (message: http.IncomingMessage, response: http.ServerResponse, arrival: calls.Arrival, admission: requestAdmissions.AdmittedRequest, deadlineAt: number, body: runtime.byteBlocks.ByteBlocks): Promise<void> {
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
      const now = this.#options.clock.now()
      if (outcome === 'answered') this.#options.leavingAdmission.recordDuration(call.route.name, now - call.arrival.at, now)
      this.#log.recordOutcome(call, outcome)
    } finally {
      clearTimeout(timer)
      this.#aborts.delete(abort)
      endWatch()
      call.span.end()
    }
  }

  #refuse (message: http.IncomingMessage, response: http.ServerResponse, refusal: calls.Refusal, arrival: calls.Arrival, table: decisions.routeTable.RouteTable | undefined): void {
    if (mayReadOn(message, table)) {
      answers.sendRefusal(response, refusal)
      message.resume()
    } else {
      answers.sendRefusalAndClose(message, response, refusal)
    }
    this.#log.recordRefusal(message, refusal, arrival, table?.agreement.version)
  }
}

/** Returns true if the rest of a refused request has an end within the limit and is read, so that the connection can be used again. */
function mayReadOn (message: http.IncomingMessage, table: decisions.routeTable.RouteTable | undefined): boolean {
  const bytes = runtime.bodyReader.announcedBytes(message)
  return message.complete || (bytes !== undefined && bytes <= (table?.agreement.limits.bodyBytes ?? decisions.memoryYielding.ORDINARY_BODY_BYTES))
}
