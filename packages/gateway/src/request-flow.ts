import * as decisions from '@acaciaweir/decisions'
import * as timers from 'node:timers/promises'
import * as answerRaces from './answer-race.js'
import * as callBudgets from './call-budget.js'
import * as callRefusals from './call-refusals.js'
import type * as calls from './call.js'
import * as sendOutcomes from './send-outcome.js'
import type * as targetChoosers from './target-chooser.js'
import * as targetSenders from './target-sender.js'

const { Repetition } = decisions.agreementTypes
const { TargetResult } = decisions.targetBoard

/** Share of the remaining time after which a silent target of a repeatable request is not the only one asked. */
const MAXIMUM_SILENCE_SHARE = 0.5

/** Time between two tries to find a second target for a request whose target is silent, in milliseconds. */
const SUCCESSOR_INTERVAL_MS = 300

/** Shortest silence after which a repeatable streaming request is also sent to another target, in milliseconds. */
const MINIMUM_STREAM_SILENCE_MS = 1200

/** The same as a multiple of the route's latency objective; the longer of both applies. Callers give up after four objectives. */
const STREAM_SILENCE_OBJECTIVE_FACTOR = 3

export interface RequestFlowOptions extends callBudgets.CallBudgetOptions, callRefusals.CallRefusalsOptions, targetSenders.TargetSenderOptions {
  retryAllowance: decisions.retryAllowance.RetryAllowance
  /** Position of this gateway in an order of all live gateways for a key, from 0. */
  rankFor: (key: string) => number
  /** Number of live gateways, including this one. */
  gatewayCount: () => number
}

/** Serves admitted calls: reserves tokens, chooses targets, sends, retries where that is safe, and settles the reservation. */
export class RequestFlow {
  readonly #options: RequestFlowOptions
  readonly #budget: callBudgets.CallBudget
  readonly #refusals: callRefusals.CallRefusals
  readonly #sender: targetSenders.TargetSender

  constructor (options: RequestFlowOptions) {
    this.#options = options
    this.#budget = new callBudgets.CallBudget(options)
    this.#refusals = new callRefusals.CallRefusals(options)
    this.#sender = new targetSenders.TargetSender(options)
  }

  /** Serves a call until its response has ended. Returns the outcome for the log and the metrics. */
  async serve (call: calls.Call): Promise<string> {
    this.#options.retryAllowance.recordRequest(call.service, this.#options.clock.now())
    if (this.#isHeldBack(call)) return this.#refusals.refuseHeldPart(call)
    if (this.#refusals.isConfined(call)) return this.#refusals.refuseConfined(call)
    const reservedTokens = this.#budget.worstCaseTokens(call)
    if (reservedTokens > 0) {
      const refusal = await this.#budget.reserve(call, reservedTokens)
      if (refusal !== undefined) return refusal
    }
    try {
      return await this.#sendWithRetries(call)
    } finally {
      if (reservedTokens > 0) this.#budget.settle(call, reservedTokens)
    }
  }

  /** Returns true if targets are known to crash under one of the call's prompt parts, and sets the evidence. */
  #isHeldBack (call: calls.Call): boolean {
    call.heldPart = this.#options.promptParts.refusal(call.sharedParts, call.account?.name ?? '', this.#options.rankFor, this.#options.clock.now())
    return call.heldPart !== undefined
  }

  async #sendWithRetries (call: calls.Call): Promise<string> {
    const race = new answerRaces.AnswerRace()
    const triedTargets = new Set<string>()
    let failure: sendOutcomes.SendOutcome | undefined
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
    return this.#refusals.endUnanswered(call, failure)
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
    race.add(send, this.#sender.send(call, chosen.placement, race, send).finally(() => { chosen.release() }))
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
  #mayTryAnother (call: calls.Call, outcome: sendOutcomes.SendOutcome): boolean {
    if (call.abortReason !== undefined) return false
    if (outcome.kind === 'not-run') return true
    call.noRetryReason = this.#noRetryReason(call, outcome)
    return call.noRetryReason === undefined
  }

  #noRetryReason (call: calls.Call, outcome: sendOutcomes.SendOutcome): calls.NoRetryReason | undefined {
    if (sendOutcomes.isConnectionLost(outcome) && !this.#options.promptParts.mayRepeat(call.sharedParts)) return 'connection-lost-under-part'
    return this.#sendLimit(call, 0)
  }

  /** Returns the silence of a target after which another one may be asked too, in milliseconds. */
  #maximumSilenceMs (call: calls.Call): number {
    const streamSilenceMs = call.route.streaming ? Math.max(MINIMUM_STREAM_SILENCE_MS, call.route.objectiveMs * STREAM_SILENCE_OBJECTIVE_FACTOR) : Infinity
    return Math.min((call.deadlineAt - this.#options.clock.now()) * MAXIMUM_SILENCE_SHARE, streamSilenceMs)
  }
}
