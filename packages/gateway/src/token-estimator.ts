import * as decisions from '@acaciaweir/decisions'
import * as types from './token-types.js'

/** Seconds of spending that a borrower keeps in its pool. It returns the rest to the holder. */
const BORROWER_KEEPS_SECONDS = 1

/** Seconds after which a borrower without requests of an account returns all its tokens. Small rests at each of many gateways would add up to what an outage needs. */
const BORROWER_IDLE_SECONDS = 1

/** Age up to which the cached token page proves that a budget is used up, in milliseconds. */
const EXHAUSTION_PROOF_MAXIMUM_AGE_MS = 2500

/** Age up to which a page proves it to a request that came after it was read, in milliseconds. */
export const EARLIER_PAGE_MAXIMUM_AGE_MS = 600

/** Time for which the holder's report that a budget is used up stays valid, in milliseconds. */
const EXHAUSTION_REPORT_VALIDITY_MS = 300

const { TokenRole } = decisions.tokenHolders

/** A holder's report that a budget is used up. Times are in milliseconds. */
interface UsedUpReport {
  reportedAt: number
  /** When the page was as the holder knew it. */
  asOf: number
}

/** Estimates, from the cached token page and the reports of other gateways, how many tokens an account has left in the whole fleet. */
export class TokenEstimator {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #options: types.TokenAllocatorOptions
  /** The holder's last report that the budget is used up, by account. */
  readonly #usedUpReports = new Map<string, UsedUpReport>()
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

  /** Records that the holder reported the account's budget as used up, by a page that was read at `asOf` or later. */
  recordUsedUp (account: string, asOf: number): void {
    this.#usedUpReports.set(account, { reportedAt: this.#options.clock.now(), asOf })
  }

  /**
   * Returns true if a request for the given tokens is known not to fit the budget: by a recent report of the holder, or by
   * a recent token page together with the free tokens of all gateways. With `since`, only a page that was read at that time or later counts, or a moment
   * ago: tokens may have come back to an older one.
   */
  isUsedUp (account: string, tokens: number, since = -Infinity): boolean {
    const now = this.#options.clock.now()
    const oldestAsOf = Math.min(since, now - EARLIER_PAGE_MAXIMUM_AGE_MS)
    const report = this.#usedUpReports.get(account)
    if (report !== undefined && now - report.reportedAt < EXHAUSTION_REPORT_VALIDITY_MS && report.asOf >= oldestAsOf) return this.#pool.freeTokens(account) < tokens
    const pageAgeMs = this.#options.page.ageMs(account)
    if (pageAgeMs > EXHAUSTION_PROOF_MAXIMUM_AGE_MS || now - pageAgeMs < oldestAsOf) return false
    return this.#options.page.remaining(account) + this.#pool.freeTokens(account) + this.freeElsewhere(account) < tokens
  }

  /** Returns true if the budget is known to be used up, as by `isUsedUp`, and no tokens of it are on their way to this gateway. */
  isUsedUpForGood (account: string, tokens: number, since = -Infinity): boolean {
    return this.#options.page.pending(account) === 0 && !this.#options.hasLateTransfer(account) && this.isUsedUp(account, tokens, since)
  }

  /** Free tokens at the other gateways, by their last reports. */
  freeElsewhere (account: string): number {
    return this.#options.holders(account).otherHolders.reduce((sum, holder) => sum + (holder.freeTokens ?? 0), 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
