import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as estimators from './token-estimator.js'
import * as pageClients from './token-page-client.js'
import * as acquirers from './token-acquirer.js'
import type * as types from './token-types.js'

const { TokenRole } = decisions.tokenHolders

/** Outcome of a reservation. `unreachable`: no tokens were found, but the budget is not known to be used up. */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** Interval at which the pool is brought back to its desired level, in milliseconds. */
const REBALANCE_INTERVAL_MS = 1500

/** Jitter to either side of the interval, as a share of it. Without it, gateways that started together would keep writing the token page at the same time. */
const REBALANCE_JITTER_SHARE = 0.5

/** Least change that is written to the token page, as a share of the account's prepaid total. Smaller ones wait for a later round. */
const MINIMUM_CHANGE_SHARE = 0.002

/** Least return of a borrower to a holder, as a share of the account's prepaid total. It is smaller, as a large fleet has many borrowers. */
const MINIMUM_BORROWER_RETURN_SHARE = 0.0002

/** Draws that a gateway makes before it answers another gateway's request for tokens. The second one covers requests that arrived during the first. */
const MAXIMUM_DRAWS_PER_TRANSFER = 2

/** Attempts to acquire tokens for one request, also where no way to them is in sight. */
const MINIMUM_ACQUIRE_ATTEMPTS = 3

/** Pause between two looks for tokens, in milliseconds. */
const ACQUIRE_PAUSE_MS = 50

/** Largest page age that is told to other gateways, in milliseconds. */
const MAXIMUM_REPORTED_AGE_MS = 1_000_000

export { POOL_POLICY } from './pool-policy.js'
export type Patience = types.Patience

const DEFAULT_PATIENCE: Patience = { underWayMs: 0, isGone: () => false }

/**
 * Reserves tokens for requests: from this gateway's pool, else from other gateways, else from the token page. Owns the pool and keeps
 * it near its desired level.
 */
export class TokenAllocator {
  readonly #options: types.TokenAllocatorOptions
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #estimator: estimators.TokenEstimator
  readonly #acquirer: acquirers.TokenAcquirer
  readonly #stop = new AbortController()
  #isClosing = false

  constructor (pool: decisions.tokenPool.TokenPool, options: types.TokenAllocatorOptions) {
    this.#pool = pool
    this.#options = options
    this.#estimator = new estimators.TokenEstimator(pool, options)
    this.#acquirer = new acquirers.TokenAcquirer(pool, this.#estimator, options)
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#stop.abort()
  }

  /** Returns the free tokens by account, for heartbeats and metrics. */
  freeTokens (): Record<string, number> {
    return Object.fromEntries([...this.#pool.levels()].map(([account, level]) => [account, level.free]))
  }

  /** Returns the tokens a second that each account spends at this gateway, for heartbeats. */
  spending (): Record<string, number> {
    return Object.fromEntries([...this.#pool.levels().keys()].map((account) => [account, Math.round(this.#pool.spendingRate(account, this.#seconds()))]))
  }

  /** Returns the values that a reservation is decided by, for the log. */
  reservationInputs (account: string): Record<string, unknown> {
    return {
      free: this.#pool.freeTokens(account),
      elsewhere: this.#estimator.freeElsewhere(account),
      remaining: this.#options.page.remaining(account),
      pageAgeMs: Math.round(this.#options.page.ageMs(account)),
      pending: this.#options.page.pending(account),
      role: this.#options.holders(account).role,
      isStoreReachable: this.#options.isStoreReachable(),
      asked: this.#acquirer.lastAnswers(account)
    }
  }

  /** Returns true if a request's tokens are on the page or free here, as far as this gateway knows. */
  isBudgetLeft (account: string, tokens: number): boolean {
    return this.#options.page.remaining(account) + this.#pool.freeTokens(account) >= tokens
  }

  /**
   * Reserves a request's worst case in tokens. Acquires them first if the pool has too few; no attempt starts later than `ACQUIRE_TIMEOUT_MS`.
   * Then waits only for tokens that are under way, for as long as `patience` says.
   */
  async reserve (account: string, tokens: number, patience = DEFAULT_PATIENCE): Promise<ReserveOutcome> {
    if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
    const { clock } = this.#options
    const startedAt = clock.now()
    const deadline = startedAt + acquirers.ACQUIRE_TIMEOUT_MS
    this.#acquirer.addWaitingTokens(account, tokens)
    try {
      // Pauses are counted as well, as a clock may stand still.
      let pausedMs = 0
      for (let attempt = 1; ; attempt++) {
        if (this.#estimator.isUsedUpForGood(account, tokens, startedAt) && !this.#acquirer.isBroadcastDue(account)) return ReserveOutcome.exhausted
        await this.#acquirer.acquire(account)
        if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
        if (this.#estimator.isUsedUpForGood(account, tokens, startedAt)) return ReserveOutcome.exhausted
        const pauseMs = attempt < MINIMUM_ACQUIRE_ATTEMPTS ? 0 : ACQUIRE_PAUSE_MS
        pausedMs += pauseMs
        const isTimeOver = clock.now() + pauseMs >= deadline || pausedMs >= acquirers.ACQUIRE_TIMEOUT_MS
        if (patience.isGone() || isTimeOver || (pauseMs > 0 && !this.#isWayInSight(account))) break
        if (pauseMs > 0) await clock.sleep(pauseMs)
        if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
      }
      return await this.#awaitTokens(account, tokens, startedAt, patience)
    } finally {
      this.#acquirer.addWaitingTokens(account, -tokens)
    }
  }

  /** Waits for tokens that are under way, without asking for more, and reserves them. */
  async #awaitTokens (account: string, tokens: number, startedAt: number, patience: Patience): Promise<ReserveOutcome> {
    const { clock } = this.#options
    const deadline = startedAt + acquirers.ACQUIRE_TIMEOUT_MS + patience.underWayMs
    while (patience.underWayMs > 0 && !patience.isGone() && clock.now() < deadline && this.#isUnderWay(account, tokens)) {
      await clock.sleep(Math.min(ACQUIRE_PAUSE_MS, deadline - clock.now()))
      if (this.#pool.reserve(account, tokens)) return ReserveOutcome.reserved
    }
    return this.#estimator.isUsedUpForGood(account, tokens, startedAt) ? ReserveOutcome.exhausted : ReserveOutcome.unreachable
  }

  #isUnderWay (account: string, tokens: number): boolean {
    return this.#options.page.pending(account) >= tokens || this.#options.hasLateTransfer(account)
  }

  /** In a small fleet each gateway has only its own way to the store, which the attempts have tried. */
  #isWayInSight (account: string): boolean {
    return this.#options.holders(account).role !== TokenRole.peer && this.#options.isStoreReachable()
  }

  /** Ends a reservation: counts the spent tokens and frees the rest. */
  settle (account: string, reservedTokens: number, spentTokens: number): void {
    this.#pool.settle(account, reservedTokens, spentTokens, this.#seconds())
  }

  /**
   * Takes free tokens out of the pool for another gateway, up to the requested number. In a small fleet, a gateway that needs the tokens
   * itself and has priority gives none. In a large one it draws what it lacks first, whatever its role, except for a holder that reaches the store:
   * the asking gateway may know the fleet better.
   */
  async handleTransfer ({ account, tokens, asker }: routers.gatewayMessages.TokenTransferRequest): Promise<routers.gatewayMessages.TokenTransferReply> {
    const { role, otherHolders } = this.#options.holders(account)
    if (role === TokenRole.peer) {
      const given = this.#acquirer.hasPriorityOver(account, asker) ? 0 : this.#pool.withdraw(account, tokens)
      return { tokens: given, usedUp: false, freeTokens: this.#pool.freeTokens(account), pageAgeMs: 0 }
    }
    // A holder that reaches the store draws at the same time, and would find here the same tokens once more.
    const isAskedByHolder = role === TokenRole.standby && otherHolders[0]?.peerAddress === asker && otherHolders[0].reachesStore === true
    if (this.#pool.freeTokens(account) < tokens && !isAskedByHolder) await this.#drawForTransfer(account, tokens)
    const given = this.#pool.transferOut(account, tokens, this.#seconds())
    const usedUp = role === TokenRole.holder && given < tokens && this.#estimator.isUsedUpForGood(account, tokens - given)
    const pageAgeMs = Math.min(Math.ceil(this.#options.page.ageMs(account)), MAXIMUM_REPORTED_AGE_MS) + 1
    return { tokens: given, usedUp, freeTokens: this.#pool.freeTokens(account), pageAgeMs }
  }

  async #drawForTransfer (account: string, tokens: number): Promise<void> {
    this.#acquirer.addWaitingTokens(account, tokens)
    try {
      for (let count = 0; count < MAXIMUM_DRAWS_PER_TRANSFER && this.#pool.freeTokens(account) < tokens; count++) await this.#acquirer.draw(account)
    } finally {
      this.#acquirer.addWaitingTokens(account, -tokens)
    }
  }

  /**
   * Returns all free tokens to the token page, or to another gateway if the store is unreachable, and holds none ahead of demand any more. What
   * requests free later goes to the gateway that holds the account's tokens.
   */
  async returnAllTokens (): Promise<void> {
    this.#isClosing = true
    this.#estimator.close()
    const returned = new Map<string, number>()
    for (const [account, level] of this.#pool.levels()) {
      const tokens = this.#pool.withdraw(account, level.free)
      if (tokens > 0) returned.set(account, tokens)
    }
    if (returned.size === 0) return
    const result = await this.#options.page.giveBack(returned)
    this.#options.logger.info({ event: 'tokens-handed-back', result, accounts: returned.size })
    if (result === pageClients.PageResult.unreachable) await Promise.all([...returned.keys()].map(async (account) => { await this.#returnToHolder(account, Infinity) }))
  }

  /** Sends up to `tokens` free tokens to the first other gateway that draws from the token page. Does nothing if there is none. */
  async #returnToHolder (account: string, tokens: number): Promise<void> {
    const [holder] = this.#options.holders(account).otherHolders
    if (holder === undefined) return
    const returned = this.#pool.withdraw(account, tokens)
    if (returned > 0) await this.#options.returnTokens(holder.peerAddress, account, returned)
  }

  /**
   * Brings the pool back to the desired level of each account: draws what is lacking and returns what is idle. Writes the token page only
   * if an account is far from its level; the write then includes all accounts that differ by more than the least change. A borrower
   * returns tokens to a holder instead.
   */
  async rebalance (): Promise<void> {
    const totals = this.#options.prepaidTotals()
    if (totals === undefined || !this.#options.isFleetKnown()) return
    const accounts = Object.keys(totals.totals)
    if (this.#isClosing) {
      await Promise.all(accounts.map(async (account) => { await this.#returnToHolder(account, Infinity) }))
      return
    }
    const isBorrowed = (account: string): boolean => this.#isBorrowed(account)
    await Promise.all([
      ...accounts.filter(isBorrowed).map(async (account) => { await this.#returnExcess(account, totals.totals[account]) }),
      this.#rebalanceWithPage(new Map(accounts.filter((account) => !isBorrowed(account)).map((account) => [account, totals.totals[account]])))
    ])
  }

  #isBorrowed (account: string): boolean {
    const { role } = this.#options.holders(account)
    return role === TokenRole.borrower || role === TokenRole.standby
  }

  async #returnExcess (account: string, total: number): Promise<void> {
    const desired = this.#estimator.desiredLevel(account)
    const excess = this.#pool.freeTokens(account) - desired
    if (excess >= total * MINIMUM_BORROWER_RETURN_SHARE && this.#pool.needsRebalancing(account, desired)) await this.#returnToHolder(account, excess)
  }

  async #rebalanceWithPage (totals: Map<string, number>): Promise<void> {
    if (totals.size === 0) return
    const unknown = [...totals.keys()].filter((account) => this.#options.page.ageMs(account) === Infinity)
    if (unknown.length > 0 && await this.#options.page.draw(new Map(unknown.map((account) => [account, 0]))) === pageClients.PageResult.unreachable) return
    const draws = new Map<string, number>()
    const excess = new Map<string, number>()
    let isDue = false
    for (const [account, total] of totals) {
      const desired = this.#estimator.desiredLevel(account)
      const change = desired - this.#pool.freeTokens(account) - this.#options.page.pending(account)
      const isOffLevel = this.#pool.needsRebalancing(account, desired, this.#rebalancingRatios(account))
      if (Math.abs(change) < total * MINIMUM_CHANGE_SHARE) continue
      if (change > 0) draws.set(account, change)
      else if (isOffLevel) excess.set(account, -change)
      isDue ||= isOffLevel
    }
    if (!isDue) return
    this.#logHeldTokens([...totals.keys()])
    await this.#options.page.change(draws, new Map([...excess].map(([account, tokens]) => [account, this.#pool.withdraw(account, tokens)])))
  }

  #logHeldTokens (accounts: string[]): void {
    const levels = this.#pool.levels()
    this.#options.logger.info({
      event: 'tokens-held',
      accounts: accounts.map((account) => ({ account, free: levels.get(account)?.free ?? 0, reserved: levels.get(account)?.reserved ?? 0, desired: this.#estimator.desiredLevel(account) }))
    })
  }

  #rebalancingRatios (account: string): decisions.tokenPool.RebalancingRatios | undefined {
    return this.#options.holders(account).role === TokenRole.holder ? decisions.tokenPool.SOLE_HOLDER_RATIOS : undefined
  }

  /** Draws for another gateway, as the one that writes the token page for all. */
  async handleDraw (request: routers.gatewayMessages.DrawRequest): Promise<routers.gatewayMessages.DrawReply> {
    return await this.#options.page.drawForOther(request)
  }

  async #run (): Promise<void> {
    for (;;) {
      await this.#options.clock.sleep(this.#nextDelayMs(), this.#stop.signal)
      if (this.#stop.signal.aborted) return
      await this.rebalance()
    }
  }

  #nextDelayMs (): number {
    const jitterMs = REBALANCE_INTERVAL_MS * REBALANCE_JITTER_SHARE
    return REBALANCE_INTERVAL_MS - jitterMs + this.#options.random.integer(Math.ceil(2 * jitterMs))
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}
