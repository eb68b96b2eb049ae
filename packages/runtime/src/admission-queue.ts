import type * as decisions from '@acaciaweir/decisions'

/** Longest time for which one turn starts requests before the event loop polls again, in milliseconds. */
const TURN_MS = 10

/** Longest wait of a request in the queue, in milliseconds. A request that waits longer is rejected. */
const MAXIMUM_WAIT_MS = 250

/** Longest time for which waiting connections delay the requests of accepted ones, in milliseconds. */
const MAXIMUM_ACCEPT_PRIORITY_MS = 50

/** Time for which connections may wait without a gap before those that wait are reset, in milliseconds. */
const MAXIMUM_ACCEPT_BACKLOG_MS = 600

/** Dependencies of an admission queue. */
export interface AdmissionQueueOptions {
  clock: decisions.clock.Clock
  /** Resets the connections that wait to be accepted. */
  dropWaitingConnections: () => void
}

/** A request that has been read but not started. */
export interface WaitingRequest {
  /** Returns true if the caller has closed its connection. */
  hasLeft: () => boolean
  start: () => void
  /** Answers that the request was not run, because the process is overloaded. */
  reject: () => void
  /** Ends a request whose caller has left. */
  drop: () => void
  /** Ends a request for which one of the above has thrown. Must not throw. */
  fail: (error: Error) => void
}

interface Entry {
  request: WaitingRequest
  queuedAt: number
  /** Turn during which the request was queued. */
  turn: number
}

/**
 * Starts requests between two polls of the event loop, a few at a time, so that an overloaded process keeps reading and accepting. The
 * event loop accepts one connection in each iteration, so long iterations would leave callers waiting in the accept queue.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions
  /** Requests in order of arrival. */
  #entries: Entry[] = []
  #turn = 0
  #isScheduled = false
  #hasNewConnection = false
  #lastStartAt = -Infinity
  #acceptBacklogSince: number | undefined

  constructor (options: AdmissionQueueOptions) {
    this.#options = options
  }

  /** Number of requests that are waiting. */
  get length (): number {
    return this.#entries.length
  }

  /** Queues a request. Exactly one of its `start`, `reject` and `drop` is called, in a later iteration of the event loop, and `fail` if that one throws. */
  push (request: WaitingRequest): void {
    this.#entries.push({ request, queuedAt: this.#options.clock.now(), turn: this.#turn })
    this.#schedule()
  }

  /** Call it for each new connection. */
  recordConnection (): void {
    this.#hasNewConnection = true
    this.#acceptBacklogSince ??= this.#options.clock.now()
    this.#schedule()
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      this.#runTurn()
    })
  }

  #runTurn (): void {
    const now = this.#options.clock.now()
    const hasAcceptBacklog = this.#hasNewConnection
    this.#hasNewConnection = false
    if (!hasAcceptBacklog) this.#acceptBacklogSince = undefined
    this.#limitAcceptBacklog(now)
    if (!hasAcceptBacklog || now - this.#lastStartAt > MAXIMUM_ACCEPT_PRIORITY_MS) this.#startRequests(now)
    this.#turn += 1
    if (hasAcceptBacklog || this.#entries.length > 0) this.#schedule()
  }

  #limitAcceptBacklog (now: number): void {
    if (this.#acceptBacklogSince === undefined || now - this.#acceptBacklogSince <= MAXIMUM_ACCEPT_BACKLOG_MS) return
    this.#acceptBacklogSince = undefined
    this.#options.dropWaitingConnections()
  }

  /** Ends the requests that have waited too long or whose callers have left, and starts others, newest first. */
  #startRequests (now: number): void {
    this.#lastStartAt = now
    this.#endHopelessRequests(now)
    // A request waits for one poll, which tells whether its caller has left.
    const polled = this.#entries.filter((entry) => entry.turn < this.#turn)
    const unpolled = this.#entries.filter((entry) => entry.turn === this.#turn)
    while (polled.length > 0 && this.#options.clock.now() - now < TURN_MS) this.#end(polled.pop(), 'start')
    this.#entries = [...polled, ...unpolled]
  }

  #endHopelessRequests (now: number): void {
    const remaining: Entry[] = []
    for (const entry of this.#entries) {
      if (this.#options.clock.now() - now > TURN_MS / 2) remaining.push(entry)
      else if (entry.request.hasLeft()) this.#end(entry, 'drop')
      else if (now - entry.queuedAt > MAXIMUM_WAIT_MS) this.#end(entry, 'reject')
      else remaining.push(entry)
    }
    this.#entries = remaining
  }

  /** Calls a step of a request. An error ends that request alone: it must neither end the process nor keep others from their turn. */
  #end (entry: Entry | undefined, step: 'start' | 'reject' | 'drop'): void {
    try {
      entry?.request[step]()
    } catch (error) {
      entry?.request.fail(error as Error)
    }
  }
}
