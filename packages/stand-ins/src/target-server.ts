import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Faults of a stand-in target. */
export const TargetFault = {
  none: 'none',
  /** Rejects requests with 503 because no slot is free. */
  full: 'full',
  /** Runs requests and answers them with 500. */
  failing: 'failing',
  /** Runs requests and resets the connection instead of answering. */
  loseAnswers: 'lose-answers',
  /** Resets the connection of a stream in the middle of an event, after half of the events. */
  cutStreams: 'cut-streams',
  /** Answers without a length or chunks; the end of the connection ends the answer. */
  closeDelimited: 'close-delimited',
  /** The same, but the connection of a stream ends inside an event, after half of the events. */
  closeInsideEvent: 'close-inside-event',
  /** The same, but the connection of a stream is reset between two events, after half of them. */
  resetBetweenEvents: 'reset-between-events',
  /** Answers with the attempt id of another request. */
  foreignAnswers: 'foreign-answers',
  /** Sends an unsolicited answer after a whole one; plain services only. */
  extraBytes: 'extra-bytes',
  /** Runs requests and never answers them. */
  mute: 'mute',
  /** Sends nothing, and goes on when the fault is over. */
  silent: 'silent',
  /** Sends bytes that are not HTTP, without end. */
  endlessGarbage: 'endless-garbage',
  /** Sends blank lines before the status line, without end. */
  endlessBlankLines: 'endless-blank-lines',
  /** Sends a header value without end. */
  endlessHeader: 'endless-header',
  /** Sends interim responses (103) without end. */
  endlessInterimResponses: 'endless-interim-responses',
  /** Sends a signed head and then a body without a length and without end, which holds no complete event. */
  endlessBody: 'endless-body',
  /** The same with a chunked body. */
  endlessChunks: 'endless-chunks',
  /** Runs requests and answers them with 101, for which nobody asked. */
  unaskedUpgrade: 'unasked-upgrade',
  /** The same without the headers that belong to it. */
  bareUpgrade: 'bare-upgrade',
  /** Runs requests, sends an interim response (103) and closes the connection. */
  interimThenClose: 'interim-then-close'
} as const
export type TargetFault = typeof TargetFault[keyof typeof TargetFault]

/** When a target crashes under a request with a crashing prompt part. */
export const CrashMoment = { beforeHead: 'before-head', afterHead: 'after-head', afterEvents: 'after-events' } as const
export type CrashMoment = typeof CrashMoment[keyof typeof CrashMoment]

/** Events that reach the gateway before a crash at `afterEvents`. */
const EVENTS_BEFORE_CRASH = 2

/** Requests within one second under which a cold target crashes: this multiple of its rate, and this many more. */
const COLD_CRASH_FACTOR = 1.5
const COLD_CRASH_REQUESTS = 5

/** Identity, capacity and timing of a stand-in target. */
export interface TargetOptions {
  id: string
  service: string
  availabilityZone: string
  slots: number
  /** Time to the first event or to the whole answer, in milliseconds. */
  workMs: number
  /** Time between two events, in milliseconds. */
  eventIntervalMs: number
  /** Number of events in a stream. */
  events: number
  /** Least size of the answer of a plain service, in bytes. */
  answerBytes: number
}

/** One run of a request, as the target observed it. */
export interface TargetRun {
  attemptId: string
  account: string | undefined
  path: string
  /** `PROMPT,OUTPUT`: prompt tokens and maximum output tokens, as the request states them; undefined for a plain service. */
  tokenCounts: string | undefined
  /** Ids of the prompt parts, in order. */
  parts: string[]
  /** Last event id from which the run continues a stream; undefined if it starts one. */
  lastEventId: number | undefined
  /** The request carried the caller's API key. */
  wasKeyForwarded: boolean
  /** Names of the request's headers, in lower case. */
  headerNames: string[]
  /** Remaining time until the caller's deadline, as the request states it. */
  remainingMs: number
  startedAt: number
  sentEvents: number
  /** The gateway's connection closed before the answer was complete. */
  wasCancelled: boolean
}

const CLOSE_DELIMITED_FAULTS = new Set<TargetFault>([TargetFault.closeDelimited, TargetFault.closeInsideEvent, TargetFault.resetBetweenEvents])

/** Interval at which a silent target checks whether it goes on, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 10

const MISDIRECTED_REQUEST = 421

const FILLER = 'x'.repeat(65_536)

/** What a target sends before the bytes that it repeats, and these bytes. */
interface EndlessAnswer {
  start: string
  repeated: string
}

/** Endless answers by fault; `signedHead` holds the status line and headers that make an answer count. */
const endlessAnswers: Partial<Record<TargetFault, (signedHead: string) => EndlessAnswer>> = {
  [TargetFault.endlessGarbage]: () => ({ start: '', repeated: FILLER }),
  [TargetFault.endlessBlankLines]: () => ({ start: '', repeated: '\r\n'.repeat(32_768) }),
  [TargetFault.endlessHeader]: () => ({ start: 'HTTP/1.1 200 OK\r\nFiller: ', repeated: FILLER }),
  [TargetFault.endlessInterimResponses]: () => ({ start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1000) }),
  [TargetFault.endlessBody]: (signedHead) => ({ start: `${signedHead}\r\n`, repeated: FILLER }),
  [TargetFault.endlessChunks]: (signedHead) => ({ start: `${signedHead}Transfer-Encoding: chunked\r\n\r\n`, repeated: `10000\r\n${FILLER}\r\n` })
}

/** Answers by fault that are sent as they are, without a final response. */
const unusableAnswers: Partial<Record<TargetFault, { text: string, closes: boolean }>> = {
  [TargetFault.unaskedUpgrade]: { text: 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n?', closes: false },
  [TargetFault.bareUpgrade]: { text: 'HTTP/1.1 101 Switching Protocols\r\n\r\n', closes: false },
  [TargetFault.interimThenClose]: { text: 'HTTP/1.1 103 Early Hints\r\n\r\n', closes: true }
}

/**
 * A stand-in for a target with the platform's published protocol. It answers a request that states token counts as a model engine
 * does, any other as a plain service.
 */
export class TargetServer {
  readonly options: TargetOptions
  readonly runs: TargetRun[] = []
  readonly #server = new runtime.httpServer.HttpServer(async (message, response) => { await this.#handle(message, response) })
  #inProgress = 0
  #address = ''
  fault: TargetFault = TargetFault.none
  /** Prompt parts under which the target crashes. The last part of a prompt has no effect. */
  crashingParts: ReadonlyMap<string, CrashMoment> = new Map()
  /** Called when the target has crashed. */
  onCrash: () => void = () => {}
  readonly #sockets = new Set<net.Socket>()
  #hasCrashed = false
  /** Requests a second that the target names in its answers as the most that it takes. It runs more all the same. */
  limitPerSecond: number | undefined
  /** The target says in all answers that it is leaving. */
  saysLeaving = false
  /** Seconds that the target adds to its rejections, as the time for which it wants nothing from the gateway; as text, as it sends them. */
  retryAfter: string | undefined
  #coldSince = -Infinity
  #coldUntil = -Infinity
  #coldPerSecond = Infinity
  /** Requests received, also those that it rejected. */
  receivedRequests = 0
  /** Times at which these were received. */
  readonly arrivals: number[] = []
  /** Connections on which an endless answer is being sent. */
  endlessAnswers = 0

  constructor (options: TargetOptions) {
    this.options = options
    this.#server.onConnection((socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  /** Becomes cold for a time. Meanwhile the target crashes if it gets far more requests within one second than `perSecond`. */
  becomeCold (milliseconds: number, perSecond: number): void {
    this.#coldSince = performance.now()
    this.#coldUntil = this.#coldSince + milliseconds
    this.#coldPerSecond = perSecond
  }

  get coldRemainingMs (): number {
    return Math.max(0, Math.round(this.#coldUntil - performance.now()))
  }

  get hasCrashed (): boolean {
    return this.#hasCrashed
  }

  /** Listens on a loopback port, by default a free one, and returns the address. */
  async listen (port = 0): Promise<string> {
    this.#address = `127.0.0.1:${await this.#server.listen(port, '127.0.0.1')}`
    return this.#address
  }

  close (): void {
    this.#server.closeNow()
  }

  /** Ends as a process does that is killed: stops listening and resets all connections. */
  crash (): void {
    if (this.#hasCrashed) return
    this.#hasCrashed = true
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#server.closeNow()
    this.onCrash()
  }

  /** Returns the object with which the target registers in the store. */
  registryEntry (state: 'ready' | 'draining' = 'ready'): object {
    const { service, availabilityZone, slots } = this.options
    return { Service: service, Address: this.#address, Zone: availabilityZone, Version: 'v1', Slots: slots, State: state, ColdRemainingMs: this.coldRemainingMs, Sequence: 1 }
  }

  async #handle (message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await runtime.httpCall.readBody(message)
    this.receivedRequests += 1
    this.arrivals.push(performance.now())
    if (this.limitPerSecond !== undefined) response.setHeader('server-limit', String(this.limitPerSecond))
    if (this.saysLeaving) response.setHeader('server-leaving', '1')
    const attemptId = String(message.headers['attempt-id'])
    if (message.headers['expect-replica'] !== this.options.id) {
      response.writeHead(MISDIRECTED_REQUEST, { 'attempt-id': attemptId, 'not-executed': '1' }).end()
      return
    }
    if (this.#isOverrunWhileCold()) { this.crash(); return }
    if (this.fault === TargetFault.full || this.#inProgress >= this.options.slots) {
      if (this.retryAfter !== undefined) response.setHeader('retry-after', this.retryAfter)
      response.writeHead(503, { 'attempt-id': attemptId, 'not-executed': '1' }).end()
      return
    }
    const run = this.#startRun(message, attemptId)
    response.on('close', () => { run.wasCancelled ||= !response.writableFinished })
    this.#inProgress += 1
    try {
      if (this.fault === TargetFault.mute) return
      const endless = endlessAnswers[this.fault]?.(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nReplica-Seal: seal-${this.options.id}\r\n`)
      if (endless !== undefined) { await this.#sendUntilClosed(message.socket, endless); return }
      await sleep(this.options.workMs)
      await this.#waitUntilNotSilent()
      await this.#finishRun(message, response, run, body)
    } finally {
      this.#inProgress -= 1
    }
  }

  #isOverrunWhileCold (): boolean {
    const from = Math.max(this.#coldSince, performance.now() - 1000)
    const lastSecond = this.arrivals.filter((at) => at > from)
    return this.coldRemainingMs > 0 && lastSecond.length > this.#coldPerSecond * COLD_CRASH_FACTOR + COLD_CRASH_REQUESTS
  }

  async #waitUntilNotSilent (): Promise<void> {
    while (this.fault === TargetFault.silent) await sleep(SILENCE_CHECK_INTERVAL_MS)
  }

  async #sendUntilClosed (socket: net.Socket, { start, repeated }: EndlessAnswer): Promise<void> {
    this.endlessAnswers += 1
    const closed = new Promise<void>((resolve) => { socket.on('close', () => { resolve() }) })
    socket.write(start)
    while (!socket.destroyed) {
      const hasRoom = socket.write(repeated)
      await (hasRoom ? sleep(0) : Promise.race([closed, new Promise<void>((resolve) => { socket.once('drain', resolve) })]))
    }
    this.endlessAnswers -= 1
  }

  #startRun (message: http.IncomingMessage, attemptId: string): TargetRun {
    const lastEventId = message.headers['last-event-id']
    const run: TargetRun = {
      attemptId,
      account: message.headers.tenant as string | undefined,
      path: message.url ?? '',
      tokenCounts: message.headers['token-counts'] as string | undefined,
      parts: partIds(message),
      lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
      wasKeyForwarded: message.headers['api-key'] !== undefined,
      headerNames: message.rawHeaders.filter((_text, index) => index % 2 === 0).map((name) => name.toLowerCase()),
      remainingMs: Number(message.headers['deadline-remaining-ms']),
      startedAt: performance.now(),
      sentEvents: 0,
      wasCancelled: false
    }
    this.runs.push(run)
    return run
  }

  async #finishRun (message: http.IncomingMessage, response: http.ServerResponse, run: TargetRun, body: string): Promise<void> {
    const answeredId = this.fault === TargetFault.foreignAnswers ? 'another-request' : run.attemptId
    const headers = { 'attempt-id': answeredId, 'replica-seal': `seal-${this.options.id}` }
    if (this.fault === TargetFault.loseAnswers) { message.socket.resetAndDestroy(); return }
    if (this.#crashMoment(run) === CrashMoment.beforeHead) { this.crash(); return }
    const unusable = unusableAnswers[this.fault]
    if (unusable !== undefined) {
      message.socket.write(unusable.text)
      if (unusable.closes) message.socket.end()
      return
    }
    if (this.fault === TargetFault.failing) { response.writeHead(500, headers).end('failed'); return }
    const isCloseDelimited = CLOSE_DELIMITED_FAULTS.has(this.fault)
    // Without this header, Node neither sends chunks nor keeps the connection.
    if (isCloseDelimited) response.removeHeader('transfer-encoding')
    if (run.tokenCounts !== undefined) { await this.#streamEvents(message, response, run, headers); return }
    const text = `${this.options.service} ran ${run.path} with ${body.length} bytes`.padEnd(this.options.answerBytes)
    response.writeHead(200, isCloseDelimited ? headers : { ...headers, 'content-length': Buffer.byteLength(text) })
    response.end(text)
    if (this.fault === TargetFault.extraBytes) message.socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: nobody\r\nContent-Length: 0\r\n\r\n')
  }

  #crashMoment (run: TargetRun): CrashMoment | undefined {
    const part = run.parts.slice(0, -1).find((id) => this.crashingParts.has(id))
    return part === undefined ? undefined : this.crashingParts.get(part)
  }

  async #streamEvents (message: http.IncomingMessage, response: http.ServerResponse, run: TargetRun, headers: Record<string, string>): Promise<void> {
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    const { events, eventIntervalMs } = this.options
    const crashMoment = this.#crashMoment(run)
    if (crashMoment === CrashMoment.afterHead) {
      response.flushHeaders()
      await sleep(eventIntervalMs)
      this.crash()
      return
    }
    for (let id = (run.lastEventId ?? 0) + 1; id <= events; id++) {
      if (response.destroyed) return
      if (crashMoment === CrashMoment.afterEvents && run.sentEvents === EVENTS_BEFORE_CRASH) { this.crash(); return }
      if (this.fault === TargetFault.cutStreams && id > events / 2) {
        response.write(`id: ${id}\nda`, () => { message.socket.resetAndDestroy() })
        return
      }
      if (this.fault === TargetFault.closeInsideEvent && id > events / 2) {
        response.end(`id: ${id}\nda`)
        return
      }
      if (this.fault === TargetFault.resetBetweenEvents && id > events / 2) {
        message.socket.resetAndDestroy()
        return
      }
      await this.#waitUntilNotSilent()
      response.write(`id: ${id}\ndata: piece ${id} of ${run.attemptId}\n\n`)
      run.sentEvents += 1
      await sleep(eventIntervalMs)
    }
    response.end()
  }
}

function partIds (message: http.IncomingMessage): string[] {
  const prefix = message.headers['prompt-prefix']
  return typeof prefix === 'string' ? prefix.split(',').map((entry) => entry.split(':')[0]) : []
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
