import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as incarnations from './incarnation.js'
import * as ledgers from './ledger.js'
import * as logs from './record-log.js'

/** Longest time from a record to its dispatch, in milliseconds. Less than the silence after which a router is sealed. */
const DISPATCH_VALIDITY_MS = 2000

/** Limits of waiting during admission and at the end, in milliseconds. */
export interface AdmissionLimits {
  clock: decisions.clock.Clock
  budgetWaitMs: number
  /** Wait for tokens while a router that holds some does not answer. */
  recoveryWaitMs: number
  durabilityWaitMs: number
  /** Wait for a bill to reach the journal before copies at witnesses are enough. */
  billJournalWaitMs: number
  requestTimeoutMs: number
}

/** What is asked of a budget for one request. */
export interface AdmissionQuestion {
  envelope: callers.callerTypes.CallEnvelope
  budget: string
  /** The most that the request may cost. */
  tokens: number
  /** The prompt's part of it. */
  promptTokens: number
}

/**
 * A request with a reservation. Follows it through the records:
 * opened before each dispatch, then closed once, by a bill or as not run.
 */
export class AdmittedRequest {
  readonly requestId: string
  readonly incarnation: incarnations.Incarnation
  readonly #question: AdmissionQuestion
  readonly #limits: AdmissionLimits
  readonly #key: string
  readonly #onClosed: () => void
  #opened = false
  #closed = false
  #target = ''
  #openedAtMs = 0

  constructor (requestId: string, incarnation: incarnations.Incarnation, question: AdmissionQuestion, limits: AdmissionLimits, onClosed: () => void) {
    this.requestId = requestId
    this.incarnation = incarnation
    this.#question = question
    this.#limits = limits
    this.#key = question.envelope.key ?? requestId
    this.#onClosed = onClosed
  }

  get target (): string {
    return this.#target
  }

  get closed (): boolean {
    return this.#closed
  }

  /** Records that the request is about to go to a target. Throws ProblemError, and then nothing may be sent. */
  async open (target: string): Promise<void> {
    this.#target = target
    this.#opened = true
    this.#openedAtMs = this.#limits.clock.wallNow()
    const durability = await this.#record()
    if (durability === logs.Durability.durable) return
    const claim = decisions.journal.claimName(this.#question.envelope.caller.account, this.#key)
    this.incarnation.unproved.add(claim)
    const withdrawn = await this.#withdraw()
    if (withdrawn) this.incarnation.unproved.delete(claim)
    throw new decisions.problem.ProblemError({ tag: withdrawn ? 'not_durable' : 'withdrawal_unknown', step: 'record dispatch', peer: decisions.problem.Peer.router, detail: durability })
  }

  /**
   * Makes the record durable. One that became so too long ago, because this process was paused, is made anew:
   * others may meanwhile have settled the request as never run.
   */
  async #record (): Promise<logs.Durability> {
    const { clock, durabilityWaitMs } = this.#limits
    for (;;) {
      const startedAt = clock.now()
      const durability = await this.incarnation.log.appendDispatch(this.intent(), durabilityWaitMs)
      if (durability !== logs.Durability.durable || clock.now() - startedAt <= DISPATCH_VALIDITY_MS) return durability
    }
  }

  /** Takes back the record of a dispatch that will not happen. False where others may find the record without this. */
  async #withdraw (): Promise<boolean> {
    const sequence = this.closeNotRun()
    const durability = await this.incarnation.log.durable(sequence, this.#limits.durabilityWaitMs)
    if (durability === logs.Durability.durable) return true
    if (durability === logs.Durability.late) return false
    return await this.incarnation.log.sealedJournal.drop(this.requestId, this.#limits.durabilityWaitMs)
  }

  /** Ends a request that did not run, and frees its reservation. Returns the sequence of its last record; 0 without one. */
  closeNotRun (): number {
    if (this.#closed) return 0
    this.#closed = true
    this.incarnation.ledger.settle(this.requestId, this.#question.budget, 0)
    this.#onClosed()
    if (!this.#opened) return 0
    return this.incarnation.log.append({ kind: 'not-run', requestId: this.requestId })
  }

  /** Bills the request and resolves once the bill is durable. Throws ProblemError where it cannot be made durable in time. */
  async closeBilled (bill: decisions.journalTypes.Bill): Promise<void> {
    if (this.#closed) return
    this.#closed = true
    this.incarnation.ledger.settle(this.requestId, this.#question.budget, bill.promptTokens + bill.completionTokens)
    const sequence = this.incarnation.log.append({ kind: 'billed', bill })
    this.#onClosed()
    await this.incarnation.log.journaledBy(sequence, this.#limits.billJournalWaitMs)
    const durability = await this.incarnation.log.durable(sequence, this.#limits.requestTimeoutMs)
    if (durability === logs.Durability.durable) return
    if (durability === logs.Durability.sealed) { await this.incarnation.log.sealedJournal.settle(bill); return }
    throw new decisions.problem.ProblemError({ tag: 'bill_not_durable', step: 'record bill', peer: decisions.problem.Peer.router })
  }

  /** The record of a dispatch to the present target. */
  intent (): decisions.journalTypes.Intent {
    const { envelope, budget, tokens, promptTokens } = this.#question
    return {
      requestId: this.requestId,
      account: envelope.caller.account,
      budget,
      target: this.#target,
      reservedTokens: tokens,
      reservedPromptTokens: promptTokens,
      key: this.#key,
      repeatable: envelope.repeatable,
      openedAtMs: this.#openedAtMs
    }
  }
}

/** Reserves a request's worst case. Throws ProblemError where it does not fit. */
export async function reserveWorstCase (incarnation: incarnations.Incarnation, requestId: string, question: AdmissionQuestion, limits: AdmissionLimits): Promise<void> {
  const outcome = await incarnation.ledger.reserve({
    key: { budget: question.budget, account: question.envelope.caller.account },
    requestId,
    tokens: question.tokens,
    waitMs: limits.budgetWaitMs,
    recoveryWaitMs: limits.recoveryWaitMs,
    gone: question.envelope.gone
  })
  if (outcome === ledgers.ReserveOutcome.reserved) return
  const exhausted = outcome === ledgers.ReserveOutcome.exhausted
  throw new decisions.problem.ProblemError({
    tag: exhausted ? 'budget_exhausted' : 'budget_unreachable',
    step: 'reserve',
    peer: exhausted ? decisions.problem.Peer.self : decisions.problem.Peer.platform,
    detail: `${question.tokens} tokens of budget ${question.budget}`
  })
}
