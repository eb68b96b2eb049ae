import type * as journal from './journal-types.js'
import type * as ledger from './ledger-types.js'

/** Tokens by budget and client account. */
export type TokensByBudget = Record<string, ledger.TokensByAccount>

/**
 * Counts what an incarnation dispatches beyond one version of its journal, and keeps it within the headroom which
 * that version states. So the journal alone bounds what its owner may have spent, should all copies be lost.
 */
export class HeadroomWindow {
  readonly headroom: TokensByBudget
  readonly #used = new Map<string, number>()
  readonly #open = new Map<string, journal.Intent>()

  constructor (headroom: TokensByBudget) {
    this.headroom = headroom
  }

  /** True where a dispatch stays within the headroom. */
  fits (intent: journal.Intent): boolean {
    const limit = this.headroom[intent.budget]?.[intent.account] ?? 0
    return (this.#used.get(nameOf(intent)) ?? 0) + intent.reservedTokens <= limit
  }

  /** Counts a record. A closed request counts with what it truly cost. */
  note (record: journal.NewRecord): void {
    if (record.kind === 'open') {
      this.#replace(record.intent)
      return
    }
    const requestId = record.kind === 'billed' ? record.bill.requestId : record.requestId
    const intent = this.#open.get(requestId)
    if (intent === undefined) return
    this.#open.delete(requestId)
    const cost = record.kind === 'billed' ? record.bill.promptTokens + record.bill.completionTokens : 0
    this.#add(intent, cost - intent.reservedTokens)
  }

  #replace (intent: journal.Intent): void {
    const earlier = this.#open.get(intent.requestId)
    if (earlier !== undefined) this.#add(earlier, -earlier.reservedTokens)
    this.#open.set(intent.requestId, intent)
    this.#add(intent, intent.reservedTokens)
  }

  #add (intent: journal.Intent, tokens: number): void {
    const name = nameOf(intent)
    this.#used.set(name, (this.#used.get(name) ?? 0) + tokens)
  }
}

function nameOf (intent: journal.Intent): string {
  return `${intent.budget}/${intent.account}`
}
