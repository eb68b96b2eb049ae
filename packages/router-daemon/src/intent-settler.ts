import * as decisions from '@acaciaweir/decisions'
import type * as targets from '@acaciaweir/targets'
import * as pattern from 'ts-pattern'
import type * as agreements from './agreement.js'
import type * as directories from './target-directory.js'

/** Allowance for the clock skew between hosts and targets, in milliseconds. */
const CLOCK_SKEW_MARGIN_MS = 2000

/** How to settle a request that lost its router or its answer. `later` means that the outcome is not known yet. */
export type SettleOutcome =
  | { kind: 'billed', bill: decisions.journalTypes.Bill }
  | { kind: 'not-run', requestId: string }
  | { kind: 'later' }

/** Settles requests by asking their targets for the outcome. */
export class IntentSettler {
  readonly #directory: directories.TargetDirectory
  readonly #clock: decisions.clock.Clock
  readonly #agreement: () => agreements.Agreement | undefined

  constructor (directory: directories.TargetDirectory, clock: decisions.clock.Clock, agreement: () => agreements.Agreement | undefined) {
    this.#directory = directory
    this.#clock = clock
    this.#agreement = agreement
  }

  /**
   * Cancels a request at its target and returns what to bill for it. `incarnation` is the one that dispatched the request.
   * A stream that another router has resumed is billed by that router, so it is `not-run` here; one that its own router still
   * reads is settled later.
   */
  async settle (intent: decisions.journalTypes.Intent, incarnation: string): Promise<SettleOutcome> {
    const engine = this.#directory.engineClient(intent.target)
    if (engine === undefined) return this.#settleWithoutEngine(intent)
    try {
      const result = await engine.cancel(intent.requestId, '')
      return pattern.match(result)
        .with({ kind: 'never-ran' }, ({ rememberedMs }) => this.#outcomeOfNeverRan(intent, rememberedMs))
        .with({ kind: 'attached' }, (attached) => outcomeOfAttached(intent, attached.incarnation, incarnation))
        .with({ kind: 'ended' }, (ended) => outcomeOfEnded(intent, ended, incarnation))
        .exhaustive()
    } catch {
      return { kind: 'later' }
    }
  }

  /** Bills a call that may have run: it was recorded and not answered, and a plain service cannot report its outcome. */
  #settleWithoutEngine (intent: decisions.journalTypes.Intent): SettleOutcome {
    const agreement = this.#agreement()
    if (agreement === undefined) return { kind: 'later' }
    return { kind: 'billed', bill: createUnknownBill(intent) }
  }

  /** Bills the whole reservation unless the target would still remember the request. */
  #outcomeOfNeverRan (intent: decisions.journalTypes.Intent, rememberedMs: number): SettleOutcome {
    if (provesNeverRan(intent, rememberedMs, this.#clock)) return { kind: 'not-run', requestId: intent.requestId }
    return { kind: 'billed', bill: createUnknownBill(intent) }
  }
}

/**
 * Returns true if the request is so recent that its target would still remember it, so that a target that does not know it
 * has not run it. `rememberedMs` is the time for which the target remembers requests.
 */
export function provesNeverRan (intent: decisions.journalTypes.Intent, rememberedMs: number, clock: decisions.clock.Clock): boolean {
  const ageMs = clock.wallNow() - intent.openedAtMs
  return ageMs + CLOCK_SKEW_MARGIN_MS < rememberedMs
}

/** Creates the bill of a request that may have run and whose usage is unknown: its whole reservation. */
export function createUnknownBill (intent: decisions.journalTypes.Intent): decisions.journalTypes.Bill {
  const completionTokens = intent.reservedTokens - intent.reservedPromptTokens
  const bill = createBill(intent, { promptTokens: intent.reservedPromptTokens, completionTokens }, false)
  return { ...bill, outcome: decisions.journalTypes.BillOutcome.unknown }
}

/** Creates the bill of a request for the tokens that its target served. */
export function createBill (intent: decisions.journalTypes.Intent, usage: { promptTokens: number, completionTokens: number }, isComplete: boolean): decisions.journalTypes.Bill {
  return {
    requestId: intent.requestId,
    account: intent.account,
    budget: intent.budget,
    target: intent.target,
    key: intent.key,
    promptTokens: usage.promptTokens,
    completionTokens: usage.completionTokens,
    outcome: isComplete ? decisions.journalTypes.BillOutcome.complete : decisions.journalTypes.BillOutcome.partial
  }
}

function outcomeOfEnded (intent: decisions.journalTypes.Intent, ended: Extract<targets.engineTypes.CancelResult, { kind: 'ended' }>, owner: string): SettleOutcome {
  if (ended.incarnation !== owner) return { kind: 'not-run', requestId: intent.requestId }
  return { kind: 'billed', bill: createBill(intent, ended.usage, ended.finished) }
}

function outcomeOfAttached (intent: decisions.journalTypes.Intent, reader: string, owner: string): SettleOutcome {
  if (reader === owner) return { kind: 'later' }
  return { kind: 'not-run', requestId: intent.requestId }
}
