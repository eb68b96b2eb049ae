import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import type * as incarnations from './incarnation.js'
import * as ledgers from './ledger.js'
import * as logs from './record-log.js'

/** Longest time from appending a dispatch record to the dispatch, in milliseconds. Shorter than the silence after which a router is sealed. */
const DISPATCH_RECORD_VALIDITY_MS = 2000

/** Timeouts of admitting and closing a request, in milliseconds, with the clock that measures them. */
export interface AdmissionTimeouts {
  clock: decisions.clock.Clock
  budgetWaitMs: number
  /** Longest wait for tokens while a router that holds some does not answer. */
  recoveryWaitMs: number
  durabilityWaitMs: number
  /** Longest wait for a bill to reach the journal. After it, copies at a quorum of witnesses suffice. */
  billJournalWaitMs: number
  requestTimeoutMs: number
}

/** Parameters of admitting one request. */
export interface AdmissionRequest {
  envelope: callers.callerTypes.CallEnvelope
  budget: string
  /** Most tokens that the request may cost, prompt included. */
  worstCaseTokens: number
  /** The part of `worstCaseTokens` that belongs to the prompt. */
  worstCasePromptTokens: number
}

/**
 * A request that holds a reservation. Writes its log records: one before each dispatch, then one that closes it,
 * either with a bill or as not run.
 */
export class AdmittedRequest {
  readonly requestId: string
  readonly incarnation: incarnations.Incarnation
  readonly #admission: AdmissionRequest
  readonly #timeouts: AdmissionTimeouts
  readonly #key: string
  readonly #onClosed: () => void
  #hasDispatchRecord = false
  #isClosed = false
  #target = ''
  #openedAtMs = 0

  constructor (requestId: string, incarnation: incarnations.Incarnation, admission: AdmissionRequest, timeouts: AdmissionTimeouts, onClosed: () => void) {
    this.requestId = requestId
    this.incarnation = incarnation
    this.#admission = admission
    this.#timeouts = timeouts
    this.#key = admission.envelope.key ?? requestId
    this.#onClosed = onClosed
  }

  get target (): string {
    return this.#target
  }

  get isClosed (): boolean {
    return this.#isClosed
  }

  /** Records the dispatch to a target. Throws ProblemError if the record does not become durable; nothing may be sent then. */
  async recordDispatch (target: string): Promise<void> {
    this.#target = target
    this.#hasDispatchRecord = true
    this.#openedAtMs = this.#timeouts.clock.wallNow()
    const durability = await this.#appendValidDispatch()
    if (durability === logs.Durability.durable) return
    const claim = decisions.journal.claimName(this.#admission.envelope.caller.account, this.#key)
    this.incarnation.unprovenWithdrawals.add(claim)
    const isWithdrawn = await this.#withdrawDispatch()
    if (isWithdrawn) this.incarnation.unprovenWithdrawals.delete(claim)
    throw new decisions.problem.ProblemError({ tag: isWithdrawn ? 'not_durable' : 'withdrawal_unknown', step: 'record dispatch', peer: decisions.problem.Peer.router, detail: durability })
  }

  /**
   * Appends the dispatch record and waits until it is durable. Appends it again if this took too long because the process was
   * paused: other routers may have settled the request as never run in the meantime.
   */
  async #appendValidDispatch (): Promise<logs.Durability> {
    const { clock, durabilityWaitMs } = this.#timeouts
    for (;;) {
      const startedAt = clock.now()
      const durability = await this.incarnation.log.appendDispatch(this.intent(), durabilityWaitMs)
      if (durability !== logs.Durability.durable || clock.now() - startedAt <= DISPATCH_RECORD_VALIDITY_MS) return durability
    }
  }

  /** Withdraws the record of a dispatch that will not happen. Returns false if other routers may find that record without the withdrawal. */
  async #withdrawDispatch (): Promise<boolean> {
    const sequence = this.closeAsNotRun()
    const durability = await this.incarnation.log.waitUntilDurable(sequence, this.#timeouts.durabilityWaitMs)
    if (durability === logs.Durability.durable) return true
    if (durability === logs.Durability.late) return false
    return await this.incarnation.log.sealedJournal.drop(this.requestId, this.#timeouts.durabilityWaitMs)
  }

  /** Closes a request that did not run and releases its reservation. Returns the sequence number of its last record, 0 if it has none. */
  closeAsNotRun (): number {
    if (this.#isClosed) return 0
    this.#isClosed = true
    this.incarnation.ledger.settle(this.requestId, this.#admission.budget, 0)
    this.#onClosed()
    if (!this.#hasDispatchRecord) return 0
    return this.incarnation.log.append({ kind: 'not-run', requestId: this.requestId })
  }

  /** Closes the request with a bill and resolves once the bill is durable. Throws ProblemError if it does not become durable in time. */
  async closeAsBilled (bill: decisions.journalTypes.Bill): Promise<void> {
    if (this.#isClosed) return
    this.#isClosed = true
    this.incarnation.ledger.settle(this.requestId, this.#admission.budget, bill.promptTokens + bill.completionTokens)
    const sequence = this.incarnation.log.append({ kind: 'billed', bill })
    this.#onClosed()
    await this.incarnation.log.waitUntilJournaled(sequence, this.#timeouts.billJournalWaitMs)
    const durability = await this.incarnation.log.waitUntilDurable(sequence, this.#timeouts.requestTimeoutMs)
    if (durability === logs.Durability.durable) return
    if (durability === logs.Durability.sealed) { await this.incarnation.log.sealedJournal.settle(bill); return }
    throw new decisions.problem.ProblemError({ tag: 'bill_not_durable', step: 'record bill', peer: decisions.problem.Peer.router })
  }

  /** Returns the dispatch record for the current target. */
  intent (): decisions.journalTypes.Intent {
    const { envelope, budget, worstCaseTokens, worstCasePromptTokens } = this.#admission
    return {
      requestId: this.requestId,
      account: envelope.caller.account,
      budget,
      target: this.#target,
      reservedTokens: worstCaseTokens,
      reservedPromptTokens: worstCasePromptTokens,
      key: this.#key,
      repeatable: envelope.repeatable,
      openedAtMs: this.#openedAtMs
    }
  }
}

/** Reserves a request's worst-case tokens. Throws ProblemError if they do not fit into the budget or the budget cannot be reached. */
export async function reserveWorstCase (incarnation: incarnations.Incarnation, requestId: string, admission: AdmissionRequest, timeouts: AdmissionTimeouts): Promise<void> {
  const outcome = await incarnation.ledger.reserve({
    key: { budget: admission.budget, account: admission.envelope.caller.account },
    requestId,
    tokens: admission.worstCaseTokens,
    waitMs: timeouts.budgetWaitMs,
    recoveryWaitMs: timeouts.recoveryWaitMs,
    callerGone: admission.envelope.disconnectSignal
  })
  if (outcome === ledgers.ReserveOutcome.reserved) return
  const isExhausted = outcome === ledgers.ReserveOutcome.exhausted
  throw new decisions.problem.ProblemError({
    tag: isExhausted ? 'budget_exhausted' : 'budget_unreachable',
    step: 'reserve',
    peer: isExhausted ? decisions.problem.Peer.self : decisions.problem.Peer.platform,
    detail: `${admission.worstCaseTokens} tokens of budget ${admission.budget}`
  })
}
