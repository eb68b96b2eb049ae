import type * as decisions from '@acaciaweir/decisions'
import * as types from './token-types.js'

/** Seconds of spending that a borrower keeps in its pool. It returns the rest to a holder. */
const BORROWER_KEEPS_SECONDS = 1

/** Age up to which the cached token page proves that a budget is used up, in milliseconds. */
const EXHAUSTION_PROOF_MAXIMUM_AGE_MS = 2500

/** Time for which a report of all asked holders that a budget is used up stays valid, in milliseconds. */
const EXHAUSTION_REPORT_VALIDITY_MS = 300

/** Estimates, from the cached token page and the reports of other gateways, how many tokens an account has left in the whole fleet. */
export class TokenEstimator {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #options: types.TokenAllocatorOptions
  /** Time of the holders' last report that the budget is used up, by account. */
  readonly #usedUpAt = new Map<string, number>()

  constructor (pool: decisions.tokenPool.TokenPool, options: types.TokenAllocatorOptions) {
    this.#pool = pool
    this.#options = options
  }

  /**
   * Free tokens that the pool should hold. A borrower requests tokens only on demand, so its level is what it has, up to
   * one second of spending.
   */
  desiredLevel (account: string): number {
    const { role, otherHolders } = this.#options.holders(account)
    if (role === types.TokenRole.borrower) return Math.min(this.#pool.freeTokens(account), this.#pool.expectedSpending(account, BORROWER_KEEPS_SECONDS, this.#seconds()))
    const ownRate = this.#pool.spendingRate(account, this.#seconds())
    const isSpendingKnown = role === types.TokenRole.peer
    return this.#pool.desiredLevel(account, {
      remainingOnPage: this.#options.pageClient.remaining(account),
      freeElsewhere: isSpendingKnown ? this.freeElsewhere(account) : this.#pool.freeTokens(account) * otherHolders.length,
      spendingElsewhere: isSpendingKnown ? otherHolders.reduce((sum, other) => sum + (other.spending ?? 0), 0) : ownRate * otherHolders.length,
      holderCount: otherHolders.length + 1
    }, this.#options.policy, this.#seconds())
  }

  /** Records that all asked holders reported the account's budget as used up. */
  recordUsedUp (account: string): void {
    this.#usedUpAt.set(account, this.#options.clock.now())
  }

  /**
   * Returns true if a request for the given tokens is known not to fit the budget: by a recent report of the holders, or by
   * a recent token page together with the free tokens of all gateways.
   */
  isUsedUp (account: string, tokens: number): boolean {
    if (this.#options.clock.now() - (this.#usedUpAt.get(account) ?? -Infinity) < EXHAUSTION_REPORT_VALIDITY_MS) return this.#pool.freeTokens(account) < tokens
    if (this.#options.pageClient.ageMs() > EXHAUSTION_PROOF_MAXIMUM_AGE_MS) return false
    return this.#options.pageClient.remaining(account) + this.#pool.freeTokens(account) + this.freeElsewhere(account) < tokens
  }

  /** Free tokens at the other gateways, by their last reports. */
  freeElsewhere (account: string): number {
    return this.#options.holders(account).otherHolders.reduce((sum, holder) => sum + (holder.freeTokens ?? 0), 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
