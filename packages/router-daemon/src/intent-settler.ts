import * as decisions from '@acaciaweir/decisions'
import type * as targets from '@acaciaweir/targets'
import * as pattern from 'ts-pattern'
import type * as agreements from './agreement.js'
import type * as directories from './target-directory.js'

/** Margin between the clocks of hosts and targets, in milliseconds. */
const MEMORY_MARGIN_MS = 2000

/** What a target's answer says about a request that lost its router or its answer. */
export type SettleOutcome =
  | { kind: 'billed', bill: decisions.journalTypes.Bill }
  | { kind: 'not-run', requestId: string }
  | { kind: 'later' }

/** Finds out from targets what became of requests. */
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
   * Ends a request at its target and tells what to bill for it.
   * A stream that another router has resumed is billed there; one that its own router still reads is left for later.
   */
  async settle (intent: decisions.journalTypes.Intent, incarnation: string): Promise<SettleOutcome> {
    const engine = this.#directory.engine(intent.target)
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

  /** Plain services cannot be asked; a call that was recorded and not answered may have run. */
  #settleWithoutEngine (intent: decisions.journalTypes.Intent): SettleOutcome {
    const agreement = this.#agreement()
    if (agreement === undefined) return { kind: 'later' }
    return { kind: 'billed', bill: unknownBill(intent) }
  }

  /** A target that may have forgotten the request proves nothing. */
  #outcomeOfNeverRan (intent: decisions.journalTypes.Intent, rememberedMs: number): SettleOutcome {
    if (provesNeverRan(intent, rememberedMs, this.#clock)) return { kind: 'not-run', requestId: intent.requestId }
    return { kind: 'billed', bill: unknownBill(intent) }
  }
}

/** True where a target that does not know a request would remember it. */
export function provesNeverRan (intent: decisions.journalTypes.Intent, rememberedMs: number, clock: decisions.clock.Clock): boolean {
  const ageMs = clock.wallNow() - intent.openedAtMs
  return ageMs + MEMORY_MARGIN_MS < rememberedMs
}

/** The bill of a request that may have run and whose target cannot tell: its whole reservation. */
export function unknownBill (intent: decisions.journalTypes.Intent): decisions.journalTypes.Bill {
  const completionTokens = intent.reservedTokens - intent.reservedPromptTokens
  const bill = billOf(intent, { promptTokens: intent.reservedPromptTokens, completionTokens }, false)
  return { ...bill, outcome: decisions.journalTypes.BillOutcome.unknown }
}

/** The bill of a request for what its target served. */
export function billOf (intent: decisions.journalTypes.Intent, usage: { promptTokens: number, completionTokens: number }, complete: boolean): decisions.journalTypes.Bill {
  return {
    requestId: intent.requestId,
    account: intent.account,
    budget: intent.budget,
    target: intent.target,
    key: intent.key,
    promptTokens: usage.promptTokens,
    completionTokens: usage.completionTokens,
    outcome: complete ? decisions.journalTypes.BillOutcome.complete : decisions.journalTypes.BillOutcome.partial
  }
}

function outcomeOfEnded (intent: decisions.journalTypes.Intent, ended: Extract<targets.engineTypes.CancelResult, { kind: 'ended' }>, owner: string): SettleOutcome {
  if (ended.incarnation !== owner) return { kind: 'not-run', requestId: intent.requestId }
  return { kind: 'billed', bill: billOf(intent, ended.usage, ended.finished) }
}

function outcomeOfAttached (intent: decisions.journalTypes.Intent, reader: string, owner: string): SettleOutcome {
  if (reader === owner) return { kind: 'later' }
  return { kind: 'not-run', requestId: intent.requestId }
}
