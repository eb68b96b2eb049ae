import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'

/** How a target misbehaves. */
export const TargetFault = {
  none: 'none',
  /** Turns requests away as full. */
  full: 'full',
  /** Runs requests and fails them. */
  failing: 'failing',
  /** Runs requests and resets the connection in place of the answer. */
  loseAnswers: 'lose-answers',
  /** Breaks streams off after half of their events, in the middle of one. */
  cutStreams: 'cut-streams',
  /** Answers with the identity of another request. */
  foreignAnswers: 'foreign-answers',
  /** Sends more bytes after a whole answer. */
  extraBytes: 'extra-bytes',
  /** Leaves requests unanswered. */
  mute: 'mute'
} as const
export type TargetFault = typeof TargetFault[keyof typeof TargetFault]

/** Size and speed of a stand-in target. */
export interface PublishedTargetOptions {
  id: string
  service: string
  availabilityZone: string
  slots: number
  /** Time to the first event or the whole answer, in milliseconds. */
  workMs: number
  /** Time between two events, in milliseconds. */
  eventIntervalMs: number
  /** Events of a stream. */
  events: number
}

/** One run of a request, as the target saw it. */
export interface PublishedRun {
  attemptId: string
  account: string | undefined
  path: string
  /** Prompt tokens and most output tokens, as the request stated them. */
  tokenCounts: string | undefined
  /** Set where the run went on after an earlier one. */
  resumedAfter: number | undefined
  keyPassedOn: boolean
  remainingMs: number
  startedAt: number
  /** Events that left the target. */
  sentEvents: number
  /** The caller's connection closed before the run's end. */
  cancelled: boolean
}

const MISDIRECTED = 421

/** Stand-in of a target that speaks the platform's published protocol: a model engine where requests state tokens, else a plain service. */
export class PublishedTarget {
  readonly options: PublishedTargetOptions
  readonly runs: PublishedRun[] = []
  readonly #server = new runtime.httpServer.HttpServer(async (message, response) => { await this.#answer(message, response) })
  #inProgress = 0
  #address = ''
  fault: TargetFault = TargetFault.none
  arrivals = 0

  constructor (options: PublishedTargetOptions) {
    this.options = options
  }

  async listen (port = 0): Promise<string> {
    this.#address = `127.0.0.1:${await this.#server.listen(port, '127.0.0.1')}`
    return this.#address
  }

  close (): void {
    this.#server.closeNow()
  }

  /** The entry under which the target registers in the store. */
  entry (state: 'ready' | 'draining' = 'ready'): object {
    const { service, availabilityZone, slots } = this.options
    return { Service: service, Address: this.#address, Zone: availabilityZone, Version: 'v1', Slots: slots, State: state, ColdRemainingMs: 0, Sequence: 1 }
  }

  async #answer (message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await runtime.httpCall.readBody(message)
    this.arrivals += 1
    const attemptId = String(message.headers['attempt-id'])
    if (message.headers['expect-replica'] !== this.options.id) {
      response.writeHead(MISDIRECTED, { 'attempt-id': attemptId, 'not-executed': '1' }).end()
      return
    }
    if (this.fault === TargetFault.full || this.#inProgress >= this.options.slots) {
      response.writeHead(503, { 'attempt-id': attemptId, 'not-executed': '1' }).end()
      return
    }
    const run = this.#start(message, attemptId)
    response.on('close', () => { run.cancelled ||= !response.writableFinished })
    this.#inProgress += 1
    try {
      if (this.fault === TargetFault.mute) return
      await pause(this.options.workMs)
      await this.#finish(message, response, run, body)
    } finally {
      this.#inProgress -= 1
    }
  }

  #start (message: http.IncomingMessage, attemptId: string): PublishedRun {
    const after = message.headers['last-event-id']
    const run: PublishedRun = {
      attemptId,
      account: message.headers.tenant as string | undefined,
      path: message.url ?? '',
      tokenCounts: message.headers['token-counts'] as string | undefined,
      resumedAfter: after === undefined ? undefined : Number(after),
      keyPassedOn: message.headers['api-key'] !== undefined,
      remainingMs: Number(message.headers['deadline-remaining-ms']),
      startedAt: performance.now(),
      sentEvents: 0,
      cancelled: false
    }
    this.runs.push(run)
    return run
  }

  async #finish (message: http.IncomingMessage, response: http.ServerResponse, run: PublishedRun, body: string): Promise<void> {
    const echoed = this.fault === TargetFault.foreignAnswers ? 'another-request' : run.attemptId
    const headers = { 'attempt-id': echoed, 'replica-seal': `seal-${this.options.id}` }
    if (this.fault === TargetFault.loseAnswers) { message.socket.resetAndDestroy(); return }
    if (this.fault === TargetFault.failing) { response.writeHead(500, headers).end('failed'); return }
    if (run.tokenCounts !== undefined) { await this.#stream(message, response, run, headers); return }
    const text = `${this.options.service} ran ${run.path} with ${body.length} bytes`
    response.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(text) })
    response.end(text)
    if (this.fault === TargetFault.extraBytes) message.socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: nobody\r\nContent-Length: 0\r\n\r\n')
  }

  async #stream (message: http.IncomingMessage, response: http.ServerResponse, run: PublishedRun, headers: Record<string, string>): Promise<void> {
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    const { events, eventIntervalMs } = this.options
    for (let id = (run.resumedAfter ?? 0) + 1; id <= events; id++) {
      if (response.destroyed) return
      if (this.fault === TargetFault.cutStreams && id > events / 2) {
        response.write(`id: ${id}\nda`, () => { message.socket.resetAndDestroy() })
        return
      }
      response.write(`id: ${id}\ndata: piece ${id} of ${run.attemptId}\n\n`)
      run.sentEvents += 1
      await pause(eventIntervalMs)
    }
    response.end()
  }
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
