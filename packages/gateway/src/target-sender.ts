import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as pattern from 'ts-pattern'
import type * as answerRaces from './answer-race.js'
import * as answerRelays from './answer-relay.js'
import type * as calls from './call.js'
import * as sendOutcomes from './send-outcome.js'
import * as relays from './stream-relay.js'
import type * as targetChoosers from './target-chooser.js'
import * as connections from './target-connections.js'

type SendOutcome = sendOutcomes.SendOutcome

const { DispatchKnowledge } = decisions.retryRules
const { TargetResult } = decisions.targetBoard

export interface TargetSenderOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  connections: connections.TargetConnections
  promptParts: decisions.promptPartBoard.PromptPartBoard
  chooser: targetChoosers.TargetChooser
  room: decisions.serviceRoom.ServiceRoom
  /** Sends a heartbeat with new evidence about prompt parts to the other gateways. */
  announce: () => void
  /** Connections that this gateway may open to each target of a service. */
  connectionLimit: (service: string) => number
  onFirstEvent: (milliseconds: number) => void
}

/** Sends calls to chosen targets, forwards their answers, and keeps what the outcomes say of targets and prompt parts. */
export class TargetSender {
  readonly #options: TargetSenderOptions

  constructor (options: TargetSenderOptions) {
    this.#options = options
  }

  /** Sends a call to a target until its answer has ended. */
  async send (call: calls.Call, placement: decisions.placement.Placement, race: answerRaces.AnswerRace, send: answerRaces.SendInProgress): Promise<SendOutcome> {
    const { board, clock, room } = this.#options
    const target = placement.target.entry
    const startedAt = clock.now()
    const load = board.serviceLoad(target.service, startedAt)
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
    if (outcome.kind === 'answered' && isSuccess(outcome.status)) {
      board.recordTimes(target.service, (readAt ?? clock.now()) - startedAt, clock.now() - startedAt)
      room.recordTime(target.service, clock.now() - startedAt, load)
    }
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
    } else if (call.abortReason === undefined && sendOutcomes.isConnectionLost(outcome)) {
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
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
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
