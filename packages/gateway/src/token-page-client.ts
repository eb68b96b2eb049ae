import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as zod from 'zod'

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

/** Name of the one stored object that holds all accounts. */
const PAGE_NAME = 'prepaid'

const numbersByName = zod.record(zod.string(), zod.number())
const pageSchema = zod.object({ version: zod.number(), totals: numbersByName, drawn: numbersByName, changes: numbersByName })

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
 * change is known to have taken effect, so gateways never hold more than the page records.
 */
export class TokenPageClient extends runtime.task.Actor<Map<string, number>, PageResult> {
  readonly #options: TokenPageClientOptions
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
    if (tokenChanges.size === 0) return !this.isBackingOff() && await this.#readPage() ? PageResult.changed : PageResult.unreachable
    const returned = new Map([...tokenChanges].filter(([, tokens]) => tokens < 0))
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS && !this.isBackingOff(); attempt++) {
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

  /** Returns true if the cached page shows that a write would change nothing. */
  #hasNoEffect (tokenChanges: Map<string, number>): boolean {
    const page = this.#withTotals(this.#page)
    return page.version === this.#page.version && decisions.tokenPage.applyChanges(page, this.#options.incarnation, 0, tokenChanges).applied.size === 0
  }

  async #applyChanges (tokenChanges: Map<string, number>, returned: Map<string, number>): Promise<'done' | 'again' | 'lost' | 'unreachable'> {
    const baseRevision = this.#revision ?? 0
    this.#changeNumber += 1
    const changed = decisions.tokenPage.applyChanges(this.#withTotals(this.#page), this.#options.incarnation, this.#changeNumber, tokenChanges)
    const outcome = await this.#writePage(changed.page, baseRevision)
    if (outcome.status === 'done') {
      this.#settleUnconfirmed(() => false)
      this.#cachePage(changed.page, outcome.result.revision)
      this.#creditDrawn(changed.applied)
      this.#options.logger.info({
        event: 'tokens-drawn',
        revision: outcome.result.revision,
        accounts: [...changed.applied].map(([account, tokens]) => ({ account, tokens, remaining: this.remaining(account) }))
      })
      return 'done'
    }
    if (outcome.status === 'unknown') {
      this.#options.logger.warn({ event: 'page-answer-lost', change: this.#changeNumber, baseRevision })
      this.#unconfirmed.push({ number: this.#changeNumber, applied: changed.applied, returned, baseRevision })
      this.#revision = undefined
      this.#failedAt = this.#options.clock.now()
      return 'lost'
    }
    if (outcome.status === 'conflict' || outcome.status === 'missing') {
      this.#revision = undefined
      if (outcome.currentObject !== undefined) this.#cacheStoredPage(outcome.currentObject)
      return 'again'
    }
    this.#failedAt = this.#options.clock.now()
    return 'unreachable'
  }

  async #writePage (page: decisions.tokenPage.TokenPage, revision: number): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    const kind = adapter.objectKinds.ObjectKind.tokenPages
    if (revision === 0) return await this.#options.store.create(kind, PAGE_NAME, page)
    return await this.#options.store.replace(kind, PAGE_NAME, page, revision)
  }

  async #readPage (): Promise<boolean> {
    const outcome = await this.#options.store.read(adapter.objectKinds.ObjectKind.tokenPages, PAGE_NAME)
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
    const parsed = pageSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.logger.error({ event: 'page-unreadable', revision: object.revision, reason: parsed.error.issues[0].message })
      return false
    }
    const page = parsed.data
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
  }

  #settleUnconfirmed (isApplied: (change: UnconfirmedChange) => boolean): void {
    for (const change of this.#unconfirmed.splice(0)) {
      const applied = isApplied(change)
      this.#options.logger.info({ event: 'page-change-settled', change: change.number, applied })
      if (applied) this.#creditDrawn(change.applied)
      else for (const [account, tokens] of change.returned) this.#options.onTokensCredited(account, -tokens)
    }
  }

  #creditDrawn (applied: Map<string, number>): void {
    for (const [account, tokens] of applied) {
      if (tokens > 0) this.#options.onTokensCredited(account, tokens)
    }
  }

  #withTotals (page: decisions.tokenPage.TokenPage): decisions.tokenPage.TokenPage {
    const totals = this.#options.prepaidTotals()
    return totals === undefined ? page : decisions.tokenPage.withTotals(page, totals.version, totals.totals)
  }
}
