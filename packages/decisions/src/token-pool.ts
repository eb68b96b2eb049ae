/** How much allotment a router keeps at hand. */
export interface PoolPolicy {
  /** Time of spending that the pool covers while the platform is away, in seconds. */
  horizonSeconds: number
  /** Largest share of an account's unspent tokens that all routers hold together ahead of demand. */
  aheadShare: number
  /** Least share of an account's unspent tokens that all routers hold together. */
  idleShare: number
}

/** What a router knows of an account beyond its own pool. */
export interface AccountOutlook {
  /** Tokens that the page has left. */
  remaining: number
  /** Free tokens at the other routers. */
  freeElsewhere: number
  /** Tokens a second that the other routers spend. */
  spendingElsewhere: number
  /** Routers that hold tokens of the account, this one included. */
  routers: number
}

/** Time constant of the spending rate's moving average, in seconds. */
const RATE_WINDOW_SECONDS = 6

/** Least time over which a new account's spending is averaged, in seconds. */
const LEAST_SEEN_SECONDS = 1.5

/** Time constant with which parts come to follow an account's spending, in seconds. */
const LEARNING_SECONDS = 10

/** Least weight of the even part. A router that is cut off has to serve callers that were elsewhere before. */
const LEAST_EVEN_WEIGHT = 0.25

/** Pool over its target by this factor gives the excess back; below, small changes cause no write. */
const RETURN_FACTOR = 1.25

/** Pool under this share of its target is filled up. */
const REFILL_SHARE = 0.7

interface AccountPool {
  free: number
  reserved: number
  tokensPerSecond: number
  rateAt: number
  /** The account was seen when no router spent of it. */
  wasIdle: boolean
  /** When the first router spent of it, as far as this one has seen. */
  spendingSince: number | undefined
  /** When the account first spent here. */
  firstAt: number | undefined
}

/** Tokens of one account at a router. Unit: tokens. */
export interface PoolLevel {
  free: number
  reserved: number
  tokensPerSecond: number
}

/** The allotment that one router holds, by account: what is free and what requests in progress have reserved. */
export class TokenPool {
  readonly #accounts = new Map<string, AccountPool>()

  /** Tokens that can be reserved now. */
  free (account: string): number {
    return this.#accounts.get(account)?.free ?? 0
  }

  /** Reserves tokens, or returns false where they do not fit. */
  reserve (account: string, tokens: number): boolean {
    const pool = this.#pool(account)
    if (pool.free < tokens) return false
    pool.free -= tokens
    pool.reserved += tokens
    return true
  }

  /** Ends a reservation with what was spent, and frees the rest. */
  settle (account: string, reservedTokens: number, spentTokens: number, nowSeconds: number): void {
    const pool = this.#pool(account)
    const spent = Math.min(spentTokens, reservedTokens)
    pool.reserved -= reservedTokens
    pool.free += reservedTokens - spent
    decayRate(pool, nowSeconds)
    noteSpending(pool, spent, nowSeconds)
  }

  /** Adds tokens drawn from the page or received from another router. */
  add (account: string, tokens: number): void {
    this.#pool(account).free += tokens
  }

  /** Gives up to `tokens` free tokens to another router, which counts as spending here. Returns how many. */
  give (account: string, tokens: number, nowSeconds: number): number {
    const given = this.take(account, tokens)
    const pool = this.#pool(account)
    decayRate(pool, nowSeconds)
    if (given > 0) noteSpending(pool, given, nowSeconds)
    return given
  }

  /** Tokens that the account spends here in a time, at its present rate. */
  spendingIn (account: string, seconds: number, nowSeconds: number): number {
    return Math.ceil(this.rate(account, nowSeconds) * seconds)
  }

  /** Takes up to `tokens` free tokens out of the pool. Returns how many. */
  take (account: string, tokens: number): number {
    const pool = this.#pool(account)
    const taken = Math.max(0, Math.min(tokens, pool.free))
    pool.free -= taken
    return taken
  }

  /**
   * Level that the pool aims at: this router's part, by its spending, of what all hold together. That is the horizon's
   * spending within the two shares of what is unspent.
   */
  target (account: string, outlook: AccountOutlook, policy: PoolPolicy, nowSeconds: number): number {
    const own = this.rate(account, nowSeconds)
    const all = own + outlook.spendingElsewhere
    const unspent = Math.max(0, outlook.remaining + this.free(account) + outlook.freeElsewhere)
    const together = Math.max(unspent * policy.idleShare, Math.min(all * policy.horizonSeconds, unspent * policy.aheadShare))
    const evenPart = 1 / Math.max(1, outlook.routers)
    const weight = this.#evenWeight(account, all, nowSeconds)
    return Math.floor(together * (all > 0 ? weight * evenPart + (1 - weight) * own / all : evenPart))
  }

  /** How far a part is even rather than by spending: wholly where the account begins to spend, as that tells little yet. */
  #evenWeight (account: string, spendingOfAll: number, nowSeconds: number): number {
    const pool = this.#pool(account)
    if (spendingOfAll > 0) pool.spendingSince ??= pool.wasIdle ? nowSeconds : -Infinity
    else pool.wasIdle = true
    return Math.max(LEAST_EVEN_WEIGHT, Math.exp(-(nowSeconds - (pool.spendingSince ?? nowSeconds)) / LEARNING_SECONDS))
  }

  /** Tokens a second that the account spends here. */
  rate (account: string, nowSeconds: number): number {
    const pool = this.#pool(account)
    decayRate(pool, nowSeconds)
    if (pool.firstAt === undefined) return 0
    const seen = 1 - Math.exp(-Math.max(LEAST_SEEN_SECONDS, nowSeconds - pool.firstAt) / RATE_WINDOW_SECONDS)
    return pool.tokensPerSecond / seen
  }

  /** Whether the pool is so far from its target that it is worth a write of the page. */
  isOffTarget (account: string, target: number): boolean {
    const { free } = this.#pool(account)
    return free < target * REFILL_SHARE || free > target * RETURN_FACTOR
  }

  /** Levels of all accounts, for heartbeats and metrics. */
  levels (): Map<string, PoolLevel> {
    return new Map([...this.#accounts].map(([account, pool]) => [account, { free: pool.free, reserved: pool.reserved, tokensPerSecond: pool.tokensPerSecond }]))
  }

  #pool (account: string): AccountPool {
    let pool = this.#accounts.get(account)
    if (pool === undefined) {
      pool = { free: 0, reserved: 0, tokensPerSecond: 0, rateAt: 0, firstAt: undefined, wasIdle: false, spendingSince: undefined }
      this.#accounts.set(account, pool)
    }
    return pool
  }
}

function noteSpending (pool: AccountPool, tokens: number, nowSeconds: number): void {
  pool.firstAt ??= nowSeconds
  pool.tokensPerSecond += tokens / RATE_WINDOW_SECONDS
}

function decayRate (pool: AccountPool, nowSeconds: number): void {
  const elapsed = Math.max(0, nowSeconds - pool.rateAt)
  pool.tokensPerSecond *= Math.exp(-elapsed / RATE_WINDOW_SECONDS)
  pool.rateAt = nowSeconds
}
