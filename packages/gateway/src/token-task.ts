import type * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as outlooks from './token-outlook.js'
import * as pages from './token-pages.js'
import * as searches from './token-search.js'
import * as types from './token-types.js'

/** Outcome of asking for tokens. */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** Interval at which the pool is brought back to its target, in milliseconds, for a fleet of up to ten gateways. */
const BALANCE_INTERVAL_MS = 1500

/** Share of the interval by which it varies to either side. Gateways that started together would go on writing the page together. */
const BALANCE_SPREAD = 0.5

/** Added to the interval for each gateway beyond ten, in milliseconds, so that writes of the page seldom meet. */
const BALANCE_INTERVAL_PER_GATEWAY_MS = 40

/** Changes smaller than this share of an account's total are left for later. */
const SMALLEST_CHANGE_SHARE = 0.002

/** The same for a borrower, of which there are many. */
const SMALLEST_RETURN_SHARE = 0.0002

/** Tries to find tokens for one request. */
const MOST_TRIES = 3

/** Bridges nine seconds without the store, and leaves seven tenths of what an account has unspent to a fleet that lost all power. */
export const POOL_POLICY: decisions.tokenPool.PoolPolicy = { horizonSeconds: 9.5, aheadShare: 0.3, idleShare: 0.28 }

/** Reserves tokens for requests: from the pool, else from other gateways, else from the page. Owns the pool. */
export class TokenTask {
  readonly #options: types.TokenTaskOptions
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #outlook: outlooks.TokenOutlook
  readonly #search: searches.TokenSearch
  readonly #stop = new AbortController()
  #closing = false

  constructor (pool: decisions.tokenPool.TokenPool, options: types.TokenTaskOptions) {
    this.#pool = pool
    this.#options = options
    this.#outlook = new outlooks.TokenOutlook(pool, options)
    this.#search = new searches.TokenSearch(pool, this.#outlook, options)
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#stop.abort()
  }

  /** Free tokens by account, for heartbeats and metrics. */
  freeTokens (): Record<string, number> {
    return Object.fromEntries([...this.#pool.levels()].map(([account, level]) => [account, level.free]))
  }

  /** Tokens a second that each account spends here, for heartbeats. */
  spending (): Record<string, number> {
    return Object.fromEntries([...this.#pool.levels().keys()].map((account) => [account, Math.round(this.#pool.rate(account, this.#seconds()))]))
  }

  /** What a reservation was decided by, for the log. */
  inputs (account: string): Record<string, unknown> {
    return {
      free: this.#pool.free(account),
      elsewhere: this.#outlook.elsewhere(account),
      remaining: this.#options.pages.remaining(account),
      pageAgeMs: Math.round(this.#options.pages.ageMs())
    }
  }

  /** Reserves tokens for a request. */
  async reserve (account: string, tokens: number): Promise<ReserveOutcome> {
    if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
    this.#search.addWaiting(account, tokens)
    try {
      const searchUntil = this.#options.clock.now() + searches.SEARCH_MS
      for (let attempt = 0; attempt < MOST_TRIES && this.#options.clock.now() < searchUntil; attempt++) {
        if (this.#outlook.isUsedUp(account, tokens) && !this.#search.mayAskAll(account)) return ReserveOutcome.exhausted
        await this.#search.search(account, tokens)
        if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
      }
      return this.#outlook.isUsedUp(account, tokens) ? ReserveOutcome.exhausted : ReserveOutcome.unreachable
    } finally {
      this.#search.addWaiting(account, -tokens)
    }
  }

  settle (account: string, reservedTokens: number, spentTokens: number): void {
    this.#pool.settle(account, reservedTokens, spentTokens, this.#seconds())
  }

  /** Gives free tokens to another gateway. Draws them first where this gateway draws for others. */
  async giveAway ({ account, tokens, asker }: routers.gatewayMessages.TokenTransferRequest): Promise<routers.gatewayMessages.TokenTransferReply> {
    const { role } = this.#options.holders(account)
    if (role === types.TokenRole.peer) {
      const given = this.#search.goesBefore(account, asker) ? 0 : this.#pool.take(account, tokens)
      return { tokens: given, usedUp: false, freeTokens: this.#pool.free(account) }
    }
    if (role === types.TokenRole.holder && this.#pool.free(account) < tokens) await this.#search.draw(account, tokens)
    const given = this.#pool.give(account, tokens, this.#seconds())
    const usedUp = role === types.TokenRole.holder && given < tokens && this.#outlook.isUsedUp(account, tokens - given)
    return { tokens: given, usedUp, freeTokens: this.#pool.free(account) }
  }

  /** Returns all free tokens to the page. */
  async handBack (): Promise<void> {
    this.#closing = true
    const changes = new Map<string, number>()
    for (const [account, level] of this.#pool.levels()) {
      const taken = this.#pool.take(account, level.free)
      if (taken > 0) changes.set(account, -taken)
    }
    if (changes.size === 0) return
    const result = await this.#options.pages.ask(changes)
    this.#options.logger.info({ event: 'tokens-handed-back', result, accounts: changes.size })
    if (result === pages.PageResult.unreachable) await Promise.all([...changes.keys()].map(async (account) => { await this.#returnTo(account, Infinity) }))
  }

  /** Gives free tokens to a gateway that draws for others, or to any other in a small fleet. */
  async #returnTo (account: string, tokens: number): Promise<void> {
    const [first] = this.#options.holders(account).others
    if (first === undefined) return
    const returned = this.#pool.take(account, tokens)
    if (returned > 0) await this.#options.returnTokens(first.peerAddress, account, returned)
  }

  /** Brings all pools back to their targets where one is far from its own: draws what is lacking and returns what is idle. */
  async balance (): Promise<void> {
    const totals = this.#options.totals()
    if (totals === undefined || this.#closing) return
    if (this.#options.pages.ageMs() === Infinity && await this.#options.pages.ask(new Map()) === pages.PageResult.unreachable) return
    const changes = new Map<string, number>()
    let isDue = false
    for (const [account, total] of Object.entries(totals.totals)) {
      const target = this.#outlook.target(account)
      const wanted = target - this.#pool.free(account)
      const isBorrower = this.#options.holders(account).role === types.TokenRole.borrower
      if (Math.abs(wanted) < total * (isBorrower ? SMALLEST_RETURN_SHARE : SMALLEST_CHANGE_SHARE)) continue
      const isOffTarget = this.#pool.isOffTarget(account, target)
      if (isBorrower) {
        if (isOffTarget) await this.#returnTo(account, -wanted)
        continue
      }
      changes.set(account, wanted)
      isDue ||= isOffTarget
    }
    if (!isDue) return
    for (const [account, wanted] of changes) {
      if (wanted < 0) changes.set(account, -this.#pool.take(account, -wanted))
    }
    await this.#options.pages.ask(changes)
  }

  async #run (): Promise<void> {
    for (;;) {
      await this.#options.clock.sleep(this.#nextPauseMs(), this.#stop.signal)
      if (this.#stop.signal.aborted) return
      await this.balance()
    }
  }

  #nextPauseMs (): number {
    const intervalMs = BALANCE_INTERVAL_MS + Math.max(0, this.#options.gateways() - 10) * BALANCE_INTERVAL_PER_GATEWAY_MS
    const spreadMs = intervalMs * BALANCE_SPREAD
    return intervalMs - spreadMs + this.#options.random.integer(Math.ceil(2 * spreadMs))
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
