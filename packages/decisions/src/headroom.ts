import type * as journal from './journal-types.js'
import type * as ledger from './ledger-types.js'

/** Tokens by budget and client account. */
export type TokensByBudget = Record<string, ledger.TokensByAccount>

/**
 * Tracks the tokens that an incarnation commits after one version of its journal, against the headroom that this
 * version grants. The stored journal therefore bounds what its owner may have spent even if all witnesses' copies are lost.
 */
export class HeadroomUsage {
  readonly headroom: TokensByBudget
  readonly #usedTokens = new Map<string, number>()
  readonly #openIntents = new Map<string, journal.Intent>()

  constructor (headroom: TokensByBudget) {
    this.headroom = headroom
  }

  /** Returns whether the reservation of a dispatch stays within the headroom of its budget and client account. */
  fits (intent: journal.Intent): boolean {
    const limit = this.headroom[intent.budget]?.[intent.account] ?? 0
    return (this.#usedTokens.get(accountKey(intent)) ?? 0) + intent.reservedTokens <= limit
  }

  /** Applies a record: an open request counts its reservation, a billed one its actual cost, one that did not run nothing. */
  applyRecord (record: journal.NewRecord): void {
    if (record.kind === 'open') {
      this.#addIntent(record.intent)
      return
    }
    const requestId = record.kind === 'billed' ? record.bill.requestId : record.requestId
    const intent = this.#openIntents.get(requestId)
    if (intent === undefined) return
    this.#openIntents.delete(requestId)
    const cost = record.kind === 'billed' ? record.bill.promptTokens + record.bill.completionTokens : 0
    this.#addTokens(intent, cost - intent.reservedTokens)
  }

  #addIntent (intent: journal.Intent): void {
    const earlier = this.#openIntents.get(intent.requestId)
    if (earlier !== undefined) this.#addTokens(earlier, -earlier.reservedTokens)
    this.#openIntents.set(intent.requestId, intent)
    this.#addTokens(intent, intent.reservedTokens)
  }

  #addTokens (intent: journal.Intent, tokens: number): void {
    const key = accountKey(intent)
    this.#usedTokens.set(key, (this.#usedTokens.get(key) ?? 0) + tokens)
  }
}

function accountKey (intent: journal.Intent): string {
  return `${intent.budget}/${intent.account}`
}
