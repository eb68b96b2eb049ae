import * as decisions from '@acaciaweir/decisions'
import * as estimators from './token-estimator.js'
import type * as types from './token-types.js'

const { TokenRole } = decisions.tokenHolders

/** Backoff after a draw that was not enough for the waiting requests, in milliseconds. It is skipped if the cached page shows enough tokens. */
const INSUFFICIENT_DRAW_BACKOFF_MS = 200

/** Time for which a gateway that did not answer in time is asked after the others, in milliseconds. */
const UNANSWERED_BACKOFF_MS = 1000

/**
 * Time limit for acquiring one request's tokens, in milliseconds. It covers the timeouts of two gateways that don't answer, and a
 * refusal still leaves the caller time to try another gateway.
 */
export const ACQUIRE_TIMEOUT_MS = 300

/** Most tokens to request from one gateway, as a multiple of the deficit. */
const TRANSFER_REQUEST_FACTOR = 2

/** Seconds of spending that a borrower requests in advance, in addition to its deficit. */
const PREFETCH_SECONDS = 1.5

/** Least spending expected within that time, as a multiple of the deficit, for which requesting in advance is worth it. */
const MINIMUM_PREFETCH_RATIO = 1.5

/** Time that a request waits for a draw, in milliseconds. The store answers within a few milliseconds; a request must not wait for the end of its outage. */
const PAGE_WAIT_TIMEOUT_MS = 60

/** Least time between two rounds in which all other gateways are asked for an account's tokens, in milliseconds. */
const BROADCAST_INTERVAL_MS = 300

/** Answers of other gateways that are remembered of each account, for the log. */
const MAXIMUM_REMEMBERED_ANSWERS = 4

/** What another gateway said when it was asked for an account's tokens. */
interface AskedGateway {
  peer: string
  /** When it was asked, in milliseconds. */
  at: number
  /** Tokens that it gave; undefined if it did not answer in time. */
  given: number | undefined
  usedUp: boolean
}

/** Acquires tokens for waiting requests: from other gateways, else from the token page. */
export class TokenAcquirer {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #estimator: estimators.TokenEstimator
  readonly #options: types.TokenAllocatorOptions
  /** Acquisitions in progress, by account. */
  readonly #acquisitions = new Map<string, Promise<void>>()
  /** Sum of the worst cases of the waiting requests, by account. */
  readonly #waitingTokens = new Map<string, number>()
  /** Time at which all other gateways were last asked, by account. */
  readonly #broadcastAt = new Map<string, number>()
  /** Time of the last draw that was not enough for the waiting requests, by account. */
  readonly #insufficientDrawAt = new Map<string, number>()
  /** Draws in progress, by account. */
  readonly #draws = new Map<string, Promise<unknown>>()
  /** What the gateways said that were asked last, by account. */
  readonly #asked = new Map<string, AskedGateway[]>()
  /** Time at which a gateway last failed to answer in time, by peer address. */
  readonly #unansweredAt = new Map<string, number>()

  constructor (pool: decisions.tokenPool.TokenPool, estimator: estimators.TokenEstimator, options: types.TokenAllocatorOptions) {
    this.#pool = pool
    this.#estimator = estimator
    this.#options = options
  }

  /** Adds a waiting request's worst case, or removes it if the number is negative. */
  addWaitingTokens (account: string, tokens: number): void {
    this.#waitingTokens.set(account, (this.#waitingTokens.get(account) ?? 0) + tokens)
  }

  /** Tokens that the pool lacks for all waiting requests. Negative if the pool has more than they need. */
  deficit (account: string): number {
    return (this.#waitingTokens.get(account) ?? 0) - this.#pool.freeTokens(account)
  }

  /** Returns true if all other gateways may be asked again, including those that last reported no free tokens. */
  isBroadcastDue (account: string): boolean {
    return this.#options.clock.now() - (this.#broadcastAt.get(account) ?? -Infinity) >= BROADCAST_INTERVAL_MS
  }

  /**
   * Returns true if this gateway keeps its tokens for its own waiting requests. If both gateways have a deficit, rendezvous
   * hashing decides, as they would otherwise only swap what they hold.
   */
  hasPriorityOver (account: string, asker: string): boolean {
    if (this.deficit(account) <= 0) return false
    const { selfAddress } = this.#options
    return decisions.hashing.rendezvousOrder([selfAddress, asker], account, (address) => address)[0] === selfAddress
  }

  /** Returns which gateways were asked last for an account's tokens, how long ago, and what they said, for the log. */
  lastAnswers (account: string): Array<Record<string, unknown>> {
    return (this.#asked.get(account) ?? []).map(({ peer, at, given, usedUp }) => ({ peer, agoMs: Math.round(this.#options.clock.now() - at), given, usedUp }))
  }

  #recordAnswer (account: string, asked: AskedGateway): void {
    this.#asked.set(account, [...(this.#asked.get(account) ?? []), asked].slice(-MAXIMUM_REMEMBERED_ANSWERS))
  }

  /** Tries once to acquire tokens, and adds them to the pool. Concurrent requests for the same account share one acquisition. */
  async acquire (account: string): Promise<void> {
    let acquisition = this.#acquisitions.get(account)
    if (acquisition === undefined) {
      acquisition = this.#acquireOnce(account).finally(() => { this.#acquisitions.delete(account) })
      this.#acquisitions.set(account, acquisition)
    }
    await acquisition
  }

  async #acquireOnce (account: string): Promise<void> {
    const { role, otherHolders } = this.#options.holders(account)
    if (role === TokenRole.borrower || role === TokenRole.standby) {
      await this.#borrow(account, otherHolders, role)
      if (role === TokenRole.standby && !this.#estimator.isUsedUp(account, this.deficit(account))) await this.draw(account)
      return
    }
    const isCovered = role === TokenRole.peer && await this.#requestFromPeers(account, this.deficit(account), otherHolders)
    if (!isCovered) await this.draw(account)
    if (role === TokenRole.holder && this.deficit(account) > 0) await this.#borrow(account, otherHolders, role)
  }

  /**
   * Draws tokens from the token page: what the pool lacks for all waiting requests or its desired level, whichever is more. Requests that
   * arrive during a draw wait for that one. Waits at most `PAGE_WAIT_TIMEOUT_MS`; a later answer still adds its tokens to the pool.
   */
  async draw (account: string): Promise<void> {
    const { clock, page } = this.#options
    const deficit = this.deficit(account)
    if (deficit <= 0) return
    let draw = this.#draws.get(account)
    if (draw === undefined) {
      const sinceInsufficientMs = clock.now() - (this.#insufficientDrawAt.get(account) ?? -Infinity)
      // A request that finds only an older page needs a new one to be told that the budget is used up.
      const isLikelyInsufficient = sinceInsufficientMs < INSUFFICIENT_DRAW_BACKOFF_MS && page.remaining(account) < deficit && page.ageMs(account) <= estimators.EARLIER_PAGE_MAXIMUM_AGE_MS
      if (page.isBackingOff() || isLikelyInsufficient) return
      const wanted = Math.max(deficit, this.#estimator.desiredLevel(account) - page.pending(account))
      draw = page.draw(new Map([[account, wanted]]), new Map([[account, deficit]])).finally(() => { this.#draws.delete(account) })
      this.#draws.set(account, draw)
    }
    await Promise.race([draw, clock.sleep(PAGE_WAIT_TIMEOUT_MS)])
    if (this.deficit(account) > 0) this.#insufficientDrawAt.set(account, clock.now())
  }

  /**
   * Requests the deficit, and possibly a prefetch, from the holder and then the standby. Only the holder knows whether the budget is used up,
   * as it has all tokens that are held ahead of demand.
   */
  async #borrow (account: string, holders: types.TokenHolder[], role: decisions.tokenHolders.TokenRole): Promise<void> {
    const deadline = this.#options.clock.now() + ACQUIRE_TIMEOUT_MS
    for (const holder of this.#answeringFirst(holders)) {
      const deficit = this.deficit(account)
      if (deficit <= 0 || this.#options.clock.now() >= deadline) return
      const expectedSpending = this.#pool.expectedSpending(account, PREFETCH_SECONDS, this.#seconds())
      const isPrefetchUseful = role !== TokenRole.holder && expectedSpending > deficit * MINIMUM_PREFETCH_RATIO && !this.#options.hasLateTransfer(account)
      const requested = isPrefetchUseful ? deficit + expectedSpending : deficit
      const at = this.#options.clock.now()
      const received = await this.#options.requestTransfer(holder.peerAddress, account, requested)
      this.#pool.add(account, received?.tokens ?? 0)
      this.#recordAnswer(account, { peer: holder.peerAddress, at, given: received?.tokens, usedUp: received?.usedUp === true })
      if (received === undefined) this.#unansweredAt.set(holder.peerAddress, this.#options.clock.now())
      else this.#unansweredAt.delete(holder.peerAddress)
      if (received?.usedUp === true && holder === holders[0] && role !== TokenRole.holder) {
        // A gateway of an earlier release tells no age. Its page counts as read when it was asked.
        this.#estimator.recordUsedUp(account, at - Math.max(0, received.pageAgeMs - 1))
        return
      }
    }
  }

  /** Moves gateways that did not answer lately to the end, as a request would wait for each of them again. */
  #answeringFirst (holders: types.TokenHolder[]): types.TokenHolder[] {
    const isSilent = ({ peerAddress }: types.TokenHolder): boolean => this.#options.clock.now() - (this.#unansweredAt.get(peerAddress) ?? -Infinity) < UNANSWERED_BACKOFF_MS
    return [...holders.filter((holder) => !isSilent(holder)), ...holders.filter(isSilent)]
  }

  /**
   * Requests tokens from the gateways with most free tokens until the deficit is covered. If it is not, and a broadcast is due,
   * asks all gateways at once, including those that last reported no free tokens. Returns true if the deficit is covered.
   */
  async #requestFromPeers (account: string, deficit: number, otherHolders: types.TokenHolder[]): Promise<boolean> {
    let missing = deficit
    for (const holder of mostFreeFirst(otherHolders)) {
      if (missing <= 0) return true
      const requested = Math.min(missing * TRANSFER_REQUEST_FACTOR, Math.max(missing, Math.floor(holder.freeTokens / 2)))
      missing -= await this.#requestTransfer(holder.peerAddress, account, requested)
    }
    if (missing <= 0) return true
    if (!this.isBroadcastDue(account)) return false
    this.#broadcastAt.set(account, this.#options.clock.now())
    const received = await Promise.all(otherHolders.map(async (holder) => await this.#requestTransfer(holder.peerAddress, account, missing)))
    return received.reduce((sum, tokens) => sum + tokens, 0) >= missing
  }

  async #requestTransfer (peerAddress: string, account: string, requested: number): Promise<number> {
    const received = await this.#options.requestTransfer(peerAddress, account, requested)
    this.#pool.add(account, received?.tokens ?? 0)
    return received?.tokens ?? 0
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}

/** Gateways that reported free tokens, in descending order of free tokens. */
function mostFreeFirst (holders: readonly types.TokenHolder[]): Array<types.TokenHolder & { freeTokens: number }> {
  const reported = holders.map((holder) => ({ ...holder, freeTokens: holder.freeTokens ?? 0 })).filter((holder) => holder.freeTokens > 0)
  return reported.sort((left, right) => right.freeTokens - left.freeTokens)
}
