import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as zod from 'zod'

/** Tries of one change before it is given up as contended. */
const MOST_TRIES = 6

/** Time after a failure in which no further call is tried, in milliseconds. Requests must not queue behind timeouts. */
const FAILURE_PAUSE_MS = 800

/** Added to that for each gateway beyond ten, in milliseconds, so that a large fleet does not storm a store in trouble. */
const FAILURE_PAUSE_PER_GATEWAY_MS = 40

/** Age up to which the page shows without a call that it has nothing for an account, in milliseconds. What others return is found that late. */
const VAIN_AGE_MS = 600

/** Name of the page that holds all accounts. */
const PAGE_NAME = 'prepaid'

const counts = zod.record(zod.string(), zod.number())
const pageSchema = zod.object({ version: zod.number(), totals: counts, drawn: counts, changes: counts })

/** Totals of the agreement in force. */
export interface PrepaidTotals {
  version: number
  totals: Record<string, number>
}

/** What changing the page needs. */
export interface TokenPagesOptions {
  incarnation: string
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  totals: () => PrepaidTotals | undefined
  /** Live gateways, this one included. */
  gateways: () => number
  /** Called with what a change has drawn (positive), or with what could not be returned (positive too). */
  onTokens: (account: string, tokens: number) => void
}

/** Whether a change of the page took effect. */
export const PageResult = { changed: 'changed', unreachable: 'unreachable' } as const
export type PageResult = typeof PageResult[keyof typeof PageResult]

/** A change whose answer was lost. */
interface PendingChange {
  number: number
  applied: Map<string, number>
  returned: Map<string, number>
  baseRevision: number
}

/**
 * Draws tokens from the durable page and returns them to it. Handles one change at a time. Returned tokens have left the
 * pool before the change starts, drawn tokens enter it once the change is known to have taken effect.
 */
export class TokenPages extends runtime.task.Task<Map<string, number>, PageResult> {
  readonly #options: TokenPagesOptions
  #page: decisions.tokenPage.TokenPage = decisions.tokenPage.emptyPage()
  /** Undefined before the page was read; 0 where it does not exist. */
  #revision: number | undefined
  #readAt = -Infinity
  #failedAt = -Infinity
  #changeNumber = 0
  /** Changes from the same revision; at most one of them takes effect. */
  #pending: PendingChange[] = []

  constructor (options: TokenPagesOptions) {
    super()
    this.#options = options
  }

  /** Tokens that the page has left for an account, as last read, under the newest known total. */
  remaining (account: string): number {
    return decisions.tokenPage.remainingTokens(this.#withTotals(this.#page), account)
  }

  /** Time since the page was last read, in milliseconds. */
  ageMs (): number {
    return this.#options.clock.now() - this.#readAt
  }

  /** Whether the last call failed so lately that the next would most likely fail too. */
  isPaused (): boolean {
    const pauseMs = FAILURE_PAUSE_MS + Math.max(0, this.#options.gateways() - 10) * FAILURE_PAUSE_PER_GATEWAY_MS
    return this.#options.clock.now() - this.#failedAt < pauseMs
  }

  /** Applies changes of accounts; none at all only reads the page. */
  protected override async handle (wanted: Map<string, number>): Promise<PageResult> {
    if (wanted.size === 0) return !this.isPaused() && await this.#read() ? PageResult.changed : PageResult.unreachable
    const returned = new Map([...wanted].filter(([, tokens]) => tokens < 0))
    for (let attempt = 0; attempt < MOST_TRIES && !this.isPaused(); attempt++) {
      if (this.#revision === undefined && !await this.#read()) break
      if (this.#isVain(wanted)) {
        if (this.ageMs() <= VAIN_AGE_MS) return PageResult.changed
        if (!await this.#read()) break
        if (this.#isVain(wanted)) return PageResult.changed
      }
      const outcome = await this.#write(wanted, returned)
      if (outcome === 'done') return PageResult.changed
      if (outcome === 'lost') return PageResult.unreachable
      if (outcome === 'unreachable') break
    }
    for (const [account, tokens] of returned) this.#options.onTokens(account, -tokens)
    return PageResult.unreachable
  }

  /** Whether a change would leave the page as it is. */
  #isVain (wanted: Map<string, number>): boolean {
    const page = this.#withTotals(this.#page)
    return page.version === this.#page.version && decisions.tokenPage.change(page, this.#options.incarnation, 0, wanted).applied.size === 0
  }

  async #write (wanted: Map<string, number>, returned: Map<string, number>): Promise<'done' | 'again' | 'lost' | 'unreachable'> {
    const baseRevision = this.#revision ?? 0
    this.#changeNumber += 1
    const changed = decisions.tokenPage.change(this.#withTotals(this.#page), this.#options.incarnation, this.#changeNumber, wanted)
    const outcome = await this.#send(changed.page, baseRevision)
    if (outcome.status === 'done') {
      this.#resolvePending(() => false)
      this.#adopt(changed.page, outcome.result.revision)
      this.#enter(changed.applied)
      this.#options.logger.info({
        event: 'tokens-drawn',
        revision: outcome.result.revision,
        accounts: [...changed.applied].map(([account, tokens]) => ({ account, tokens, remaining: this.remaining(account) }))
      })
      return 'done'
    }
    if (outcome.status === 'unknown') {
      this.#options.logger.warn({ event: 'page-answer-lost', change: this.#changeNumber, baseRevision })
      this.#pending.push({ number: this.#changeNumber, applied: changed.applied, returned, baseRevision })
      this.#revision = undefined
      this.#failedAt = this.#options.clock.now()
      return 'lost'
    }
    if (outcome.status === 'conflict' || outcome.status === 'missing') {
      this.#revision = undefined
      if (outcome.present !== undefined) this.#adoptForeign(outcome.present)
      return 'again'
    }
    this.#failedAt = this.#options.clock.now()
    return 'unreachable'
  }

  async #send (page: decisions.tokenPage.TokenPage, revision: number): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    const kind = adapter.objectKinds.ObjectKind.tokenPages
    if (revision === 0) return await this.#options.store.create(kind, PAGE_NAME, page)
    return await this.#options.store.replace(kind, PAGE_NAME, page, revision)
  }

  async #read (): Promise<boolean> {
    const outcome = await this.#options.store.read(adapter.objectKinds.ObjectKind.tokenPages, PAGE_NAME)
    if (outcome.status === 'done') return this.#adoptForeign(outcome.result)
    if (outcome.status !== 'missing') {
      this.#failedAt = this.#options.clock.now()
      return false
    }
    this.#adopt(decisions.tokenPage.emptyPage(), 0)
    return true
  }

  /** Takes a page as the store holds it, and settles changes whose answers were lost. Returns whether it can be read. */
  #adoptForeign (object: platform.objectStore.StoreObject): boolean {
    const parsed = pageSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.logger.error({ event: 'page-unreadable', revision: object.revision, reason: parsed.error.issues[0].message })
      return false
    }
    const page = parsed.data
    if (this.#pending.some((pending) => pending.baseRevision !== object.revision)) {
      const applied = page.changes[this.#options.incarnation]
      this.#resolvePending((pending) => pending.number === applied)
    }
    this.#adopt(page, object.revision)
    return true
  }

  #adopt (page: decisions.tokenPage.TokenPage, revision: number): void {
    this.#page = page
    this.#revision = revision
    this.#readAt = this.#options.clock.now()
  }

  #resolvePending (isApplied: (pending: PendingChange) => boolean): void {
    for (const pending of this.#pending.splice(0)) {
      const applied = isApplied(pending)
      this.#options.logger.info({ event: 'page-change-settled', change: pending.number, applied })
      if (applied) this.#enter(pending.applied)
      else for (const [account, tokens] of pending.returned) this.#options.onTokens(account, -tokens)
    }
  }

  #enter (applied: Map<string, number>): void {
    for (const [account, tokens] of applied) {
      if (tokens > 0) this.#options.onTokens(account, tokens)
    }
  }

  #withTotals (page: decisions.tokenPage.TokenPage): decisions.tokenPage.TokenPage {
    const totals = this.#options.totals()
    return totals === undefined ? page : decisions.tokenPage.withTotals(page, totals.version, totals.totals)
  }
}
