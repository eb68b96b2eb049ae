/** How many tokens the routers keep in their pools. */
export interface PoolPolicy {
  /** How long the pools last at the present spending rate while the platform is unavailable, in seconds. */
  horizonSeconds: number
  /** Largest fraction of an account's unspent tokens that all routers together hold ahead of demand. */
  maximumPooledShare: number
  /** Smallest fraction of an account's unspent tokens that several routers together hold. A part of it lies where no caller asks for it. */
  minimumPooledShare: number
  /** The same for the only holder of an account. */
  soleMinimumPooledShare: number
  /**
   * Fraction of an account's prepaid total that all routers together may hold ahead of demand, also where that is more than the largest
   * fraction of the unspent tokens. An account near its end is used up within the horizon anyway.
   */
  pooledShareOfTotal: number
  /** Factor of the two shares of the unspent tokens for an account near its end. Rises to 1 in proportion to the unspent tokens. */
  pooledShareFactorAtEnd: number
}

/** State of an account outside a router's own pool. */
export interface RemoteAccountState {
  /** Tokens remaining on the page. */
  remainingOnPage: number
  /** Free tokens in the pools of the other routers. */
  freeElsewhere: number
  /** Spending of the other routers, in tokens per second. */
  spendingElsewhere: number
  /** Prepaid total of the account. */
  total: number
  /** Number of routers that hold tokens of the account, including this one. */
  holderCount: number
}

/** Time constant of the spending rate's exponential moving average, in seconds. */
const RATE_TIME_CONSTANT_SECONDS = 6

/** Shortest time over which the first spending of an account is averaged, in seconds. */
const MINIMUM_AVERAGING_SECONDS = 1.5

/** Time constant of the transition from an even split to a split by spending, in seconds. */
const EVEN_SPLIT_DECAY_SECONDS = 10

/** Smallest weight of the even split. A router in a network partition has to serve callers that used other routers before. */
const MINIMUM_EVEN_WEIGHT = 0.25

/** Ratio to the target level above which a pool returns the excess. Below it, small changes cause no page write. */
const RETURN_RATIO = 1.25

/** The same for the only holder of an account. All others reach what it holds, and its level follows a spending that changes from second to second. */
const SOLE_HOLDER_RETURN_RATIO = 2

/** Ratio to the target level below which a pool is refilled, if several routers hold an account's tokens. */
const REFILL_RATIO = 0.7

/** The same for the only holder of an account. No other pool makes good what its own lacks when an outage begins. */
const SOLE_HOLDER_REFILL_RATIO = 0.9

/** Ratios to the target level beyond which a pool is brought back to it. */
export interface RebalancingRatios {
  refillRatio: number
  returnRatio: number
}

const DEFAULT_RATIOS: RebalancingRatios = { refillRatio: REFILL_RATIO, returnRatio: RETURN_RATIO }

/** Those of the only holder of an account. */
export const SOLE_HOLDER_RATIOS: RebalancingRatios = { refillRatio: SOLE_HOLDER_REFILL_RATIO, returnRatio: SOLE_HOLDER_RETURN_RATIO }

interface AccountPool {
  free: number
  reserved: number
  /** Moving average of the spending, in tokens per second, as of `rateUpdatedAt`. */
  tokensPerSecond: number
  /** Time of the last update of `tokensPerSecond`, in seconds. */
  rateUpdatedAt: number
  /** This router has observed the account while no router spent its tokens. */
  wasIdle: boolean
  /**
   * When this router first observed that any router spends the account's tokens, in seconds.
   * -Infinity if the account was spending already when this router first observed it.
   */
  spendingSince: number | undefined
  /** When this router first spent tokens of the account or gave some to another router, in seconds. */
  firstSpentAt: number | undefined
  /** When a reservation of the account last ended, in seconds; -Infinity before the first one. */
  lastUsedAt: number
}

/** Snapshot of one account's pool. `free` and `reserved` are in tokens. */
export interface PoolLevel {
  free: number
  reserved: number
  tokensPerSecond: number
}

/** Tokens that one router has drawn from the page, by account: free ones and those reserved by requests in progress. */
export class TokenPool {
  readonly #accounts = new Map<string, AccountPool>()

  /** Tokens that can be reserved now. */
  freeTokens (account: string): number {
    return this.#accounts.get(account)?.free ?? 0
  }

  /** Reserves tokens. Returns false if fewer are free. */
  reserve (account: string, tokens: number): boolean {
    const pool = this.#pool(account)
    if (pool.free < tokens) return false
    pool.free -= tokens
    pool.reserved += tokens
    return true
  }

  /** Closes a reservation: charges the spent tokens, at most the reserved ones, and frees the rest. */
  settle (account: string, reservedTokens: number, spentTokens: number, nowSeconds: number): void {
    const pool = this.#pool(account)
    const spent = Math.min(spentTokens, reservedTokens)
    pool.reserved -= reservedTokens
    pool.free += reservedTokens - spent
    pool.lastUsedAt = nowSeconds
    decayRate(pool, nowSeconds)
    addSpending(pool, spent, nowSeconds)
  }

  /** Adds tokens drawn from the page or received from another router. */
  add (account: string, tokens: number): void {
    this.#pool(account).free += tokens
  }

  /** Removes up to `tokens` free tokens for another router and counts them as spending of this one. Returns the number removed. */
  transferOut (account: string, tokens: number, nowSeconds: number): number {
    const given = this.withdraw(account, tokens)
    const pool = this.#pool(account)
    decayRate(pool, nowSeconds)
    if (given > 0) addSpending(pool, given, nowSeconds)
    return given
  }

  /** Returns the tokens that this router spends in `seconds` at the account's present rate, rounded up. */
  expectedSpending (account: string, seconds: number, nowSeconds: number): number {
    return Math.ceil(this.spendingRate(account, nowSeconds) * seconds)
  }

  /** Returns the time since a request of the account last ended here, in seconds; 0 while one is in progress, infinite if none ever ended. */
  idleSeconds (account: string, nowSeconds: number): number {
    const pool = this.#accounts.get(account)
    if (pool === undefined) return Infinity
    return pool.reserved > 0 ? 0 : nowSeconds - pool.lastUsedAt
  }

  /** Removes up to `tokens` free tokens from the pool. Returns the number removed. */
  withdraw (account: string, tokens: number): number {
    const pool = this.#pool(account)
    const taken = Math.max(0, Math.min(tokens, pool.free))
    pool.free -= taken
    return taken
  }

  /**
   * Returns the number of free tokens to keep in the pool: this router's part of the tokens that all routers hold together.
   * The total covers the spending of `policy.horizonSeconds`, bounded by shares of the unspent tokens, which fall as these get less, and of the prepaid total. The part is a
   * weighted mean of an even split and a split by spending.
   */
  desiredLevel (account: string, remote: RemoteAccountState, policy: PoolPolicy, nowSeconds: number): number {
    const ownRate = this.spendingRate(account, nowSeconds)
    const totalRate = ownRate + remote.spendingElsewhere
    const unspent = Math.max(0, remote.remainingOnPage + this.freeTokens(account) + remote.freeElsewhere)
    const unspentShare = remote.total > 0 ? Math.min(1, unspent / remote.total) : 1
    const scaledUnspent = unspent * (policy.pooledShareFactorAtEnd + (1 - policy.pooledShareFactorAtEnd) * unspentShare)
    const maximumLevel = Math.max(scaledUnspent * policy.maximumPooledShare, Math.min(unspent, remote.total * policy.pooledShareOfTotal))
    const minimumShare = remote.holderCount > 1 ? policy.minimumPooledShare : policy.soleMinimumPooledShare
    const totalLevel = Math.max(scaledUnspent * minimumShare, Math.min(totalRate * policy.horizonSeconds, maximumLevel))
    const evenShare = 1 / Math.max(1, remote.holderCount)
    const evenWeight = this.#evenWeight(account, totalRate, nowSeconds)
    return Math.floor(totalLevel * (totalRate > 0 ? evenWeight * evenShare + (1 - evenWeight) * ownRate / totalRate : evenShare))
  }

  /**
   * Returns the weight of the even split: 1 when spending of the account begins, because the first spending predicts little,
   * decaying to `MINIMUM_EVEN_WEIGHT`. Records when spending began.
   */
  #evenWeight (account: string, totalRate: number, nowSeconds: number): number {
    const pool = this.#pool(account)
    if (totalRate > 0) pool.spendingSince ??= pool.wasIdle ? nowSeconds : -Infinity
    else pool.wasIdle = true
    return Math.max(MINIMUM_EVEN_WEIGHT, Math.exp(-(nowSeconds - (pool.spendingSince ?? nowSeconds)) / EVEN_SPLIT_DECAY_SECONDS))
  }

  /** Returns this router's spending of the account's tokens, in tokens per second. */
  spendingRate (account: string, nowSeconds: number): number {
    const pool = this.#pool(account)
    decayRate(pool, nowSeconds)
    if (pool.firstSpentAt === undefined) return 0
    const observedWeight = 1 - Math.exp(-Math.max(MINIMUM_AVERAGING_SECONDS, nowSeconds - pool.firstSpentAt) / RATE_TIME_CONSTANT_SECONDS)
    return pool.tokensPerSecond / observedWeight
  }

  /**
   * Returns whether the free tokens differ so much from the target level that a change is worthwhile. `refillRatio` is the ratio to the target
   * level below which the pool is refilled, `returnRatio` the one above which it returns the excess.
   */
  needsRebalancing (account: string, targetLevel: number, { refillRatio, returnRatio } = DEFAULT_RATIOS): boolean {
    const { free } = this.#pool(account)
    return free < targetLevel * refillRatio || free > targetLevel * returnRatio
  }

  /** Returns a snapshot of all pools by account, for heartbeats and metrics. */
  levels (): Map<string, PoolLevel> {
    return new Map([...this.#accounts].map(([account, pool]) => [account, { free: pool.free, reserved: pool.reserved, tokensPerSecond: pool.tokensPerSecond }]))
  }

  #pool (account: string): AccountPool {
    let pool = this.#accounts.get(account)
    if (pool === undefined) {
      pool = { free: 0, reserved: 0, tokensPerSecond: 0, rateUpdatedAt: 0, firstSpentAt: undefined, lastUsedAt: -Infinity, wasIdle: false, spendingSince: undefined }
      this.#accounts.set(account, pool)
    }
    return pool
  }
}

function addSpending (pool: AccountPool, tokens: number, nowSeconds: number): void {
  pool.firstSpentAt ??= nowSeconds
  pool.tokensPerSecond += tokens / RATE_TIME_CONSTANT_SECONDS
}

function decayRate (pool: AccountPool, nowSeconds: number): void {
  const elapsed = Math.max(0, nowSeconds - pool.rateUpdatedAt)
  pool.tokensPerSecond *= Math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
  pool.rateUpdatedAt = nowSeconds
}
