import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as pattern from 'ts-pattern'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as answerRaces from './answer-race.js'
import * as answerRelays from './answer-relay.js'
import * as answers from './answers.js'
import type * as calls from './call.js'
import * as relays from './stream-relay.js'
import * as connections from './target-connections.js'
import type * as targetChoosers from './target-chooser.js'
import * as tokenAllocators from './token-allocator.js'

const { Repetition } = decisions.agreementTypes
const { TargetResult } = decisions.targetBoard
const { DispatchKnowledge } = decisions.retryRules

/** Retry-after delay where no target can take the request, because all are full, in milliseconds. */
const NO_TARGET_RETRY_AFTER_MS = 400

/** Retry-after delay where all targets are in evacuated zones, in milliseconds. Operators evacuate zones for a while, and callers may try elsewhere. */
const EVACUATED_RETRY_AFTER_MS = 2000

/** Retry-after delay where the prepaid budget is out of reach, in milliseconds. */
const BUDGET_RETRY_AFTER_MS = 1000

/** Largest part by which a retry-after delay is lengthened at random where all targets rest or are evacuated. Callers would otherwise return in the same moment. */
const RETRY_JITTER_SHARE = 0.25

/** Share of the remaining time after which a silent target of a repeatable request is not the only one asked. */
const MAXIMUM_SILENCE_SHARE = 0.5

/** Time between two tries to find a second target for a request whose target is silent, in milliseconds. */
const SUCCESSOR_INTERVAL_MS = 300

/** Shortest silence after which a repeatable streaming request is also sent to another target, in milliseconds. */
const MINIMUM_STREAM_SILENCE_MS = 1200

/** The same as a multiple of the route's latency objective; the longer of both applies. Callers give up after four objectives. */
const STREAM_SILENCE_OBJECTIVE_FACTOR = 3

export interface RequestFlowOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  connections: connections.TargetConnections
  tokens: tokenAllocators.TokenAllocator
  retryAllowance: decisions.retryAllowance.RetryAllowance
  promptParts: decisions.promptPartBoard.PromptPartBoard
  chooser: targetChoosers.TargetChooser
  random: decisions.random.RandomSource
  /** Position of this gateway in an order of all live gateways for a key, from 0. */
  rankFor: (key: string) => number
  /** Sends a heartbeat with new evidence about prompt parts to the other gateways. */
  announce: () => void
  findService: (name: string) => decisions.agreementTypes.Service | undefined
  /** Connections that this gateway may open to each target of a service. */
  connectionLimit: (service: string) => number
  /** Number of live gateways, including this one. */
  gatewayCount: () => number
  onFirstEvent: (milliseconds: number) => void
}

/** Outcome of sending a request to one target. */
export type SendOutcome =
  | { kind: 'answered', status: number }
  /** The target did not run the request, and the caller received nothing. */
  | { kind: 'not-run', reason: string }
  /** The target may have run the request, but the caller received nothing. */
  | { kind: 'lost', reason: string, isConnectionLost: boolean }
  /** The target answered with a server error, which is not forwarded yet. */
  | { kind: 'failed', answer: answers.BufferedAnswer }
  /** The stream ended early, after the caller received events. */
  | { kind: 'cut', reason: string, isConnectionLost: boolean }
  /** Another send of the call began to answer the caller first, or the call ended. The target may have run the request. */
  | { kind: 'overtaken' }

/** Serves admitted calls: reserves tokens, chooses targets, sends, retries where that is safe, and settles the reservation. */
export class RequestFlow {
  readonly #options: RequestFlowOptions

  constructor (options: RequestFlowOptions) {
    this.#options = options
  }

  /** Serves a call until its response has ended. Returns the outcome for the log and the metrics. */
  async serve (call: calls.Call): Promise<string> {
    this.#options.retryAllowance.recordRequest(call.service, this.#options.clock.now())
    if (this.#isHeldBack(call)) return this.#refuseHeldPart(call)
    if (this.#isConfined(call)) return this.#refuseConfined(call)
    const reservedTokens = this.#worstCaseTokens(call)
    if (reservedTokens > 0) {
      const refusal = await this.#reserve(call, reservedTokens)
      if (refusal !== undefined) return refusal
    }
    try {
      return await this.#sendWithRetries(call)
    } finally {
      if (reservedTokens > 0) this.#settle(call, reservedTokens)
    }
  }

  /** Returns true if targets are known to crash under one of the call's prompt parts, and sets the evidence. */
  #isHeldBack (call: calls.Call): boolean {
    call.heldPart = this.#options.promptParts.refusal(call.sharedParts, call.account?.name ?? '', this.#options.rankFor, this.#options.clock.now())
    return call.heldPart !== undefined
  }

  /** Refuses with the whole time until the part is tested again, so that callers who cannot wait for it need not retry. */
  #refuseHeldPart (call: calls.Call): string {
    answers.sendRefusal(call.response, { status: 503, reason: 'targets end under a part of the prompt', retryAfterMs: call.heldPart?.retryAfterMs })
    return 'held-part'
  }

  /** Returns true if all targets that could take the call are in evacuated zones, and sets these zones. */
  #isConfined (call: calls.Call): boolean {
    call.evacuatedZones = this.#options.board.confiningZones(call.service)
    return call.evacuatedZones.length > 0
  }

  #refuseConfined (call: calls.Call): string {
    this.#refuse(call, 503, 'all targets are in evacuated zones', this.#lengthen(EVACUATED_RETRY_AFTER_MS))
    return 'zones-evacuated'
  }

  /** Returns the tokens to reserve: the prompt and the longest output, or 0 where no prepaid budget applies. */
  #worstCaseTokens (call: calls.Call): number {
    if (call.account?.prepaidTokens === undefined || call.request.promptTokens === undefined) return 0
    return call.request.promptTokens + (call.request.maximumOutputTokens ?? 0)
  }

  /** Reserves tokens. Where the budget refuses, answers the caller and returns the outcome for the log. */
  async #reserve (call: calls.Call, worstCaseTokens: number): Promise<string | undefined> {
    const outcome = await this.#options.tokens.reserve(call.account?.name ?? '', worstCaseTokens)
    if (outcome === tokenAllocators.ReserveOutcome.reserved) return undefined
    call.budget = { wanted: worstCaseTokens, ...this.#options.tokens.reservationInputs(call.account?.name ?? '') }
    if (outcome === tokenAllocators.ReserveOutcome.exhausted) {
      answers.sendRefusal(call.response, { status: 402, reason: 'the request does not fit into the prepaid budget' })
      return 'budget-exhausted'
    }
    this.#refuse(call, 503, 'the budget cannot be drawn on now', BUDGET_RETRY_AFTER_MS)
    return 'budget-unreachable'
  }

  /** Charges the prompt if any target may have run it, plus the forwarded output, and frees the rest of the reservation. */
  #settle (call: calls.Call, reservedTokens: number): void {
    const mayHaveRun = call.sends.some((send) => send.result !== 'not-run')
    const tokensPerEvent = this.#options.findService(call.service)?.engine?.tokensPerEvent ?? 1
    const outputTokens = Math.min(call.events * tokensPerEvent, call.request.maximumOutputTokens ?? Infinity)
    const spentTokens = mayHaveRun ? (call.request.promptTokens ?? 0) + outputTokens : 0
    this.#options.tokens.settle(call.account?.name ?? '', reservedTokens, spentTokens)
  }

  async #sendWithRetries (call: calls.Call): Promise<string> {
    const race = new answerRaces.AnswerRace()
    const triedTargets = new Set<string>()
    let failure: SendOutcome | undefined
    let mayTryAnother = true
    try {
      while (call.abortReason === undefined) {
        if (race.size === 0 && !mayTryAnother) break
        if (race.size === 0 && !await this.#startSend(call, race, triedTargets)) break
        const outcome = await race.next(this.#timeToSuccessorMs(call, race))
        if (outcome === undefined) await this.#startSuccessor(call, race, triedTargets)
        else if (outcome.kind === 'answered') return 'answered'
        else if (outcome.kind !== 'overtaken') {
          // A target's own failure is the better answer for the caller than one of the gateway.
          if (failure?.kind !== 'failed') failure = outcome
          mayTryAnother &&= this.#mayTryAnother(call, outcome)
        }
      }
    } finally {
      await race.end()
    }
    return this.#endUnanswered(call, failure)
  }

  /** Sends the call to the first or, after a failure, another target. Returns false if none takes it, or a retry is not allowed. */
  async #startSend (call: calls.Call, race: answerRaces.AnswerRace, triedTargets: Set<string>): Promise<boolean> {
    if (triedTargets.size > 0) {
      call.noRetryReason = this.#isHeldBack(call) ? 'held-part' : this.#sendLimit(call, 0)
      if (call.noRetryReason !== undefined) return false
    }
    const chosen = await this.#options.chooser.place(call, triedTargets)
    if (chosen === undefined) {
      call.noRetryReason = this.#options.chooser.mayStart(call) ? 'no-target' : 'gateway-leaving'
      return false
    }
    if (triedTargets.size > 0 && !this.#consumeRetry(call)) {
      call.noRetryReason = 'retry-budget-used'
      chosen.release()
      return false
    }
    this.#addSend(call, race, triedTargets, chosen)
    return true
  }

  /** Returns the time until a silent target is not the only one asked, in milliseconds; Infinity if the call may not go to another one. */
  #timeToSuccessorMs (call: calls.Call, race: answerRaces.AnswerRace): number {
    if (this.#sendLimit(call, race.size) !== undefined) return Infinity
    return race.isSilent ? SUCCESSOR_INTERVAL_MS : race.timeToSilenceMs()
  }

  /** Sends a call whose targets are silent to another one too, if one takes it at once. */
  async #startSuccessor (call: calls.Call, race: answerRaces.AnswerRace, triedTargets: Set<string>): Promise<void> {
    // After a pause of this process, answers may wait in the sockets while the timers are overdue.
    await timers.setImmediate()
    if (!race.isSilent) return
    this.#recordSilence(race)
    if (this.#isHeldBack(call) || !this.#options.retryAllowance.hasRetry(call.service, this.#options.gatewayCount(), this.#options.clock.now())) return
    const chosen = await this.#options.chooser.placeAtOnce(call, triedTargets)
    if (chosen === undefined) return
    if (call.abortReason !== undefined || !race.isSilent || !this.#consumeRetry(call)) chosen.release()
    else this.#addSend(call, race, triedTargets, chosen)
  }

  /** Counts a silence against the target once, so that other requests prefer other targets. */
  #recordSilence (race: answerRaces.AnswerRace): void {
    for (const send of race.silentSends) {
      if (!send.isSilenceRecorded) this.#options.board.recordResult(send.target.id, TargetResult.failed, this.#options.clock.now())
      send.isSilenceRecorded = true
    }
  }

  #addSend (call: calls.Call, race: answerRaces.AnswerRace, triedTargets: Set<string>, chosen: targetChoosers.ChosenTarget): void {
    const { entry } = chosen.placement.target
    triedTargets.add(entry.id)
    const send = new answerRaces.SendInProgress(entry, this.#options.clock, this.#maximumSilenceMs(call))
    chosen.stopCounting()
    race.add(send, this.#send(call, chosen.placement, race, send).finally(() => { chosen.release() }))
  }

  /** Returns what keeps the call from being sent once more, beside `sendsInProgress` sends and those that have ended. */
  #sendLimit (call: calls.Call, sendsInProgress: number): calls.NoRetryReason | undefined {
    const possibleRuns = this.#possibleRuns(call) + sendsInProgress
    if (possibleRuns === 0) return undefined
    if (call.route.repetition === Repetition.atMostOnce) return 'not-repeatable'
    if (possibleRuns >= call.route.maximumTargets) return 'all-attempts-used'
    const isStreamContinued = call.route.resumable && call.firstEventAt !== undefined
    return call.response.headersSent && !isStreamContinued ? 'not-resumable' : undefined
  }

  /** Number of ended sends after which the request may have run. */
  #possibleRuns (call: calls.Call): number {
    return call.sends.filter((send) => send.result !== 'not-run').length
  }

  /** Counts a retry against this gateway's part of the fleet's retry budget. Returns false where that is used up. */
  #consumeRetry (call: calls.Call): boolean {
    return this.#options.retryAllowance.tryConsumeRetry(call.service, this.#options.gatewayCount(), this.#options.clock.now())
  }

  /**
   * Returns whether the call may go to another target after a failed send. An at-most-once request may do so only where the target did
   * not run it, and a stream that already reached the caller only where the route is resumable.
   */
  #mayTryAnother (call: calls.Call, outcome: SendOutcome): boolean {
    if (call.abortReason !== undefined) return false
    if (outcome.kind === 'not-run') return true
    call.noRetryReason = this.#noRetryReason(call, outcome)
    return call.noRetryReason === undefined
  }

  #noRetryReason (call: calls.Call, outcome: SendOutcome): calls.NoRetryReason | undefined {
    if (isConnectionLost(outcome) && !this.#options.promptParts.mayRepeat(call.sharedParts)) return 'connection-lost-under-part'
    return this.#sendLimit(call, 0)
  }

  async #send (call: calls.Call, placement: decisions.placement.Placement, race: answerRaces.AnswerRace, send: answerRaces.SendInProgress): Promise<SendOutcome> {
    const { board, clock } = this.#options
    const target = placement.target.entry
    const startedAt = clock.now()
    const unreadTokens = decisions.placement.promptReadingCost(call.request.promptTokens ?? 0)
    let pendingTokens = unreadTokens
    let readAt: number | undefined
    const onPromptRead = (): void => {
      board.recordPromptRead(target.id, pendingTokens)
      pendingTokens = 0
      readAt ??= clock.now()
    }
    const span = runtime.telemetry.startSpan('target', call.span, { target: target.id })
    board.recordStart(target.id, unreadTokens, call.request.promptParts.map((part) => part.id), startedAt)
    call.limitPerSecond = undefined
    const ended = await this.#sendAndReceive(call, placement, onPromptRead, span, race, send)
    const outcome: SendOutcome = send.isOvertaken && ended.kind !== 'not-run' ? { kind: 'overtaken' } : ended
    onPromptRead()
    if (outcome.kind === 'answered' && isSuccess(outcome.status)) board.recordTimes(target.service, (readAt ?? clock.now()) - startedAt, clock.now() - startedAt)
    board.recordEnd(target.id, send.isOvertaken ? TargetResult.undecided : targetResultOf(call, outcome), clock.now())
    this.#recordPromptParts(call, target.id, outcome)
    span.end()
    call.sends.push({ target: target.id, copyFrom: placement.copyFrom?.entry.id, result: resultForLog(outcome), reason: 'reason' in outcome ? outcome.reason : undefined, limitPerSecond: call.limitPerSecond, milliseconds: Math.round(clock.now() - startedAt) })
    return outcome
  }

  /** Keeps what the outcome of a model request says of its prompt parts. */
  #recordPromptParts (call: calls.Call, target: string, outcome: SendOutcome): void {
    const { promptParts, clock, announce } = this.#options
    const account = call.account?.name ?? ''
    if (outcome.kind === 'answered' && isSuccess(outcome.status)) {
      if (promptParts.recordAnswer(call.sharedParts, account, clock.now())) announce()
    } else if (call.abortReason === undefined && isConnectionLost(outcome)) {
      if (promptParts.recordLoss(call.sharedParts, account, target, clock.now())) announce()
    }
  }

  async #sendAndReceive (call: calls.Call, placement: decisions.placement.Placement, onPromptRead: () => void, span: Parameters<typeof runtime.telemetry.headersFromSpan>[0], race: answerRaces.AnswerRace, send: answerRaces.SendInProgress): Promise<SendOutcome> {
    const sentAt = this.#options.clock.now()
    const abortSend = (): void => { send.abort() }
    call.abortController.signal.addEventListener('abort', abortSend)
    try {
      const response = await this.#options.connections.send(this.#createTargetCall(call, placement, send.signal, span), this.#options.connectionLimit(call.service))
      return await this.#receiveAnswer(call, placement.target.entry, sentAt, response, onPromptRead, race, send)
    } catch (error) {
      const { knowledge, message, isConnectionLost } = toTargetError(error)
      return knowledge === DispatchKnowledge.neverSent ? { kind: 'not-run', reason: message } : { kind: 'lost', reason: message, isConnectionLost }
    } finally {
      call.abortController.signal.removeEventListener('abort', abortSend)
    }
  }

  #createTargetCall (call: calls.Call, placement: decisions.placement.Placement, signal: AbortSignal, span: Parameters<typeof runtime.telemetry.headersFromSpan>[0]): connections.TargetCall {
    const target = placement.target.entry
    const remainingMs = call.deadlineAt - this.#options.clock.now()
    const facts: adapter.targetRequest.TargetHeaderValues = {
      targetId: target.id,
      remainingMs,
      account: call.account?.name,
      rank: call.request.promptTokens === undefined ? undefined : call.rank,
      cacheSourceAddress: placement.copyFrom?.entry.address,
      lastEventId: call.lastEventId
    }
    return {
      target,
      method: call.request.method,
      path: call.request.pathAndQuery,
      headers: { ...adapter.targetRequest.encodeTargetHeaders(call.request, facts, call.body.length), ...runtime.telemetry.headersFromSpan(span) },
      body: call.body,
      timeoutMs: Math.max(1, remainingMs),
      signal
    }
  }

  /** Returns the silence of a target after which another one may be asked too, in milliseconds. */
  #maximumSilenceMs (call: calls.Call): number {
    const streamSilenceMs = call.route.streaming ? Math.max(MINIMUM_STREAM_SILENCE_MS, call.route.objectiveMs * STREAM_SILENCE_OBJECTIVE_FACTOR) : Infinity
    return Math.min((call.deadlineAt - this.#options.clock.now()) * MAXIMUM_SILENCE_SHARE, streamSilenceMs)
  }

  async #receiveAnswer (call: calls.Call, target: decisions.agreementTypes.TargetEntry, sentAt: number, response: http.IncomingMessage, onPromptRead: () => void, race: answerRaces.AnswerRace, send: answerRaces.SendInProgress): Promise<SendOutcome> {
    send.recordProgress()
    const answer = adapter.targetRequest.decodeTargetResponse(response, call.request.attemptId)
    this.#options.chooser.recordAnswer(call, target, answer, sentAt)
    if (!answer.belongsToAttempt) {
      send.abort()
      response.destroy()
      return { kind: 'lost', reason: 'the answer belongs to another request', isConnectionLost: false }
    }
    if (call.route.streaming && isSuccess(answer.status)) {
      const relay = new relays.StreamRelay(call, answer, race, send, this.#options.clock, () => {
        onPromptRead()
        this.#options.onFirstEvent(this.#options.clock.now() - call.arrival.at)
      })
      const outcome = await relay.run(response)
      if (outcome.kind !== 'answered') send.abort()
      return outcome
    }
    return await new answerRelays.AnswerRelay(call, answer, race, send).run(response)
  }

  /** Ends a call that no target answered. Returns the outcome for the log and the metrics. */
  #endUnanswered (call: calls.Call, failure: SendOutcome | undefined): string {
    if (call.abortReason === 'caller') return 'caller-left'
    if (call.response.headersSent) {
      answers.abortResponse(call.response)
      return 'broken-off'
    }
    const isLate = call.abortReason === 'deadline'
    return pattern.match(failure)
      .with({ kind: 'failed' }, ({ answer }) => {
        answers.forwardAnswer(call.response, answer)
        return 'target-failed'
      })
      .with({ kind: 'lost' }, () => {
        this.#refuse(call, isLate ? 504 : 502, isLate ? 'no answer in time' : 'the answer of the target was lost')
        return isLate ? 'timed-out' : 'answer-lost'
      })
      .with({ kind: 'cut' }, () => {
        this.#refuse(call, 502, 'the stream of the target broke off')
        return 'answer-lost'
      })
      .otherwise(() => {
        if (call.sends.some((send) => send.result !== 'not-run')) {
          this.#refuse(call, isLate ? 504 : 502, isLate ? 'no answer in time' : 'no target can take the request now')
          return isLate ? 'timed-out' : 'answer-lost'
        }
        if (call.heldPart !== undefined) return this.#refuseHeldPart(call)
        if (!this.#options.chooser.mayStart(call)) {
          answers.sendRefusal(call.response, answers.LEAVING_REFUSAL)
          return 'gateway-leaving'
        }
        return this.#refuseWithoutTarget(call)
      })
  }

  #refuseWithoutTarget (call: calls.Call): string {
    if (this.#isConfined(call)) return this.#refuseConfined(call)
    if (call.areTargetsResting && call.permitWaitMs !== undefined) {
      this.#refuse(call, 503, 'all targets want no requests now', this.#lengthen(call.permitWaitMs))
      return 'targets-rest'
    }
    this.#refuse(call, 503, 'no target can take the request now', call.permitWaitMs ?? NO_TARGET_RETRY_AFTER_MS)
    return call.permitWaitMs === undefined ? 'no-target' : 'at-limit'
  }

  /** Lengthens a retry-after delay at random. */
  #lengthen (milliseconds: number): number {
    return milliseconds + this.#options.random.integer(Math.ceil(milliseconds * RETRY_JITTER_SHARE) + 1)
  }

  #refuse (call: calls.Call, status: number, reason: string, retryAfterMs?: number): void {
    answers.sendRefusal(call.response, { status, reason, retryAfterMs }, call.deadlineAt - this.#options.clock.now())
  }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

function isConnectionLost (outcome: SendOutcome): boolean {
  return 'isConnectionLost' in outcome && outcome.isConnectionLost
}

function toTargetError (error: unknown): connections.TargetError {
  if (error instanceof connections.TargetError) return error
  return new connections.TargetError('receive answer', (error as Error).message, DispatchKnowledge.sentNoAnswer, runtime.httpCall.isConnectionLost(error))
}

function resultForLog (outcome: SendOutcome): string {
  return outcome.kind === 'answered' ? String(outcome.status) : outcome.kind
}

/** Maps the outcome of a send to the target's health. A send that ended because the caller left is not a failure of the target. */
function targetResultOf (call: calls.Call, outcome: SendOutcome): decisions.targetBoard.TargetResult {
  if (call.abortReason === 'caller') return TargetResult.served
  return pattern.match(outcome)
    .with({ kind: 'answered' }, () => TargetResult.served)
    .with({ kind: 'overtaken' }, () => TargetResult.undecided)
    .with({ kind: 'not-run' }, ({ reason }) => reason.startsWith('status') ? TargetResult.refused : TargetResult.unreachable)
    .otherwise(() => TargetResult.failed)
}
