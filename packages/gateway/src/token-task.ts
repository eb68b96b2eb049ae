import * as decisions from '@acaciaweir/decisions'
import type * as runtime from '@acaciaweir/runtime'
import * as pages from './token-pages.js'

/** Outcome of asking for tokens. */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** Interval at which the pool is brought back to its target, in milliseconds, for a fleet of up to ten gateways. */
const BALANCE_INTERVAL_MS = 1000

/** Added to the interval for each gateway beyond ten, in milliseconds, so that writes of the page seldom meet. */
const BALANCE_INTERVAL_PER_GATEWAY_MS = 80

/** Least time between two draws for waiting requests, for each gateway, in milliseconds. */
const DRAW_INTERVAL_PER_GATEWAY_MS = 10

/** Changes smaller than this share of an account's total are left for later. */
const SMALLEST_CHANGE_SHARE = 0.002

/** Tries to find tokens for one request. */
const MOST_TRIES = 3

/** Tokens asked of another gateway, as a multiple of what is lacking. */
const TRANSFER_FACTOR = 2

/** Age of the page up to which it proves that a budget is used up, in milliseconds. */
const PAGE_FRESH_MS = 2500

/** Longest time that a request waits for the page, in milliseconds. The store answers in a few; a request must not wait out its outage. */
const PAGE_WAIT_MS = 60

/** Time after all other gateways were asked in vain in which they are not asked again for the account, in milliseconds. */
const ASK_ALL_INTERVAL_MS = 300

/** Covers the longest outages of the store seen so far, and leaves a part of each budget to draw on after a crash of all. */
export const POOL_POLICY: decisions.tokenPool.PoolPolicy = { horizonSeconds: 10, aheadShare: 0.9, idleShare: 0.35 }

/** Another gateway that holds free tokens. */
export interface TokenHolder {
  peerAddress: string
  freeTokens: number
}

/** What keeping tokens needs. */
export interface TokenTaskOptions {
  pages: pages.TokenPages
  policy: decisions.tokenPool.PoolPolicy
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  totals: () => pages.PrepaidTotals | undefined
  /** Live gateways, this one included. */
  gateways: () => number
  /** The other gateways, with their free tokens of an account as last heard. */
  holders: (account: string) => TokenHolder[]
  /** Asks another gateway for tokens. Returns 0 where it does not answer. */
  transfer: (peerAddress: string, account: string, tokens: number) => Promise<number>
}

/** Reserves tokens for requests: from the pool, else from other gateways, else from the page. Owns the pool. */
export class TokenTask {
  readonly #options: TokenTaskOptions
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #stop = new AbortController()
  readonly #replenishing = new Map<string, Promise<void>>()
  readonly #askedAllAt = new Map<string, number>()
  #drawnAt = -Infinity
  #closing = false

  constructor (pool: decisions.tokenPool.TokenPool, options: TokenTaskOptions) {
    this.#pool = pool
    this.#options = options
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

  /** What a reservation was decided by, for the log. */
  inputs (account: string): Record<string, unknown> {
    return {
      free: this.#pool.free(account),
      elsewhere: this.#elsewhere(account),
      remaining: this.#options.pages.remaining(account),
      pageAgeMs: Math.round(this.#options.pages.ageMs())
    }
  }

  /** Reserves tokens for a request. */
  async reserve (account: string, tokens: number): Promise<ReserveOutcome> {
    for (let attempt = 0; attempt < MOST_TRIES; attempt++) {
      if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
      if (this.#isUsedUp(account, tokens) && !this.#mayAskAll(account)) return ReserveOutcome.exhausted
      await this.#replenishOnce(account, tokens)
    }
    if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
    return this.#isUsedUp(account, tokens) ? ReserveOutcome.exhausted : ReserveOutcome.unreachable
  }

  settle (account: string, reservedTokens: number, spentTokens: number): void {
    this.#pool.settle(account, reservedTokens, spentTokens, this.#seconds())
  }

  /** Gives free tokens to another gateway. */
  giveAway (account: string, tokens: number): number {
    return this.#pool.take(account, tokens)
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
  }

  /** Brings the pool back to its targets: draws what is lacking and returns what is idle. */
  async balance (): Promise<void> {
    const totals = this.#options.totals()
    if (totals === undefined || this.#closing) return
    const gateways = this.#options.gateways()
    const changes = new Map<string, number>()
    for (const [account, total] of Object.entries(totals.totals)) {
      const target = this.#pool.target(account, this.#options.pages.remaining(account), gateways, this.#options.policy, this.#seconds())
      const wanted = this.#pool.correction(account, target)
      if (Math.abs(wanted) < total * SMALLEST_CHANGE_SHARE) continue
      if (wanted > 0) changes.set(account, wanted)
      else changes.set(account, -this.#pool.take(account, -wanted))
    }
    if (changes.size > 0) await this.#options.pages.ask(changes)
  }

  async #run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.balance()
      const extra = Math.max(0, this.#options.gateways() - 10) * BALANCE_INTERVAL_PER_GATEWAY_MS
      await this.#options.clock.sleep(BALANCE_INTERVAL_MS + extra, this.#stop.signal)
    }
  }

  /** Requests that lack tokens of the same account share one search. */
  async #replenishOnce (account: string, tokens: number): Promise<void> {
    let running = this.#replenishing.get(account)
    if (running === undefined) {
      running = this.#replenish(account, tokens).finally(() => { this.#replenishing.delete(account) })
      this.#replenishing.set(account, running)
    }
    await running
  }

  async #replenish (account: string, tokens: number): Promise<void> {
    const lacking = tokens - this.#pool.free(account)
    if (await this.#collect(account, lacking)) return
    const now = this.#options.clock.now()
    if (this.#options.pages.isPaused() || now - this.#drawnAt < this.#options.gateways() * DRAW_INTERVAL_PER_GATEWAY_MS) return
    this.#drawnAt = now
    const target = this.#pool.target(account, this.#options.pages.remaining(account), this.#options.gateways(), this.#options.policy, this.#seconds())
    const drawn = this.#options.pages.ask(new Map([[account, Math.max(tokens - this.#pool.free(account), target)]]))
    await Promise.race([drawn, this.#options.clock.sleep(PAGE_WAIT_MS)])
  }

  /** Asks the gateways that hold most until enough has come, and then, now and then, those that held nothing when last heard. */
  async #collect (account: string, lacking: number): Promise<boolean> {
    let rest = lacking
    const all = this.#options.holders(account)
    const holders = all.filter((holder) => holder.freeTokens > 0).sort((left, right) => right.freeTokens - left.freeTokens)
    for (const holder of holders) {
      if (rest <= 0) return true
      const wanted = Math.min(rest * TRANSFER_FACTOR, Math.max(rest, Math.floor(holder.freeTokens / 2)))
      const received = await this.#options.transfer(holder.peerAddress, account, wanted)
      this.#pool.add(account, received)
      rest -= received
    }
    if (rest <= 0) return true
    if (!this.#mayAskAll(account)) return false
    this.#askedAllAt.set(account, this.#options.clock.now())
    const received = await Promise.all(all.map(async (holder) => await this.#options.transfer(holder.peerAddress, account, rest)))
    for (const tokens of received) this.#pool.add(account, tokens)
    return received.reduce((sum, tokens) => sum + tokens, 0) >= rest
  }

  #mayAskAll (account: string): boolean {
    return this.#options.clock.now() - (this.#askedAllAt.get(account) ?? -Infinity) >= ASK_ALL_INTERVAL_MS
  }

  /** Whether a fresh page and the other gateways together prove that the request does not fit. */
  #isUsedUp (account: string, tokens: number): boolean {
    if (this.#options.pages.ageMs() > PAGE_FRESH_MS) return false
    return this.#options.pages.remaining(account) + this.#pool.free(account) + this.#elsewhere(account) < tokens
  }

  /** Free tokens at the other gateways, as last heard. */
  #elsewhere (account: string): number {
    return this.#options.holders(account).reduce((sum, holder) => sum + holder.freeTokens, 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
