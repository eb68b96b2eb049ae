import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as pattern from 'ts-pattern'
import type * as http from 'node:http'
import * as answers from './answers.js'
import type * as calls from './call.js'
import * as relays from './stream-relay.js'
import * as connections from './target-connections.js'
import * as tokens from './token-task.js'

const { Repetition } = decisions.agreementTypes
const { TargetResult } = decisions.targetBoard
const { DispatchKnowledge } = decisions.retryRules

/** Pause after which a caller may come back where all targets are full, in milliseconds. */
const FULL_RETRY_AFTER_MS = 400

/** Pause after which a caller may come back where the budget cannot be reached, in milliseconds. */
const BUDGET_RETRY_AFTER_MS = 1000

/** Share of the remaining time that one send of a repeatable request may take while another target could be asked. */
const FIRST_SEND_SHARE = 0.5

/** Least silence after which a stream that may be resumed moves to another target, in milliseconds. */
const LEAST_STREAM_SILENCE_MS = 1200

/** The same as a multiple of the route's latency objective; the longer counts. Callers give up after four objectives. */
const STREAM_SILENCE_OBJECTIVES = 3

/** What serving a call needs. */
export interface RequestFlowOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  connections: connections.TargetConnections
  tokens: tokens.TokenTask
  allowance: decisions.retryAllowance.RetryAllowance
  availabilityZone: string
  service: (name: string) => decisions.agreementTypes.Service | undefined
  /** Live gateways, this one included. */
  gateways: () => number
  onFirstEvent: (milliseconds: number) => void
}

/** How sending a request to one target ended. */
export type SendOutcome =
  | { kind: 'answered', status: number }
  /** The target did not run it and nothing reached the caller. */
  | { kind: 'not-run', reason: string }
  /** It may have run; nothing reached the caller. */
  | { kind: 'lost', reason: string }
  /** The target's own failure, not yet passed on. */
  | { kind: 'failed', answer: BufferedAnswer }
  /** A stream broke off after events reached the caller. */
  | { kind: 'cut', reason: string }

/** A target's whole answer, kept back. */
export interface BufferedAnswer {
  status: number
  headers: http.OutgoingHttpHeaders
  body: Buffer
}

/** Serves admitted calls: reserves tokens, chooses targets, sends, repeats where that is safe, and settles. */
export class RequestFlow {
  readonly #options: RequestFlowOptions

  constructor (options: RequestFlowOptions) {
    this.#options = options
  }

  /** Serves a call to its end. Returns the outcome for the log. */
  async serve (call: calls.Call): Promise<string> {
    this.#options.allowance.noteRequest(call.service, this.#options.clock.now())
    const reservation = this.#worstCase(call)
    if (reservation > 0) {
      const refusal = await this.#reserve(call, reservation)
      if (refusal !== undefined) return refusal
    }
    try {
      return await this.#sendUntilEnded(call)
    } finally {
      if (reservation > 0) this.#settle(call, reservation)
    }
  }

  #worstCase (call: calls.Call): number {
    if (call.account?.prepaidTokens === undefined || call.request.promptTokens === undefined) return 0
    return call.request.promptTokens + (call.request.maximumOutputTokens ?? 0)
  }

  async #reserve (call: calls.Call, worstCase: number): Promise<string | undefined> {
    const outcome = await this.#options.tokens.reserve(call.account?.name ?? '', worstCase)
    if (outcome === tokens.ReserveOutcome.reserved) return undefined
    call.budget = { wanted: worstCase, ...this.#options.tokens.inputs(call.account?.name ?? '') }
    if (outcome === tokens.ReserveOutcome.exhausted) {
      answers.refuse(call.response, { status: 402, reason: 'the request does not fit into the prepaid budget' })
      return 'budget-exhausted'
    }
    this.#refuse(call, 503, 'the budget cannot be drawn on now', BUDGET_RETRY_AFTER_MS)
    return 'budget-unreachable'
  }

  /** Charges the prompt once it may have run, and the output that was passed on. */
  #settle (call: calls.Call, reservation: number): void {
    const mayHaveRun = call.sends.some((send) => send.result !== 'not-run')
    const perEvent = this.#options.service(call.service)?.engine?.tokensPerEvent ?? 1
    const output = Math.min(call.events * perEvent, call.request.maximumOutputTokens ?? Infinity)
    const spent = mayHaveRun ? (call.request.promptTokens ?? 0) + output : 0
    this.#options.tokens.settle(call.account?.name ?? '', reservation, spent)
  }

  async #sendUntilEnded (call: calls.Call): Promise<string> {
    const tried = new Set<string>()
    let ran = 0
    let lastFailure: SendOutcome | undefined
    while (call.endedBy === undefined) {
      const placement = this.#choose(call, tried)
      if (placement === undefined || (tried.size > 0 && !this.#mayRepeat(call))) break
      tried.add(placement.target.entry.id)
      const outcome = await this.#send(call, placement)
      if (outcome.kind === 'answered') return 'answered'
      lastFailure = outcome
      if (outcome.kind !== 'not-run') ran += 1
      if (!this.#goesOn(call, outcome, ran)) break
    }
    return this.#giveUp(call, lastFailure)
  }

  #choose (call: calls.Call, tried: ReadonlySet<string>): decisions.placement.Placement | undefined {
    return decisions.placement.chooseTarget(this.#options.board, {
      service: call.service,
      sharedParts: call.request.promptParts.slice(0, -1),
      promptTokens: call.request.promptTokens ?? 0,
      availabilityZone: this.#options.availabilityZone
    }, tried, this.#options.clock.now())
  }

  #mayRepeat (call: calls.Call): boolean {
    return this.#options.allowance.tryRepeat(call.service, this.#options.gateways(), this.#options.clock.now())
  }

  /** Whether another target may be asked after a failed send. */
  #goesOn (call: calls.Call, outcome: SendOutcome, ran: number): boolean {
    if (call.endedBy !== undefined) return false
    if (outcome.kind === 'not-run') return true
    if (call.route.repetition === Repetition.atMostOnce || ran >= call.route.maximumTargets) return false
    return outcome.kind !== 'cut' || call.route.resumable
  }

  async #send (call: calls.Call, placement: decisions.placement.Placement): Promise<SendOutcome> {
    const { board, clock } = this.#options
    const target = placement.target.entry
    const startedAt = clock.now()
    const unreadTokens = decisions.placement.readingCost(call.request.promptTokens ?? 0)
    let unread = unreadTokens
    const promptRead = (): void => {
      board.promptRead(target.id, unread)
      unread = 0
    }
    const span = runtime.telemetry.startSpan('target', call.span, { target: target.id })
    board.started(target.id, unreadTokens, call.request.promptParts.map((part) => part.id), startedAt)
    const outcome = await this.#exchange(call, placement, promptRead, span)
    promptRead()
    board.ended(target.id, healthOf(call, outcome), clock.now())
    span.end()
    call.sends.push({ target: target.id, copyFrom: placement.copyFrom?.entry.id, result: resultOf(outcome), reason: 'reason' in outcome ? outcome.reason : undefined, milliseconds: Math.round(clock.now() - startedAt) })
    return outcome
  }

  async #exchange (call: calls.Call, placement: decisions.placement.Placement, promptRead: () => void, span: Parameters<typeof runtime.telemetry.headersFromSpan>[0]): Promise<SendOutcome> {
    const sendEnded = new AbortController()
    const follow = (): void => { sendEnded.abort() }
    call.ended.signal.addEventListener('abort', follow)
    try {
      const response = await this.#options.connections.send(this.#targetCall(call, placement, sendEnded.signal, span), this.#connectionShare(call.service))
      return await this.#receive(call, response, promptRead, sendEnded)
    } catch (error) {
      const { knowledge, message } = asTargetError(error)
      return knowledge === DispatchKnowledge.neverSent ? { kind: 'not-run', reason: message } : { kind: 'lost', reason: message }
    } finally {
      call.ended.signal.removeEventListener('abort', follow)
    }
  }

  #targetCall (call: calls.Call, placement: decisions.placement.Placement, signal: AbortSignal, span: Parameters<typeof runtime.telemetry.headersFromSpan>[0]): connections.TargetCall {
    const target = placement.target.entry
    const remainingMs = call.deadlineAt - this.#options.clock.now()
    const facts: adapter.targetRequest.TargetRequestFacts = {
      targetId: target.id,
      remainingMs,
      account: call.account?.name,
      rank: call.request.promptTokens === undefined ? undefined : call.rank,
      copyCacheFrom: placement.copyFrom?.entry.address,
      resumeAfter: call.lastEventId
    }
    return {
      target,
      method: call.request.method,
      path: call.request.target,
      headers: { ...adapter.targetRequest.targetHeaders(call.request, facts, call.body.length), ...runtime.telemetry.headersFromSpan(span) },
      body: call.body,
      timeoutMs: this.#sendTimeout(call, remainingMs),
      signal
    }
  }

  /** Longest silence of a target. It is shorter where another target may take over. */
  #sendTimeout (call: calls.Call, remainingMs: number): number {
    const mayMove = call.route.repetition === Repetition.repeatable && call.sends.length + 1 < call.route.maximumTargets
    if (!mayMove) return Math.max(1, remainingMs)
    const patienceMs = call.route.streaming ? Math.max(LEAST_STREAM_SILENCE_MS, call.route.objectiveMs * STREAM_SILENCE_OBJECTIVES) : Infinity
    return Math.max(1, Math.min(remainingMs * FIRST_SEND_SHARE, patienceMs))
  }

  /** Connections to one target of a service that this gateway may use. */
  #connectionShare (service: string): number {
    return (this.#options.service(service)?.maximumConnections ?? Infinity) / this.#options.gateways()
  }

  async #receive (call: calls.Call, response: http.IncomingMessage, promptRead: () => void, sendEnded: AbortController): Promise<SendOutcome> {
    const answer = adapter.targetRequest.decodeTargetAnswer(response, call.request.attemptId)
    if (!answer.own) {
      sendEnded.abort()
      response.destroy()
      return { kind: 'lost', reason: 'the answer belongs to another request' }
    }
    if (call.route.streaming && isSuccess(answer.status)) {
      const relay = new relays.StreamRelay(call, answer, this.#options.clock, () => {
        promptRead()
        this.#options.onFirstEvent(this.#options.clock.now() - call.arrivedAt)
      })
      const outcome = await relay.run(response)
      if (outcome.kind !== 'answered') sendEnded.abort()
      return outcome
    }
    const body = await readWhole(response)
    if (answer.notRun) return { kind: 'not-run', reason: `status ${answer.status}` }
    if (isSuccess(answer.status) && !answer.signed) return { kind: 'lost', reason: 'the answer is not signed' }
    const buffered: BufferedAnswer = { status: answer.status, headers: answer.passedHeaders, body }
    if (answer.status >= 500) return { kind: 'failed', answer: buffered }
    this.#passOn(call, buffered)
    return { kind: 'answered', status: answer.status }
  }

  #passOn (call: calls.Call, answer: BufferedAnswer): void {
    if (call.response.headersSent || call.response.destroyed) return
    call.response.writeHead(answer.status, { ...answer.headers, 'content-length': answer.body.length })
    call.response.end(answer.body)
  }

  /** Ends a call that no target served. */
  #giveUp (call: calls.Call, failure: SendOutcome | undefined): string {
    if (call.endedBy === 'caller') return 'caller-left'
    if (call.response.headersSent) {
      answers.breakOff(call.response)
      return 'broken-off'
    }
    const late = call.endedBy === 'deadline'
    return pattern.match(failure)
      .with({ kind: 'failed' }, ({ answer }) => {
        this.#passOn(call, answer)
        return 'target-failed'
      })
      .with({ kind: 'lost' }, () => {
        this.#refuse(call, late ? 504 : 502, late ? 'no answer in time' : 'the answer of the target was lost')
        return late ? 'timed-out' : 'answer-lost'
      })
      .with({ kind: 'cut' }, () => {
        this.#refuse(call, 502, 'the stream of the target broke off')
        return 'answer-lost'
      })
      .otherwise(() => {
        const ran = call.sends.some((send) => send.result !== 'not-run')
        this.#refuse(call, ran ? 502 : 503, 'no target can take the request now', ran ? undefined : FULL_RETRY_AFTER_MS)
        return ran ? 'answer-lost' : 'no-target'
      })
  }

  #refuse (call: calls.Call, status: number, reason: string, retryAfterMs?: number): void {
    answers.refuse(call.response, { status, reason, retryAfterMs }, call.deadlineAt - this.#options.clock.now())
  }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

async function readWhole (response: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer)
  } catch (error) {
    throw new connections.TargetError('read answer', (error as Error).message, DispatchKnowledge.sentNoAnswer)
  }
  if (!response.complete) throw new connections.TargetError('read answer', 'the answer ended early', DispatchKnowledge.sentNoAnswer)
  return Buffer.concat(chunks)
}

function asTargetError (error: unknown): connections.TargetError {
  if (error instanceof connections.TargetError) return error
  return new connections.TargetError('receive answer', (error as Error).message, DispatchKnowledge.sentNoAnswer)
}

function resultOf (outcome: SendOutcome): string {
  return outcome.kind === 'answered' ? String(outcome.status) : outcome.kind
}

/** What a send says about its target's health. A caller that left says nothing. */
function healthOf (call: calls.Call, outcome: SendOutcome): decisions.targetBoard.TargetResult {
  if (call.endedBy === 'caller') return TargetResult.served
  return pattern.match(outcome)
    .with({ kind: 'answered' }, () => TargetResult.served)
    .with({ kind: 'not-run' }, ({ reason }) => reason.startsWith('status') ? TargetResult.refused : TargetResult.unreachable)
    .otherwise(() => TargetResult.failed)
}
