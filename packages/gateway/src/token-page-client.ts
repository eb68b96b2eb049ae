import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as locators from './token-page-locator.js'

/** Conditional writes of one change before it fails because other gateways keep writing the page first. */
const MAXIMUM_WRITE_ATTEMPTS = 6

/** Longest pause after the first conflict of a change, in milliseconds; it grows by as much with each further one. Without it, gateways that wrote at the same time would conflict again. */
const CONFLICT_BACKOFF_MS = 15

/** Backoff after a failed store call, in milliseconds. Without it, requests would queue behind store timeouts. */
const FAILURE_BACKOFF_MS = 800

/**
 * Age up to which the cached page answers, without a store call, that it has no tokens left for an account, in milliseconds.
 * Tokens that other gateways return are noticed up to this much later.
 */
const NO_EFFECT_MAXIMUM_PAGE_AGE_MS = 600

/**
 * Longest time after the store came back from a backup for which draws wait until other gateways have entered what they know in the page, in
 * milliseconds. Gateways that have ended, or don't reach the store, don't enter anything.
 */
const COMPLETION_TIMEOUT_MS = 4000

/** Shortest such time for a gateway that has started since, in milliseconds. It hears the other gateways meanwhile. */
const DISCOVERY_TIME_MS = 1000

/** Prepaid totals of the agreement in force, in tokens by client account. */
export interface PrepaidTotals {
  version: number
  totals: Record<string, number>
}

/** Dependencies of the token page's reads and writes. */
export interface TokenPageClientOptions {
  incarnation: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  /** Prepaid totals of the agreement in force. Undefined if no agreement with client accounts is in force. */
  prepaidTotals: () => PrepaidTotals | undefined
  /** What other gateways know of token pages. */
  knowledge: locators.PageKnowledge
  /** Called with tokens to add to the pool: drawn tokens, or tokens that could not be returned. Always positive. */
  onTokensCredited: (account: string, tokens: number) => void
}

/** `changed`: the change took effect, or there was nothing to change. `unreachable`: it failed, or got no answer and is not settled yet. */
export const PageResult = { changed: 'changed', unreachable: 'unreachable' } as const
export type PageResult = typeof PageResult[keyof typeof PageResult]

/** A change whose write got no answer, so it may or may not have taken effect. */
interface UnconfirmedChange {
  number: number
  /** Tokens drawn (positive) or returned (negative) if the write took effect, by account. */
  applied: Map<string, number>
  /** Tokens that left the pool before the write (negative), by account. */
  returned: Map<string, number>
  /** Revision on which the write was conditional. */
  baseRevision: number
}

/**
 * Draws tokens from the token page and returns tokens to it. The token page is the object in the store that records how many
 * tokens all gateways together have drawn of each prepaid budget; writes are conditional on its revision. Handles one change
 * at a time. Returned tokens must have left the pool before the change starts. Drawn tokens are added to the pool only when the
 * change is known to have taken effect, so gateways never hold more than the page records. When the store comes back from a backup, draws
 * wait until the page has what the store lost.
 */
export class TokenPageClient extends runtime.task.Actor<Map<string, number>, PageResult> {
  readonly #options: TokenPageClientOptions
  readonly #locator: locators.TokenPageLocator
  readonly #knownDraws = new decisions.knownDraws.KnownDraws()
  /** Tokens that this gateway drew and did not return, by account, as far as that is confirmed. */
  readonly #ownTokens: Record<string, number> = {}
  /** Number of the last change that is included in them. */
  #confirmedChange = 0
  /** Epoch of the store to which the cached page belongs; undefined before the page was located. */
  #epoch: number | undefined
  #pageName = ''
  /** Epoch of the store in which this gateway first heard of draws of others; 0 before. */
  #heardDrawsIn = 0
  /** Since when draws wait for other gateways to complete the page, in milliseconds, and whether this gateway has started since the store came back. Undefined if the page is complete. */
  #completion: { hasStartedSince: boolean, startedAt: number } | undefined
  #page: decisions.tokenPage.TokenPage = decisions.tokenPage.emptyPage()
  /** Revision of the cached page; 0 if the page doesn't exist. Undefined while the page has to be read before the next write. */
  #revision: number | undefined
  #readAt = -Infinity
  #failedAt = -Infinity
  #changeNumber = 0
  /** Unconfirmed changes, all conditional on the same revision, so at most one of them takes effect. */
  #unconfirmed: UnconfirmedChange[] = []

  constructor (options: TokenPageClientOptions) {
    super()
    this.#options = options
    this.#locator = new locators.TokenPageLocator(options)
  }

  /** Epoch of the store whose page has all draws that this gateway knows; 0 before the first page. */
  get pageEpoch (): number {
    return this.#epoch ?? 0
  }

  /** Returns what this gateway has drawn, for heartbeats. */
  ownDraws (): decisions.tokenPage.IncarnationDraws {
    return { change: this.#confirmedChange, tokens: { ...this.#ownTokens } }
  }

  /** Remembers what another incarnation has drawn, for the case that the store loses it. */
  learnDraws (incarnation: string, draws: decisions.tokenPage.IncarnationDraws): void {
    this.#knownDraws.learn(incarnation, draws)
    if (this.#heardDrawsIn === 0) this.#heardDrawsIn = this.#options.store.epoch
  }

  /** Tokens of an account that can still be drawn, by the cached page and the newest known total. Negative after a total was lowered below what is drawn. */
  remaining (account: string): number {
    return decisions.tokenPage.remainingTokens(this.#withTotals(this.#page), account)
  }

  /** Time since the page was last read or written, in milliseconds. Infinity before the first read. */
  ageMs (): number {
    return this.#options.clock.now() - this.#readAt
  }

  /** Returns true for a while after a failed store call, as the next call would most likely fail too. */
  isBackingOff (): boolean {
    return this.#options.clock.now() - this.#failedAt < FAILURE_BACKOFF_MS
  }

  /** Draws (positive) or returns (negative) tokens by account. Only reads the page if there are no changes. */
  protected override async handle (tokenChanges: Map<string, number>): Promise<PageResult> {
    if (tokenChanges.size === 0) return !this.isBackingOff() && await this.#isLocated() && await this.#readPage() ? PageResult.changed : PageResult.unreachable
    const returned = new Map([...tokenChanges].filter(([, tokens]) => tokens < 0))
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS && !this.isBackingOff(); attempt++) {
      if (!await this.#isLocated() || ([...tokenChanges.values()].some((tokens) => tokens > 0) && this.#isIncomplete())) break
      if (this.#revision === undefined && !await this.#readPage()) break
      if (this.#hasNoEffect(tokenChanges)) {
        if (this.ageMs() <= NO_EFFECT_MAXIMUM_PAGE_AGE_MS) return PageResult.changed
        if (!await this.#readPage()) break
        if (this.#hasNoEffect(tokenChanges)) return PageResult.changed
      }
      const outcome = await this.#applyChanges(tokenChanges, returned)
      if (outcome === 'done') return PageResult.changed
      if (outcome === 'lost') return PageResult.unreachable
      if (outcome === 'unreachable') break
      await this.#options.clock.sleep(this.#options.random.integer(CONFLICT_BACKOFF_MS * (attempt + 1)))
    }
    for (const [account, tokens] of returned) this.#options.onTokensCredited(account, -tokens)
    return PageResult.unreachable
  }

  /** Returns true if the cached page is that of the store's epoch. Locates it first if necessary. */
  async #isLocated (): Promise<boolean> {
    const { clock, store, incarnation } = this.#options
    if (this.#epoch !== undefined && this.#epoch === store.epoch) return true
    const knowsEarlierPage = this.#epoch !== undefined || (this.#heardDrawsIn > 0 && this.#heardDrawsIn < store.epoch)
    if (knowsEarlierPage) this.#discardUnconfirmed()
    this.#knownDraws.learn(incarnation, this.ownDraws())
    let located = await this.#locator.locate(this.#knownDraws.entries(), knowsEarlierPage)
    for (let attempt = 1; attempt < MAXIMUM_WRITE_ATTEMPTS && located === 'again'; attempt++) {
      await clock.sleep(this.#options.random.integer(CONFLICT_BACKOFF_MS * attempt))
      located = await this.#locator.locate(this.#knownDraws.entries(), knowsEarlierPage)
    }
    if (located === 'again' || located === 'unreachable') {
      this.#failedAt = clock.now()
      return false
    }
    this.#epoch = located.epoch
    this.#pageName = located.name
    this.#completion = located.isRestored ? { hasStartedSince: !knowsEarlierPage, startedAt: clock.now() } : undefined
    this.#cachePage(located.page, located.revision)
    return true
  }

  /** Returns true while other gateways may still have draws to enter in a page that the store lost. */
  #isIncomplete (): boolean {
    if (this.#completion === undefined) return false
    const { clock, knowledge } = this.#options
    const elapsedMs = clock.now() - this.#completion.startedAt
    const isComplete = knowledge.isPageComplete(this.pageEpoch) && (!this.#completion.hasStartedSince || elapsedMs >= DISCOVERY_TIME_MS)
    if (!isComplete && elapsedMs < COMPLETION_TIMEOUT_MS) return true
    this.#options.logger.info({ event: 'page-complete', name: this.#pageName, isComplete, milliseconds: Math.round(elapsedMs) })
    this.#completion = undefined
    return false
  }

  /**
   * Takes all changes without an answer for undone, as the store came back from a backup. Drawn tokens were not added to the pool, so the
   * next page may count them as not drawn even if a write took effect.
   */
  #discardUnconfirmed (): void {
    if (this.#unconfirmed.length === 0) return
    this.#settleUnconfirmed(() => false)
    this.#changeNumber += 1
    this.#confirmedChange = this.#changeNumber
  }

  /** Returns true if the cached page shows that a write would change nothing. */
  #hasNoEffect (tokenChanges: Map<string, number>): boolean {
    const page = this.#withTotals(this.#page)
    return page.version === this.#page.version && decisions.tokenPage.applyChanges(page, this.#options.incarnation, 0, tokenChanges, {}).applied.size === 0
  }

  async #applyChanges (tokenChanges: Map<string, number>, returned: Map<string, number>): Promise<'done' | 'again' | 'lost' | 'unreachable'> {
    const baseRevision = this.#revision ?? 0
    this.#changeNumber += 1
    const changed = decisions.tokenPage.applyChanges(this.#withTotals(this.#page), this.#options.incarnation, this.#changeNumber, tokenChanges, this.#ownTokens)
    const page = { ...changed.page, storeEpoch: this.#epoch }
    const outcome = await this.#writePage(page, baseRevision)
    if (outcome.status === 'done' && this.#options.store.epoch === this.#epoch) {
      this.#settleUnconfirmed(() => false)
      this.#cachePage(page, outcome.result.revision)
      this.#confirm(this.#changeNumber, changed.applied)
      this.#options.logger.info({
        event: 'tokens-drawn',
        revision: outcome.result.revision,
        accounts: [...changed.applied].map(([account, tokens]) => ({ account, tokens, remaining: this.remaining(account) }))
      })
      return 'done'
    }
    // A write may also have been answered by the store that came back, which has another page by now.
    if (outcome.status === 'unknown' || outcome.status === 'done') {
      this.#options.logger.warn({ event: 'page-answer-lost', change: this.#changeNumber, baseRevision })
      this.#unconfirmed.push({ number: this.#changeNumber, applied: changed.applied, returned, baseRevision })
      this.#revision = undefined
      this.#failedAt = this.#options.clock.now()
      return 'lost'
    }
    if (outcome.status === 'conflict' || outcome.status === 'missing') {
      this.#revision = undefined
      if (outcome.currentObject !== undefined && this.#options.store.epoch === this.#epoch) this.#cacheStoredPage(outcome.currentObject)
      return 'again'
    }
    this.#failedAt = this.#options.clock.now()
    return 'unreachable'
  }

  async #writePage (page: decisions.tokenPage.TokenPage, revision: number): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    const kind = adapter.objectKinds.ObjectKind.tokenPages
    if (revision === 0) return await this.#options.store.create(kind, this.#pageName, page)
    return await this.#options.store.replace(kind, this.#pageName, page, revision)
  }

  async #readPage (): Promise<boolean> {
    const outcome = await this.#options.store.read(adapter.objectKinds.ObjectKind.tokenPages, this.#pageName)
    if (this.#options.store.epoch !== this.#epoch) return false
    if (outcome.status === 'done') return this.#cacheStoredPage(outcome.result)
    if (outcome.status !== 'missing') {
      this.#failedAt = this.#options.clock.now()
      return false
    }
    this.#cachePage(decisions.tokenPage.emptyPage(), 0)
    return true
  }

  /** Caches a page as read from the store and settles unconfirmed changes. Returns false if the page can't be parsed. */
  #cacheStoredPage (object: platform.objectStore.StoreObject): boolean {
    const page = this.#locator.parsePage(object)
    if (page === undefined) return false
    if (this.#unconfirmed.some((change) => change.baseRevision !== object.revision)) {
      const lastAppliedNumber = page.changes[this.#options.incarnation]
      this.#settleUnconfirmed((change) => change.number === lastAppliedNumber)
    }
    this.#cachePage(page, object.revision)
    return true
  }

  #cachePage (page: decisions.tokenPage.TokenPage, revision: number): void {
    this.#page = page
    this.#revision = revision
    this.#readAt = this.#options.clock.now()
    this.#knownDraws.learnPage(page)
  }

  #settleUnconfirmed (isApplied: (change: UnconfirmedChange) => boolean): void {
    for (const change of this.#unconfirmed.splice(0)) {
      const applied = isApplied(change)
      this.#options.logger.info({ event: 'page-change-settled', change: change.number, applied })
      if (applied) this.#confirm(change.number, change.applied)
      else for (const [account, tokens] of change.returned) this.#options.onTokensCredited(account, -tokens)
    }
  }

  /** Counts a change that took effect, and adds the tokens that it drew to the pool. */
  #confirm (number: number, applied: Map<string, number>): void {
    this.#confirmedChange = number
    for (const [account, tokens] of applied) {
      this.#ownTokens[account] = (this.#ownTokens[account] ?? 0) + tokens
      if (tokens > 0) this.#options.onTokensCredited(account, tokens)
    }
  }

  #withTotals (page: decisions.tokenPage.TokenPage): decisions.tokenPage.TokenPage {
    const totals = this.#options.prepaidTotals()
    return totals === undefined ? page : decisions.tokenPage.withTotals(page, totals.version, totals.totals)
  }
}
