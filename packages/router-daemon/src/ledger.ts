import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'

/** Time between two attempts to acquire tokens for waiting requests, in milliseconds. */
const RETRY_INTERVAL_MS = 40

/** Timeout of a `Transfer` call to another router, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 500

/**
 * Outcome of a reservation. `exhausted`: the tokens do not fit under the budget's total or the client account's cap, or too
 * few became free in time. `unreachable`: the budget's ledger page could not be read or updated, or the incarnation has
 * been sealed.
 */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** Reservation of a request's tokens in one budget for one client account. */
export interface ReserveRequest {
  key: decisions.allotmentTracker.HoldingKey
  requestId: string
  tokens: number
  /** Longest wait for tokens if all routers that hold tokens of the budget reply, in milliseconds. */
  waitMs: number
  /** Longest wait if one of them does not reply, in milliseconds. Its recovery may return tokens to the page. */
  recoveryWaitMs: number
  /** Aborted when the caller has disconnected. */
  callerGone: AbortSignal
}

/** Dependencies of a ledger. */
export interface LedgerOptions {
  incarnation: string
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  policy: decisions.allotmentTracker.AllotmentPolicy
  /** Returns the limits of a budget in the configuration in force; undefined if it defines no such budget. */
  limitsOf: (budget: string) => decisions.ledgerTypes.BudgetLimits | undefined
  /** Returns the peer address of a live router; undefined if the router is not live. */
  addressOf: (incarnation: string) => string | undefined
  /** Called before each update of a budget's page that may grant tokens. */
  recordBudget: (budget: string) => void
}

/** A reservation that waits for tokens. */
interface WaitingRequest {
  request: ReserveRequest
  startedAtMs: number
  resolve: (outcome: ReserveOutcome) => void
}

/** Reservations and refills of one budget that wait for tokens. */
interface BudgetQueue {
  waitingRequests: WaitingRequest[]
  /** Client accounts for which to draw tokens ahead of demand. */
  accountsToRefill: Set<string>
  isRunning: boolean
  lastKnownPage: decisions.ledgerTypes.LedgerPage | undefined
}

/** Sums of the replies of all other routers that hold tokens of a budget. */
interface TransferTotals {
  /** All of them have replied. */
  isComplete: boolean
  returnedTokens: number
  reservedTokens: number
  accountHeldTokens: number
}

/**
 * Draws tokens of one incarnation from the ledger pages of the budgets (escrow) and reserves them for requests.
 * Tokens that are drawn but not spent are the incarnation's allotment.
 */
export class Ledger {
  readonly #options: LedgerOptions
  readonly #allotment = new decisions.allotmentTracker.AllotmentTracker()
  readonly #queues = new Map<string, BudgetQueue>()
  #isClosing = false

  constructor (options: LedgerOptions) {
    this.#options = options
  }

  /** The tokens that this incarnation holds, for reports and metrics. */
  get allotment (): decisions.allotmentTracker.AllotmentTracker {
    return this.#allotment
  }

  /**
   * Returns the tokens that dispatches may reserve beyond the stored journal: `share` (0 to 1) of the free tokens,
   * by budget and client account.
   */
  headroom (share: number): decisions.headroom.TokensByBudget {
    const headroom: decisions.headroom.TokensByBudget = {}
    for (const [key] of this.#allotment.entries()) {
      const accounts = headroom[key.budget] ?? {}
      accounts[key.account] = Math.floor(this.#allotment.freeTokens(key) * share)
      headroom[key.budget] = accounts
    }
    return headroom
  }

  /** Reserves tokens. If too few are free, waits for a grant, a settlement or a transfer from another router. */
  async reserve (request: ReserveRequest): Promise<ReserveOutcome> {
    if (this.#tryReserve(request)) return ReserveOutcome.reserved
    return await new Promise((resolve) => {
      const queue = this.#queueOf(request.key.budget)
      queue.waitingRequests.push({ request, resolve, startedAtMs: this.#options.clock.now() })
      this.#startQueue(request.key.budget, queue)
    })
  }

  /** Closes a reservation, charges the tokens that were served and reserves the freed ones for waiting requests. */
  settle (requestId: string, budget: string, servedTokens: number): void {
    this.#allotment.settle(requestId, servedTokens, this.#options.clock.now() / 1000)
    const queue = this.#queues.get(budget)
    if (queue !== undefined) this.#reserveForWaiting(queue)
  }

  /**
   * Returns up to `tokens` free tokens of a budget to its page, so that another router can draw them. Returns those of
   * the given client account first. Throws PlatformUnavailable.
   */
  async transferOut (budget: string, account: string, tokens: number): Promise<routers.peerMessages.TransferReply> {
    const returned = this.#markFreeTokensReturned(budget, account, tokens)
    if (returned > 0) await this.#updatePage(budget, [])
    const accountHeldTokens = this.#heldTokens(budget, (holder) => holder === account)
    return { tokens: returned, reservedTokens: this.#reservedTokens(budget), accountHeldTokens }
  }

  /**
   * Stops refills and returns all free tokens to the pages, for shutdown. Returns the budgets whose pages could not be
   * updated.
   */
  async returnFreeTokens (): Promise<string[]> {
    this.#isClosing = true
    while ([...this.#queues.values()].some((queue) => queue.isRunning)) await this.#options.clock.sleep(RETRY_INTERVAL_MS)
    const failed: string[] = []
    for (const budget of this.#queues.keys()) {
      for (const [key] of this.#holdingsOf(budget)) this.#allotment.markReturned(key, Infinity)
      try {
        await this.#updatePage(budget, [])
      } catch {
        failed.push(budget)
      }
    }
    return failed
  }

  /** Stops refills and refuses all waiting requests as unreachable, for an incarnation that has been sealed. */
  stop (): void {
    this.#isClosing = true
    for (const queue of this.#queues.values()) {
      for (const waiting of queue.waitingRequests.splice(0)) waiting.resolve(ReserveOutcome.unreachable)
    }
  }

  #tryReserve (request: ReserveRequest): boolean {
    const reservation = this.#allotment.reserve(request.key, request.requestId, request.tokens)
    if (reservation === undefined) return false
    if (this.#allotment.freeTokens(request.key) < this.#allotment.refillThreshold(request.key, this.#options.policy)) this.#scheduleRefill(request.key)
    return true
  }

  #scheduleRefill (key: decisions.allotmentTracker.HoldingKey): void {
    if (this.#isClosing) return
    const queue = this.#queueOf(key.budget)
    const page = queue.lastKnownPage
    if (page !== undefined && decisions.ledgerPage.availableTokens(page, key.account) === 0) return
    queue.accountsToRefill.add(key.account)
    this.#startQueue(key.budget, queue)
  }

  #queueOf (budget: string): BudgetQueue {
    let queue = this.#queues.get(budget)
    if (queue === undefined) {
      queue = { waitingRequests: [], accountsToRefill: new Set(), isRunning: false, lastKnownPage: undefined }
      this.#queues.set(budget, queue)
    }
    return queue
  }

  #startQueue (budget: string, queue: BudgetQueue): void {
    if (queue.isRunning) return
    queue.isRunning = true
    void this.#processQueue(budget, queue)
  }

  async #processQueue (budget: string, queue: BudgetQueue): Promise<void> {
    while (queue.waitingRequests.length > 0 || queue.accountsToRefill.size > 0) {
      await this.#acquireTokens(budget, queue)
      if (queue.waitingRequests.length > 0) await this.#options.clock.sleep(RETRY_INTERVAL_MS)
    }
    queue.isRunning = false
  }

  /** Draws from the ledger page. If requests still wait, asks the other holders to return tokens and draws again. */
  async #acquireTokens (budget: string, queue: BudgetQueue): Promise<void> {
    let isPageReachable = false
    let transfers: TransferTotals | undefined
    try {
      await this.#drawFromPage(budget, queue)
      isPageReachable = true
      if (queue.waitingRequests.length > 0) transfers = await this.#requestTransfers(budget, queue)
      if ((transfers?.returnedTokens ?? 0) > 0) await this.#drawFromPage(budget, queue)
    } catch (error) {
      this.#options.logger.warn({ event: 'draw-failed', budget, step: 'update ledger page', peer: 'platform', reason: (error as Error).message })
      queue.accountsToRefill.clear()
    }
    this.#reserveForWaiting(queue)
    this.#refuseUnsatisfiable(budget, queue, isPageReachable, transfers)
  }

  async #drawFromPage (budget: string, queue: BudgetQueue): Promise<void> {
    const accounts = new Set([...queue.accountsToRefill, ...queue.waitingRequests.map((waiting) => waiting.request.key.account)])
    queue.accountsToRefill.clear()
    queue.lastKnownPage = await this.#updatePage(budget, [...accounts])
    this.#reserveForWaiting(queue)
  }

  #reserveForWaiting (queue: BudgetQueue): void {
    const stillWaiting: WaitingRequest[] = []
    for (const waiting of queue.waitingRequests) {
      if (this.#tryReserve(waiting.request)) waiting.resolve(ReserveOutcome.reserved)
      else stillWaiting.push(waiting)
    }
    queue.waitingRequests = stillWaiting
  }

  /** Refuses the waiting requests that cannot be satisfied, have waited for too long or have lost their caller. */
  #refuseUnsatisfiable (budget: string, queue: BudgetQueue, isPageReachable: boolean, transfers: TransferTotals | undefined): void {
    const now = this.#options.clock.now()
    const stillWaiting: WaitingRequest[] = []
    for (const waiting of queue.waitingRequests) {
      const { request } = waiting
      const waitMs = transfers?.isComplete === true ? request.waitMs : request.recoveryWaitMs
      const isOverdue = now - waiting.startedAtMs >= waitMs || request.callerGone.aborted
      if (transfers !== undefined && this.#isUnsatisfiable(budget, queue, request, transfers)) waiting.resolve(ReserveOutcome.exhausted)
      else if (isOverdue) waiting.resolve(isPageReachable ? ReserveOutcome.exhausted : ReserveOutcome.unreachable)
      else stillWaiting.push(waiting)
    }
    queue.waitingRequests = stillWaiting
  }

  /**
   * Returns whether a request would not fit even after the settlement of all requests in progress at all routers; false
   * if that is not known, because a holder did not reply or tokens were just returned.
   */
  #isUnsatisfiable (budget: string, queue: BudgetQueue, request: ReserveRequest, transfers: TransferTotals): boolean {
    if (!transfers.isComplete || transfers.returnedTokens > 0 || queue.lastKnownPage === undefined) return false
    const { account } = request.key
    const underCap = decisions.ledgerPage.remainingUnderCap(queue.lastKnownPage, account) + transfers.accountHeldTokens + this.#heldTokens(budget, (holder) => holder === account)
    const underTotal = decisions.ledgerPage.remainingUnderTotal(queue.lastKnownPage) + transfers.reservedTokens + this.#heldTokens(budget, () => true)
    return request.tokens > Math.min(underCap, underTotal)
  }

  /** Asks all other holders to return free tokens to the page, enough for the first waiting request. */
  async #requestTransfers (budget: string, queue: BudgetQueue): Promise<TransferTotals> {
    const totals: TransferTotals = { isComplete: true, returnedTokens: 0, reservedTokens: 0, accountHeldTokens: 0 }
    const page = queue.lastKnownPage
    const first = queue.waitingRequests[0]
    if (page === undefined || first === undefined) return totals
    const { account } = first.request.key
    const shortfall = first.request.tokens - this.#allotment.freeTokens(first.request.key)
    const replies = await Promise.all(this.#otherHolders(page).map((holder) => this.#requestTransfer(holder, budget, account, shortfall)))
    for (const reply of replies) {
      if (reply === undefined) { totals.isComplete = false; continue }
      totals.reservedTokens += reply.reservedTokens
      totals.returnedTokens += reply.tokens
      totals.accountHeldTokens += reply.accountHeldTokens
    }
    return totals
  }

  #otherHolders (page: decisions.ledgerTypes.LedgerPage): string[] {
    const others = Object.keys(page.incarnations).filter((incarnation) => incarnation !== this.#options.incarnation)
    return others.filter((incarnation) => Object.values(page.incarnations[incarnation]).some((counters) => counters.granted > counters.returned))
  }

  async #requestTransfer (holder: string, budget: string, account: string, tokens: number): Promise<routers.peerMessages.TransferReply | undefined> {
    const address = this.#options.addressOf(holder)
    if (address === undefined) return undefined
    try {
      const request = { transferId: crypto.randomUUID(), budget, account, tokens }
      return await this.#options.peers.call(address, 'Transfer', request, TRANSFER_TIMEOUT_MS)
    } catch {
      return undefined
    }
  }

  async #updatePage (budget: string, accounts: string[]): Promise<decisions.ledgerTypes.LedgerPage | undefined> {
    const limits = this.#options.limitsOf(budget)
    if (accounts.length > 0) this.#options.recordBudget(budget)
    const page = await platform.conditionalUpdate.updateObject<decisions.ledgerTypes.LedgerPage, decisions.ledgerTypes.LedgerPage | undefined>(
      this.#options.platform,
      platform.objectKeys.ledgerKey(budget),
      (stored) => this.#decideUpdate(budget, stored, limits, accounts)
    )
    if (page !== undefined) this.#mergePage(budget, page)
    return page
  }

  /** Records returned tokens on the page and grants tokens to the given client accounts. */
  #decideUpdate (budget: string, stored: decisions.ledgerTypes.LedgerPage | undefined, limits: decisions.ledgerTypes.BudgetLimits | undefined, accounts: string[]): platform.conditionalUpdate.UpdateDecision<decisions.ledgerTypes.LedgerPage, decisions.ledgerTypes.LedgerPage | undefined> {
    if (stored === undefined && limits === undefined) return { kind: 'keep', result: undefined }
    const current = stored ?? decisions.ledgerPage.emptyPage(budget, limits as decisions.ledgerTypes.BudgetLimits)
    if (this.#isFolded(budget, current)) return { kind: 'keep', result: current }
    this.#mergePage(budget, current)
    let page = limits === undefined ? current : decisions.ledgerPage.withLimits(current, limits)
    for (const account of accounts) this.#returnOtherAccountsTokens(page, budget, account)
    for (const [key, holding] of this.#holdingsOf(budget)) {
      page = decisions.ledgerPage.recordReturn(page, this.#options.incarnation, key.account, holding.returned)
    }
    for (const account of accounts) {
      const key = { budget, account }
      const remaining = decisions.ledgerPage.availableTokens(page, account)
      const wanted = this.#allotment.refillSize(key, this.#largestWaitingTokens(budget, account), remaining, this.#options.policy)
      page = decisions.ledgerPage.grant(page, this.#options.incarnation, account, wanted).page
    }
    if (page === stored) return { kind: 'keep', result: page }
    return { kind: 'write', value: page, result: page }
  }

  /** Returns whether another router has folded this incarnation: it has drawn from the page, which no longer lists it. */
  #isFolded (budget: string, page: decisions.ledgerTypes.LedgerPage): boolean {
    if (page.incarnations[this.#options.incarnation] !== undefined) return false
    return this.#holdingsOf(budget).some(([, holding]) => holding.granted > 0)
  }

  /** If the page has too few tokens for a waiting client account, returns this router's free tokens of the other accounts. */
  #returnOtherAccountsTokens (page: decisions.ledgerTypes.LedgerPage, budget: string, account: string): void {
    const shortfall = this.#largestWaitingTokens(budget, account) - this.#allotment.freeTokens({ budget, account })
    if (shortfall <= decisions.ledgerPage.availableTokens(page, account)) return
    for (const [key] of this.#holdingsOf(budget)) {
      if (key.account !== account) this.#allotment.markReturned(key, shortfall)
    }
  }

  /** Returns the tokens of a client account's largest waiting request; 0 if none waits. */
  #largestWaitingTokens (budget: string, account: string): number {
    let needed = 0
    for (const waiting of this.#queueOf(budget).waitingRequests) {
      if (waiting.request.key.account === account) needed = Math.max(needed, waiting.request.tokens)
    }
    return needed
  }

  /** Merges the page's counters of this incarnation into the allotment. */
  #mergePage (budget: string, page: decisions.ledgerTypes.LedgerPage): void {
    for (const account of Object.keys(page.incarnations[this.#options.incarnation] ?? {})) {
      this.#allotment.mergeCounters({ budget, account }, decisions.ledgerPage.grantCounters(page, this.#options.incarnation, account))
    }
  }

  /** Marks up to `tokens` free tokens as returned and returns their number. */
  #markFreeTokensReturned (budget: string, account: string, tokens: number): number {
    const keys = this.#holdingsOf(budget).map(([key]) => key)
    keys.sort((left, right) => Number(right.account === account) - Number(left.account === account))
    let returned = 0
    for (const key of keys) {
      const part = Math.min(tokens - returned, this.#allotment.freeTokens(key))
      if (part <= 0) continue
      this.#allotment.markReturned(key, part)
      returned += part
    }
    return returned
  }

  /** Returns the tokens that are drawn and neither returned nor spent. */
  #heldTokens (budget: string, isCounted: (account: string) => boolean): number {
    let held = 0
    for (const [key, holding] of this.#holdingsOf(budget)) {
      if (isCounted(key.account)) held += holding.granted - holding.returned - holding.spent
    }
    return held
  }

  #reservedTokens (budget: string): number {
    let reserved = 0
    for (const [, holding] of this.#holdingsOf(budget)) reserved += holding.reserved
    return reserved
  }

  #holdingsOf (budget: string): Array<[decisions.allotmentTracker.HoldingKey, Readonly<decisions.allotmentTracker.Holding>]> {
    return [...this.#allotment.entries()].filter(([key]) => key.budget === budget)
  }
}
