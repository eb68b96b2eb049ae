import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'

/** Pause between two tries to find tokens for a waiting request, in milliseconds. */
const RETRY_PAUSE_MS = 40

/** Longest wait for another router's transfer, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 500

/** Outcome of asking for a reservation. */
export const ReserveOutcome = { reserved: 'reserved', exhausted: 'exhausted', unreachable: 'unreachable' } as const
export type ReserveOutcome = typeof ReserveOutcome[keyof typeof ReserveOutcome]

/** A request for tokens. */
export interface ReserveRequest {
  key: decisions.allotmentTracker.HoldingKey
  requestId: string
  tokens: number
  /** Longest wait while every holder of the budget answers. */
  waitMs: number
  /** Longest wait while a holder does not answer, whose tokens may come back. */
  recoveryWaitMs: number
  /** Aborted when the caller has gone. */
  gone: AbortSignal
}

/** What a ledger works with. */
export interface LedgerOptions {
  incarnation: string
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  policy: decisions.allotmentTracker.AllotmentPolicy
  /** Limits of a budget in the configuration in force; undefined where there is no such budget. */
  limitsOf: (budget: string) => decisions.ledgerTypes.BudgetLimits | undefined
  /** Peer address of a live router. */
  addressOf: (incarnation: string) => string | undefined
  /** Called before the first grant of a budget. */
  noteBudget: (budget: string) => void
}

interface Waiting {
  request: ReserveRequest
  since: number
  resolve: (outcome: ReserveOutcome) => void
}

interface BudgetWork {
  waiting: Waiting[]
  prefetch: Set<string>
  running: boolean
  lastPage: decisions.ledgerTypes.LedgerPage | undefined
}

/** Tokens that other routers hold of a budget, as they answered. */
interface Collected {
  complete: boolean
  returnedTokens: number
  reservedTokens: number
  accountHeldTokens: number
}

/** Draws allotment of one incarnation from ledger pages and reserves it for requests. Owns the allotment book. */
export class Ledger {
  readonly #options: LedgerOptions
  readonly #book = new decisions.allotmentTracker.AllotmentTracker()
  readonly #budgets = new Map<string, BudgetWork>()
  #closing = false

  constructor (options: LedgerOptions) {
    this.#options = options
  }

  /** The holdings, for reports and metrics. */
  get book (): decisions.allotmentTracker.AllotmentTracker {
    return this.#book
  }

  /** The share of all free tokens that may be dispatched beyond the journal. */
  headroom (share: number): decisions.headroom.TokensByBudget {
    const headroom: decisions.headroom.TokensByBudget = {}
    for (const [key] of this.#book.entries()) {
      const accounts = headroom[key.budget] ?? {}
      accounts[key.account] = Math.floor(this.#book.freeTokens(key) * share)
      headroom[key.budget] = accounts
    }
    return headroom
  }

  /** Reserves tokens, and waits for a grant, a settlement or a transfer where they do not fit at once. */
  async reserve (request: ReserveRequest): Promise<ReserveOutcome> {
    if (this.#tryReserve(request)) return ReserveOutcome.reserved
    return await new Promise((resolve) => {
      const work = this.#work(request.key.budget)
      work.waiting.push({ request, resolve, since: this.#options.clock.now() })
      this.#startWork(request.key.budget, work)
    })
  }

  /** Ends a reservation with the tokens that were served, and lets waiting requests have the rest. */
  settle (requestId: string, budget: string, servedTokens: number): void {
    this.#book.settle(requestId, servedTokens, this.#options.clock.now() / 1000)
    const work = this.#budgets.get(budget)
    if (work !== undefined) this.#serveWaiting(work)
  }

  /**
   * Returns free tokens of a budget to its page, for another router. The client account's own tokens go first.
   * Throws PlatformUnavailable.
   */
  async transferOut (budget: string, account: string, tokens: number): Promise<routers.peerMessages.TransferReply> {
    const released = this.#releaseFree(budget, account, tokens)
    if (released > 0) await this.#updatePage(budget, [])
    const accountHeldTokens = this.#heldFor(budget, (holder) => holder === account)
    return { tokens: released, reservedTokens: this.#reservedOf(budget), accountHeldTokens }
  }

  /** Draws nothing more and returns all free tokens to the pages; for shutdown. Returns the budgets whose pages could not be reached. */
  async handBack (): Promise<string[]> {
    this.#closing = true
    while ([...this.#budgets.values()].some((work) => work.running)) await this.#options.clock.sleep(RETRY_PAUSE_MS)
    const failed: string[] = []
    for (const budget of this.#budgets.keys()) {
      for (const [key] of this.#holdingsOf(budget)) this.#book.markReturned(key, Infinity)
      try {
        await this.#updatePage(budget, [])
      } catch {
        failed.push(budget)
      }
    }
    return failed
  }

  /** Draws nothing more and refuses all that waits; for an incarnation that has been sealed. */
  stop (): void {
    this.#closing = true
    for (const work of this.#budgets.values()) {
      for (const waiting of work.waiting.splice(0)) waiting.resolve(ReserveOutcome.unreachable)
    }
  }

  #tryReserve (request: ReserveRequest): boolean {
    const reservation = this.#book.reserve(request.key, request.requestId, request.tokens)
    if (reservation === undefined) return false
    if (this.#book.freeTokens(request.key) < this.#book.refillThreshold(request.key, this.#options.policy)) this.#prefetch(request.key)
    return true
  }

  #prefetch (key: decisions.allotmentTracker.HoldingKey): void {
    if (this.#closing) return
    const work = this.#work(key.budget)
    const page = work.lastPage
    if (page !== undefined && decisions.ledgerPage.availableTokens(page, key.account) === 0) return
    work.prefetch.add(key.account)
    this.#startWork(key.budget, work)
  }

  #work (budget: string): BudgetWork {
    let work = this.#budgets.get(budget)
    if (work === undefined) {
      work = { waiting: [], prefetch: new Set(), running: false, lastPage: undefined }
      this.#budgets.set(budget, work)
    }
    return work
  }

  #startWork (budget: string, work: BudgetWork): void {
    if (work.running) return
    work.running = true
    void this.#runWork(budget, work)
  }

  async #runWork (budget: string, work: BudgetWork): Promise<void> {
    while (work.waiting.length > 0 || work.prefetch.size > 0) {
      await this.#findTokens(budget, work)
      if (work.waiting.length > 0) await this.#options.clock.sleep(RETRY_PAUSE_MS)
    }
    work.running = false
  }

  /** One round: the page first, then the other routers that hold some of it. */
  async #findTokens (budget: string, work: BudgetWork): Promise<void> {
    let reached = false
    let collected: Collected | undefined
    try {
      await this.#draw(budget, work)
      reached = true
      if (work.waiting.length > 0) collected = await this.#collect(budget, work)
      if ((collected?.returnedTokens ?? 0) > 0) await this.#draw(budget, work)
    } catch (error) {
      this.#options.logger.warn({ event: 'draw-failed', budget, step: 'update ledger page', peer: 'platform', reason: (error as Error).message })
      work.prefetch.clear()
    }
    this.#serveWaiting(work)
    this.#refuseHopeless(budget, work, reached, collected)
  }

  async #draw (budget: string, work: BudgetWork): Promise<void> {
    const accounts = new Set([...work.prefetch, ...work.waiting.map((waiting) => waiting.request.key.account)])
    work.prefetch.clear()
    work.lastPage = await this.#updatePage(budget, [...accounts])
    this.#serveWaiting(work)
  }

  #serveWaiting (work: BudgetWork): void {
    const still: Waiting[] = []
    for (const waiting of work.waiting) {
      if (this.#tryReserve(waiting.request)) waiting.resolve(ReserveOutcome.reserved)
      else still.push(waiting)
    }
    work.waiting = still
  }

  #refuseHopeless (budget: string, work: BudgetWork, reached: boolean, collected: Collected | undefined): void {
    const now = this.#options.clock.now()
    const still: Waiting[] = []
    for (const waiting of work.waiting) {
      const { request } = waiting
      const waitMs = collected?.complete === true ? request.waitMs : request.recoveryWaitMs
      const late = now - waiting.since >= waitMs || request.gone.aborted
      if (collected !== undefined && this.#isHopeless(budget, work, request, collected)) waiting.resolve(ReserveOutcome.exhausted)
      else if (late) waiting.resolve(reached ? ReserveOutcome.exhausted : ReserveOutcome.unreachable)
      else still.push(waiting)
    }
    work.waiting = still
  }

  /** True where no settlement of a request in progress anywhere could make room. */
  #isHopeless (budget: string, work: BudgetWork, request: ReserveRequest, collected: Collected): boolean {
    if (!collected.complete || collected.returnedTokens > 0 || work.lastPage === undefined) return false
    const { account } = request.key
    const underCap = decisions.ledgerPage.remainingUnderCap(work.lastPage, account) + collected.accountHeldTokens + this.#heldFor(budget, (holder) => holder === account)
    const underTotal = decisions.ledgerPage.remainingUnderTotal(work.lastPage) + collected.reservedTokens + this.#heldFor(budget, () => true)
    return request.tokens > Math.min(underCap, underTotal)
  }

  /** Asks the routers that the page lists to return what they have free. */
  async #collect (budget: string, work: BudgetWork): Promise<Collected> {
    const collected: Collected = { complete: true, returnedTokens: 0, reservedTokens: 0, accountHeldTokens: 0 }
    const page = work.lastPage
    const first = work.waiting[0]
    if (page === undefined || first === undefined) return collected
    const { account } = first.request.key
    const lacking = first.request.tokens - this.#book.freeTokens(first.request.key)
    const replies = await Promise.all(this.#holdersOf(page).map((holder) => this.#askHolder(holder, budget, account, lacking)))
    for (const reply of replies) {
      if (reply === undefined) { collected.complete = false; continue }
      collected.reservedTokens += reply.reservedTokens
      collected.returnedTokens += reply.tokens
      collected.accountHeldTokens += reply.accountHeldTokens
    }
    return collected
  }

  #holdersOf (page: decisions.ledgerTypes.LedgerPage): string[] {
    const others = Object.keys(page.incarnations).filter((incarnation) => incarnation !== this.#options.incarnation)
    return others.filter((incarnation) => Object.values(page.incarnations[incarnation]).some((counters) => counters.granted > counters.returned))
  }

  async #askHolder (holder: string, budget: string, account: string, tokens: number): Promise<routers.peerMessages.TransferReply | undefined> {
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
    if (accounts.length > 0) this.#options.noteBudget(budget)
    const page = await platform.conditionalUpdate.updateObject<decisions.ledgerTypes.LedgerPage, decisions.ledgerTypes.LedgerPage | undefined>(
      this.#options.platform,
      platform.objectKeys.ledgerKey(budget),
      (present) => this.#decideUpdate(budget, present, limits, accounts)
    )
    if (page !== undefined) this.#adopt(budget, page)
    return page
  }

  #decideUpdate (budget: string, present: decisions.ledgerTypes.LedgerPage | undefined, limits: decisions.ledgerTypes.BudgetLimits | undefined, accounts: string[]): platform.conditionalUpdate.Change<decisions.ledgerTypes.LedgerPage, decisions.ledgerTypes.LedgerPage | undefined> {
    if (present === undefined && limits === undefined) return { kind: 'keep', result: undefined }
    const start = present ?? decisions.ledgerPage.emptyPage(budget, limits as decisions.ledgerTypes.BudgetLimits)
    if (this.#isFolded(budget, start)) return { kind: 'keep', result: start }
    this.#adopt(budget, start)
    let page = limits === undefined ? start : decisions.ledgerPage.withLimits(start, limits)
    for (const account of accounts) this.#releaseForTotal(page, budget, account)
    for (const [key, holding] of this.#holdingsOf(budget)) {
      page = decisions.ledgerPage.recordReturn(page, this.#options.incarnation, key.account, holding.returned)
    }
    for (const account of accounts) {
      const key = { budget, account }
      const remaining = decisions.ledgerPage.availableTokens(page, account)
      const wanted = this.#book.refillSize(key, this.#neededBy(budget, account), remaining, this.#options.policy)
      page = decisions.ledgerPage.grant(page, this.#options.incarnation, account, wanted).page
    }
    if (page === present) return { kind: 'keep', result: page }
    return { kind: 'write', value: page, result: page }
  }

  /** True where the page no longer lists this incarnation although it drew from it: others have settled it. */
  #isFolded (budget: string, page: decisions.ledgerTypes.LedgerPage): boolean {
    if (page.incarnations[this.#options.incarnation] !== undefined) return false
    return this.#holdingsOf(budget).some(([, holding]) => holding.granted > 0)
  }

  /** Where the budget's total has run out, frees this router's tokens of other client accounts for a waiting one. */
  #releaseForTotal (page: decisions.ledgerTypes.LedgerPage, budget: string, account: string): void {
    const lacking = this.#neededBy(budget, account) - this.#book.freeTokens({ budget, account })
    if (lacking <= decisions.ledgerPage.availableTokens(page, account)) return
    for (const [key] of this.#holdingsOf(budget)) {
      if (key.account !== account) this.#book.markReturned(key, lacking)
    }
  }

  /** Tokens that the largest waiting request of a client account needs. */
  #neededBy (budget: string, account: string): number {
    let needed = 0
    for (const waiting of this.#work(budget).waiting) {
      if (waiting.request.key.account === account) needed = Math.max(needed, waiting.request.tokens)
    }
    return needed
  }

  #adopt (budget: string, page: decisions.ledgerTypes.LedgerPage): void {
    for (const account of Object.keys(page.incarnations[this.#options.incarnation] ?? {})) {
      this.#book.mergeCounters({ budget, account }, decisions.ledgerPage.grantCounters(page, this.#options.incarnation, account))
    }
  }

  #releaseFree (budget: string, account: string, tokens: number): number {
    const keys = this.#holdingsOf(budget).map(([key]) => key)
    keys.sort((left, right) => Number(right.account === account) - Number(left.account === account))
    let released = 0
    for (const key of keys) {
      const part = Math.min(tokens - released, this.#book.freeTokens(key))
      if (part <= 0) continue
      this.#book.markReturned(key, part)
      released += part
    }
    return released
  }

  #heldFor (budget: string, isCounted: (account: string) => boolean): number {
    let held = 0
    for (const [key, holding] of this.#holdingsOf(budget)) {
      if (isCounted(key.account)) held += holding.granted - holding.returned - holding.spent
    }
    return held
  }

  #reservedOf (budget: string): number {
    let reserved = 0
    for (const [, holding] of this.#holdingsOf(budget)) reserved += holding.reserved
    return reserved
  }

  #holdingsOf (budget: string): Array<[decisions.allotmentTracker.HoldingKey, Readonly<decisions.allotmentTracker.Holding>]> {
    return [...this.#book.entries()].filter(([key]) => key.budget === budget)
  }
}
