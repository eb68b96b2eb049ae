import type * as decisions from '@acaciaweir/decisions'
import * as types from './token-types.js'

/** Time of spending that a borrower keeps, in seconds; what is beyond goes back. */
const KEPT_AHEAD_SECONDS = 1

/** Age of the page up to which it proves that a budget is used up, in milliseconds. */
const PAGE_FRESH_MS = 2500

/** Time for which the holders' word counts that a budget is used up, in milliseconds. */
const USED_UP_FOR_MS = 300

/** What this gateway can tell of an account's tokens beyond its own pool. */
export class TokenOutlook {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #options: types.TokenTaskOptions
  /** When the holders last said that an account's budget is used up. */
  readonly #usedUpAt = new Map<string, number>()

  constructor (pool: decisions.tokenPool.TokenPool, options: types.TokenTaskOptions) {
    this.#pool = pool
    this.#options = options
  }

  /** Level that the pool aims at. A borrower asks for what it needs, and keeps no more than a second of spending. */
  target (account: string): number {
    const { role, others } = this.#options.holders(account)
    if (role === types.TokenRole.borrower) return Math.min(this.#pool.free(account), this.#pool.spendingIn(account, KEPT_AHEAD_SECONDS, this.#seconds()))
    const own = this.#pool.rate(account, this.#seconds())
    const isKnown = role === types.TokenRole.peer
    return this.#pool.target(account, {
      remaining: this.#options.pages.remaining(account),
      freeElsewhere: isKnown ? this.elsewhere(account) : this.#pool.free(account) * others.length,
      spendingElsewhere: isKnown ? others.reduce((sum, other) => sum + (other.spending ?? 0), 0) : own * others.length,
      routers: others.length + 1
    }, this.#options.policy, this.#seconds())
  }

  /** Notes that all holders said that an account's budget is used up. */
  noteUsedUp (account: string): void {
    this.#usedUpAt.set(account, this.#options.clock.now())
  }

  /** Whether a fresh page and the other gateways together prove that the request does not fit. */
  isUsedUp (account: string, tokens: number): boolean {
    if (this.#options.clock.now() - (this.#usedUpAt.get(account) ?? -Infinity) < USED_UP_FOR_MS) return this.#pool.free(account) < tokens
    if (this.#options.pages.ageMs() > PAGE_FRESH_MS) return false
    return this.#options.pages.remaining(account) + this.#pool.free(account) + this.elsewhere(account) < tokens
  }

  /** Free tokens at the other gateways, as last heard. */
  elsewhere (account: string): number {
    return this.#options.holders(account).others.reduce((sum, holder) => sum + (holder.freeTokens ?? 0), 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
