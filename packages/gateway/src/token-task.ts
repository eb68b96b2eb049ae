import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
import * as pages from './token-pages.js'

/** Outcome of asking for tokens. */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** Interval at which the pool is brought back to its target, in milliseconds, for a fleet of up to ten gateways. */
const BALANCE_INTERVAL_MS = 1500

/** Share of the interval by which it varies to either side. Gateways that started together would go on writing the page together. */
const BALANCE_SPREAD = 0.5

/** Added to the interval for each gateway beyond ten, in milliseconds, so that writes of the page seldom meet. */
const BALANCE_INTERVAL_PER_GATEWAY_MS = 40

/** Time after a draw that was not enough in which waiting requests draw no more unless the page was seen to have more, for each gateway, in milliseconds. */
const VAIN_DRAW_PAUSE_PER_GATEWAY_MS = 20

/** Changes smaller than this share of an account's total are left for later. */
const SMALLEST_CHANGE_SHARE = 0.002

/** The same for a borrower, of which there are many. */
const SMALLEST_RETURN_SHARE = 0.0002

/** Tries to find tokens for one request. */
const MOST_TRIES = 3

/** Longest search for one request's tokens, in milliseconds: two gateways that do not answer. A refusal after it still lets the caller try elsewhere. */
const SEARCH_MS = 300

/** Tokens asked of another gateway, as a multiple of what is lacking. */
const TRANSFER_FACTOR = 2

/** Time of spending for which a gateway that does not draw for itself asks ahead, in seconds. */
const ASK_AHEAD_SECONDS = 1.5

/** Requests that must be expected within that time, or none is asked for ahead. */
const WORTH_ASKING_AHEAD = 1.5

/** Time of spending that such a gateway keeps, in seconds; what is beyond goes back. */
const KEPT_AHEAD_SECONDS = 1

/** Gateways asked one after the other for one request. Each may take a while to answer. */
const MOST_ASKED = 6

/** Age of the page up to which it proves that a budget is used up, in milliseconds. */
const PAGE_FRESH_MS = 2500

/** Longest time that a request waits for the page, in milliseconds. The store answers in a few; a request must not wait out its outage. */
const PAGE_WAIT_MS = 60

/** Time after all other gateways were asked in vain in which they are not asked again for the account, in milliseconds. */
const ASK_ALL_INTERVAL_MS = 300

/** Bridges nine seconds without the store, and leaves seven tenths of what an account has unspent to a fleet that lost all power. */
export const POOL_POLICY: decisions.tokenPool.PoolPolicy = { horizonSeconds: 9.5, aheadShare: 0.3, idleShare: 0.28 }

/** Another gateway that may have tokens of an account. */
export interface TokenHolder {
  peerAddress: string
  /** Free tokens as last heard; unknown in a large fleet. */
  freeTokens: number | undefined
  /** Tokens a second that it spends of the account, as last heard; unknown in a large fleet. */
  spending: number | undefined
}

/** How a gateway comes to an account's tokens. */
export const TokenRole = {
  /** Small fleet: draws from the page, and shares with all others. */
  peer: 'peer',
  /** Large fleet: draws from the page, also for the borrowers. */
  holder: 'holder',
  /** Large fleet: asks the holders. */
  borrower: 'borrower'
} as const
export type TokenRole = typeof TokenRole[keyof typeof TokenRole]

/** Where an account's tokens are. */
export interface AccountHolders {
  role: TokenRole
  /** Other gateways that draw from the page, the first to ask first. */
  others: TokenHolder[]
}

/** What keeping tokens needs. */
export interface TokenTaskOptions {
  /** Peer address of this gateway. */
  selfAddress: string
  pages: pages.TokenPages
  policy: decisions.tokenPool.PoolPolicy
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  totals: () => pages.PrepaidTotals | undefined
  /** Live gateways, this one included. */
  gateways: () => number
  /** Who draws the account's tokens from the page. */
  holders: (account: string) => AccountHolders
  /** Asks another gateway for tokens. Undefined where it does not answer. */
  transfer: (peerAddress: string, account: string, tokens: number) => Promise<routers.gatewayMessages.TokenTransferReply | undefined>
  /** Gives tokens to another gateway. */
  returnTokens: (peerAddress: string, account: string, tokens: number) => Promise<void>
}

/** Reserves tokens for requests: from the pool, else from other gateways, else from the page. Owns the pool. */
export class TokenTask {
  readonly #options: TokenTaskOptions
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #stop = new AbortController()
  readonly #replenishing = new Map<string, Promise<void>>()
  /** Worst cases of the requests that wait for tokens, by account. */
  readonly #waiting = new Map<string, number>()
  readonly #askedAllAt = new Map<string, number>()
  /** When the holders last said that an account's budget is used up. */
  readonly #usedUpAt = new Map<string, number>()
  /** When a draw for waiting requests last was not enough, by account. */
  readonly #drawnInVainAt = new Map<string, number>()
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

  /** Tokens a second that each account spends here, for heartbeats. */
  spending (): Record<string, number> {
    return Object.fromEntries([...this.#pool.levels().keys()].map((account) => [account, Math.round(this.#pool.rate(account, this.#seconds()))]))
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
    if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
    this.#addWaiting(account, tokens)
    try {
      const searchUntil = this.#options.clock.now() + SEARCH_MS
      for (let attempt = 0; attempt < MOST_TRIES && this.#options.clock.now() < searchUntil; attempt++) {
        if (this.#isUsedUp(account, tokens) && !this.#mayAskAll(account)) return ReserveOutcome.exhausted
        await this.#replenishOnce(account, tokens)
        if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
      }
      return this.#isUsedUp(account, tokens) ? ReserveOutcome.exhausted : ReserveOutcome.unreachable
    } finally {
      this.#addWaiting(account, -tokens)
    }
  }

  #addWaiting (account: string, tokens: number): void {
    this.#waiting.set(account, (this.#waiting.get(account) ?? 0) + tokens)
  }

  /** Tokens that the pool lacks for all requests that wait for it. */
  #lacking (account: string): number {
    return (this.#waiting.get(account) ?? 0) - this.#pool.free(account)
  }

  settle (account: string, reservedTokens: number, spentTokens: number): void {
    this.#pool.settle(account, reservedTokens, spentTokens, this.#seconds())
  }

  /** Gives free tokens to another gateway. Draws them first where this gateway draws for others. */
  async giveAway ({ account, tokens, asker }: routers.gatewayMessages.TokenTransferRequest): Promise<routers.gatewayMessages.TokenTransferReply> {
    const { role } = this.#options.holders(account)
    if (role === TokenRole.peer) return { tokens: this.#goesBefore(account, asker) ? 0 : this.#pool.take(account, tokens), usedUp: false, freeTokens: this.#pool.free(account) }
    if (role === TokenRole.holder && this.#pool.free(account) < tokens) await this.#draw(account, tokens)
    const given = this.#pool.give(account, tokens, this.#seconds())
    const usedUp = role === TokenRole.holder && given < tokens && this.#isUsedUp(account, tokens - given)
    return { tokens: given, usedUp, freeTokens: this.#pool.free(account) }
  }

  /** Whether this gateway keeps its tokens for its own waiting requests. Two that both lack some would only swap what they hold. */
  #goesBefore (account: string, asker: string): boolean {
    if (this.#lacking(account) <= 0) return false
    const { selfAddress } = this.#options
    return decisions.hashing.rendezvousOrder([selfAddress, asker], account, (address) => address)[0] === selfAddress
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
      const target = this.#target(account)
      const wanted = target - this.#pool.free(account)
      const isBorrower = this.#options.holders(account).role === TokenRole.borrower
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
    while (!this.#stop.signal.aborted) {
      await this.#options.clock.sleep(this.#nextPauseMs(), this.#stop.signal)
      await this.balance()
    }
  }

  #nextPauseMs (): number {
    const intervalMs = BALANCE_INTERVAL_MS + Math.max(0, this.#options.gateways() - 10) * BALANCE_INTERVAL_PER_GATEWAY_MS
    const spreadMs = intervalMs * BALANCE_SPREAD
    return intervalMs - spreadMs + this.#options.random.integer(Math.ceil(2 * spreadMs))
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
    const { role, others } = this.#options.holders(account)
    if (role === TokenRole.borrower) {
      await this.#borrow(account, others)
      return
    }
    const found = role === TokenRole.peer && await this.#collect(account, this.#lacking(account), others)
    if (!found) await this.#draw(account, tokens)
    if (role === TokenRole.holder && this.#lacking(account) > 0) await this.#borrow(account, others)
  }

  /** Draws from the page so that the tokens and all waiting requests fit, and up to the target. */
  async #draw (account: string, tokens: number): Promise<void> {
    const pauseMs = this.#options.gateways() * VAIN_DRAW_PAUSE_PER_GATEWAY_MS
    const sinceVainMs = this.#options.clock.now() - (this.#drawnInVainAt.get(account) ?? -Infinity)
    const isVain = sinceVainMs < pauseMs && this.#options.pages.remaining(account) < tokens - this.#pool.free(account)
    if (this.#options.pages.isPaused() || isVain) return
    const drawn = this.#options.pages.ask(new Map([[account, Math.max(tokens - this.#pool.free(account), this.#lacking(account), this.#target(account))]]))
    await Promise.race([drawn, this.#options.clock.sleep(PAGE_WAIT_MS)])
    if (this.#pool.free(account) < tokens) this.#drawnInVainAt.set(account, this.#options.clock.now())
  }

  /** Asks a few holders, one after the other, for what all waiting requests lack. */
  async #borrow (account: string, holders: TokenHolder[]): Promise<void> {
    let usedUp = holders.length > 0
    const askUntil = this.#options.clock.now() + SEARCH_MS
    for (const holder of holders.slice(0, MOST_ASKED)) {
      const lacking = this.#lacking(account)
      if (lacking <= 0 || this.#options.clock.now() >= askUntil) return
      const ahead = this.#pool.spendingIn(account, ASK_AHEAD_SECONDS, this.#seconds())
      const wanted = ahead > lacking * WORTH_ASKING_AHEAD ? lacking + ahead : lacking
      const received = await this.#options.transfer(holder.peerAddress, account, wanted)
      this.#pool.add(account, received?.tokens ?? 0)
      usedUp &&= received?.usedUp === true
    }
    if (usedUp) this.#usedUpAt.set(account, this.#options.clock.now())
  }

  /** Asks the gateways that hold most until enough has come, and then, now and then, those that held nothing when last heard. */
  async #collect (account: string, lacking: number, others: TokenHolder[]): Promise<boolean> {
    let rest = lacking
    for (const holder of mostFirst(others)) {
      if (rest <= 0) return true
      const wanted = Math.min(rest * TRANSFER_FACTOR, Math.max(rest, Math.floor(holder.freeTokens / 2)))
      rest -= await this.#receive(holder.peerAddress, account, wanted)
    }
    if (rest <= 0) return true
    if (!this.#mayAskAll(account)) return false
    this.#askedAllAt.set(account, this.#options.clock.now())
    const received = await Promise.all(others.map(async (holder) => await this.#receive(holder.peerAddress, account, rest)))
    return received.reduce((sum, tokens) => sum + tokens, 0) >= rest
  }

  async #receive (peerAddress: string, account: string, wanted: number): Promise<number> {
    const received = await this.#options.transfer(peerAddress, account, wanted)
    this.#pool.add(account, received?.tokens ?? 0)
    return received?.tokens ?? 0
  }

  /** Level that the pool aims at. A borrower asks for what it needs, and keeps no more than a second of spending. */
  #target (account: string): number {
    const { role, others } = this.#options.holders(account)
    if (role === TokenRole.borrower) return Math.min(this.#pool.free(account), this.#pool.spendingIn(account, KEPT_AHEAD_SECONDS, this.#seconds()))
    const own = this.#pool.rate(account, this.#seconds())
    const isKnown = role === TokenRole.peer
    return this.#pool.target(account, {
      remaining: this.#options.pages.remaining(account),
      freeElsewhere: isKnown ? this.#elsewhere(account) : this.#pool.free(account) * others.length,
      spendingElsewhere: isKnown ? others.reduce((sum, other) => sum + (other.spending ?? 0), 0) : own * others.length,
      routers: others.length + 1
    }, this.#options.policy, this.#seconds())
  }

  #mayAskAll (account: string): boolean {
    return this.#options.clock.now() - (this.#askedAllAt.get(account) ?? -Infinity) >= ASK_ALL_INTERVAL_MS
  }

  /** Whether a fresh page and the other gateways together prove that the request does not fit. */
  #isUsedUp (account: string, tokens: number): boolean {
    if (this.#options.clock.now() - (this.#usedUpAt.get(account) ?? -Infinity) < ASK_ALL_INTERVAL_MS) return this.#pool.free(account) < tokens
    if (this.#options.pages.ageMs() > PAGE_FRESH_MS) return false
    return this.#options.pages.remaining(account) + this.#pool.free(account) + this.#elsewhere(account) < tokens
  }

  /** Free tokens at the other gateways, as last heard. */
  #elsewhere (account: string): number {
    return this.#options.holders(account).others.reduce((sum, holder) => sum + (holder.freeTokens ?? 0), 0)
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}

/** Gateways that are known to hold tokens, those with most of them first. */
function mostFirst (holders: readonly TokenHolder[]): Array<TokenHolder & { freeTokens: number }> {
  const known = holders.map((holder) => ({ ...holder, freeTokens: holder.freeTokens ?? 0 })).filter((holder) => holder.freeTokens > 0)
  return known.sort((left, right) => right.freeTokens - left.freeTokens)
}
