import * as decisions from '@acaciaweir/decisions'
import * as types from './token-types.js'

/** Seconds of spending that a borrower keeps in its pool. It returns the rest to the holder. */
const BORROWER_KEEPS_SECONDS = 1

/** Seconds after which a borrower without requests of an account returns all its tokens. Small rests at each of many gateways would add up to what an outage needs. */
const BORROWER_IDLE_SECONDS = 1

/** Age up to which the cached token page proves that a budget is used up, in milliseconds. */
const EXHAUSTION_PROOF_MAXIMUM_AGE_MS = 2500

/** Time for which the holder's report that a budget is used up stays valid, in milliseconds. */
const EXHAUSTION_REPORT_VALIDITY_MS = 300

const { TokenRole } = decisions.tokenHolders

/** Estimates, from the cached token page and the reports of other gateways, how many tokens an account has left in the whole fleet. */
export class TokenEstimator {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #options: types.TokenAllocatorOptions
  /** Time of the holder's last report that the budget is used up, by account. */
  readonly #usedUpAt = new Map<string, number>()
  #isClosing = false

  constructor (pool: decisions.tokenPool.TokenPool, options: types.TokenAllocatorOptions) {
    this.#pool = pool
    this.#options = options
  }

  /**
   * Free tokens that the pool should hold. In a large fleet only the holder of an account keeps tokens ahead of demand; its spending includes
   * what it gives to others. All others keep what they have, up to one second of spending, while they serve the account.
   */
  desiredLevel (account: string): number {
    if (this.#isClosing) return 0
    const { role, otherHolders } = this.#options.holders(account)
    if (role === TokenRole.borrower || role === TokenRole.standby) {
      if (this.#pool.idleSeconds(account, this.#seconds()) > BORROWER_IDLE_SECONDS) return 0
      return Math.min(this.#pool.freeTokens(account), this.#pool.expectedSpending(account, BORROWER_KEEPS_SECONDS, this.#seconds()))
    }
    if (!this.#options.isFleetKnown()) return this.#pool.freeTokens(account)
    return this.#pool.desiredLevel(account, {
      total: this.#options.prepaidTotals()?.totals[account] ?? 0,
      remainingOnPage: this.#options.page.remaining(account),
      freeElsewhere: this.freeElsewhere(account),
      spendingElsewhere: otherHolders.reduce((sum, other) => sum + (other.spending ?? 0), 0),
      holderCount: role === TokenRole.holder ? 1 : otherHolders.length + 1
    }, this.#options.policy, this.#seconds())
  }

  /** Lets the pool hold nothing ahead of demand any more. */
  close (): void {
    this.#isClosing = true
  }

  /** Records that the holder reported the account's budget as used up. */
  recordUsedUp (account: string): void {
    this.#usedUpAt.set(account, this.#options.clock.now())
  }

  /**
   * Returns true if a request for the given tokens is known not to fit the budget: by a recent report of the holder, or by
   * a recent token page together with the free tokens of all gateways.
   */
  isUsedUp (account: string, tokens: number): boolean {
    if (this.#options.clock.now() - (this.#usedUpAt.get(account) ?? -Infinity) < EXHAUSTION_REPORT_VALIDITY_MS) return this.#pool.freeTokens(account) < tokens
    if (this.#options.page.ageMs(account) > EXHAUSTION_PROOF_MAXIMUM_AGE_MS) return false
    return this.#options.page.remaining(account) + this.#pool.freeTokens(account) + this.freeElsewhere(account) < tokens
  }

  /** Free tokens at the other gateways, by their last reports. */
  freeElsewhere (account: string): number {
    return this.#options.holders(account).otherHolders.reduce((sum, holder) => sum + (holder.freeTokens ?? 0), 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
