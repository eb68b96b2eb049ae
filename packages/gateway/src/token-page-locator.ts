import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as runtime from '@acaciaweir/runtime'
import * as zod from 'zod'

/** Name of the object that holds all accounts, in the first epoch of the store. Those of later epochs have the epoch added. */
const FIRST_PAGE_NAME = 'prepaid'

/** Time for which a gateway that has just started leaves a page that the store lost to gateways that knew it, in milliseconds. */
const EARLIER_PAGE_TIMEOUT_MS = 6000

/** The same where no such gateway has been heard yet, in milliseconds. */
const DISCOVERY_TIME_MS = 3000

/**
 * Share of the remaining tokens that is kept back for good where no gateway knows what was drawn after the backup. What the ended gateways held
 * when the backup was made counts as drawn already.
 */
const UNKNOWN_DRAWS_RESERVE_SHARE = 0.5

const numbersByName = zod.record(zod.string(), zod.number())
const drawsSchema = zod.object({ change: zod.number(), tokens: numbersByName })
const pageSchema = zod.object({
  version: zod.number(),
  totals: numbersByName,
  drawn: numbersByName,
  changes: numbersByName,
  storeEpoch: zod.number().optional(),
  drawnBy: zod.record(zod.string(), drawsSchema).optional()
})

/** The token page as found in the store. */
export interface LocatedPage {
  name: string
  /** Epoch of the store when the page was found. */
  epoch: number
  page: decisions.tokenPage.TokenPage
  /** 0 if the page doesn't exist yet. */
  revision: number
  /** The page was created after the store came back from a backup. */
  isRestored: boolean
}

/** Why no page was found. `again`: another gateway wrote it at the same time. `unreachable`: the store did not answer, or the page is left to others. */
export type LocateFailure = 'again' | 'unreachable'

/** What the last heartbeats of other gateways tell about token pages. */
export interface PageKnowledge {
  /** Returns true if a live gateway has known a token page before the given epoch. */
  isEarlierPageKnown: (epoch: number) => boolean
  /** Returns true if all gateways heard lately have entered what they know in the page of the given epoch. */
  isPageComplete: (epoch: number) => boolean
}

/** Dependencies of the search for the token page. */
export interface TokenPageLocatorOptions {
  store: platform.objectStore.ObjectStore
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  knowledge: PageKnowledge
}

/**
 * Finds the token page. Each epoch of the store has a page object of its own, so that a write meant for the page of before can't change it,
 * whatever revisions are given out again. The first gateway that sees a new epoch creates its page from the one that the store came back
 * with and from the draws that it knows; the others add theirs.
 */
export class TokenPageLocator {
  readonly #options: TokenPageLocatorOptions
  /** When this gateway first found no page of the store's epoch, in milliseconds. */
  #missingSince: number | undefined

  constructor (options: TokenPageLocatorOptions) {
    this.#options = options
  }

  /**
   * Finds or creates the page of the store's epoch, with all known draws. `knowsEarlierPage` is true if this gateway knows a page of an earlier
   * epoch.
   */
  async locate (known: ReadonlyMap<string, decisions.tokenPage.IncarnationDraws>, knowsEarlierPage: boolean): Promise<LocatedPage | LocateFailure> {
    const { store } = this.#options
    const listing = await store.list(adapter.objectKinds.ObjectKind.tokenPages)
    if (listing.status !== 'done') return 'unreachable'
    const { epoch } = store
    const pages = listing.result.objects.map((object) => this.#parse(object, epoch))
    if (pages.includes(undefined)) return 'unreachable'
    const found = pages.filter((page) => page !== undefined)
    const current = found.find(({ page }) => page.storeEpoch === epoch) ?? (knowsEarlierPage ? undefined : onlyPageWithoutEpoch(found))
    if (current !== undefined) {
      this.#missingSince = undefined
      return knowsEarlierPage ? await this.#addKnownDraws(current, known) : current
    }
    if (found.length === 0 && !knowsEarlierPage) return { name: pageName(epoch), epoch, page: decisions.tokenPage.emptyPage(), revision: 0, isRestored: epoch > platform.objectStore.FIRST_EPOCH }
    return await this.#create(newest(found), known, knowsEarlierPage, epoch)
  }

  /** Parses the page as read from the store. Logs an error and returns undefined if it can't be parsed. */
  parsePage (object: platform.objectStore.StoreObject): decisions.tokenPage.TokenPage | undefined {
    const parsed = pageSchema.safeParse(object.value)
    if (parsed.success) return parsed.data
    this.#options.logger.error({ event: 'page-unreadable', name: object.name, revision: object.revision, reason: parsed.error.issues[0].message })
    return undefined
  }

  #parse (object: platform.objectStore.StoreObject, epoch: number): LocatedPage | undefined {
    const page = this.parsePage(object)
    return page === undefined ? undefined : { name: object.name, epoch, page, revision: object.revision, isRestored: object.name !== FIRST_PAGE_NAME }
  }

  async #addKnownDraws (current: LocatedPage, known: ReadonlyMap<string, decisions.tokenPage.IncarnationDraws>): Promise<LocatedPage | LocateFailure> {
    const page = decisions.tokenPage.withKnownDraws(current.page, known)
    if (page === current.page) return current
    const outcome = await this.#options.store.replace(adapter.objectKinds.ObjectKind.tokenPages, current.name, page, current.revision)
    this.#options.logger.info({ event: 'page-completed', name: current.name, status: outcome.status })
    return outcome.status === 'done' ? { ...current, page, revision: outcome.result.revision } : failureOf(outcome)
  }

  async #create (base: decisions.tokenPage.TokenPage, known: ReadonlyMap<string, decisions.tokenPage.IncarnationDraws>, knowsEarlierPage: boolean, epoch: number): Promise<LocatedPage | LocateFailure> {
    if (!knowsEarlierPage && this.#isLeftToOthers(epoch)) return 'unreachable'
    const complete = { ...decisions.tokenPage.withKnownDraws(base, known), storeEpoch: epoch }
    const page = knowsEarlierPage ? complete : decisions.tokenPage.withReserve(complete, UNKNOWN_DRAWS_RESERVE_SHARE)
    const name = pageName(epoch)
    const outcome = await this.#options.store.create(adapter.objectKinds.ObjectKind.tokenPages, name, page)
    this.#options.logger.info({ event: 'page-created', name, status: outcome.status, knowsEarlierPage, drawn: page.drawn, drawnInBackup: base.drawn })
    return outcome.status === 'done' ? { name, epoch, page, revision: outcome.result.revision, isRestored: true } : failureOf(outcome)
  }

  #isLeftToOthers (epoch: number): boolean {
    const { clock, knowledge } = this.#options
    this.#missingSince ??= clock.now()
    return clock.now() - this.#missingSince < (knowledge.isEarlierPageKnown(epoch) ? EARLIER_PAGE_TIMEOUT_MS : DISCOVERY_TIME_MS)
  }
}

function failureOf (failure: platform.objectStore.StoreFailure): LocateFailure {
  return failure.status === 'conflict' ? 'again' : 'unreachable'
}

function pageName (epoch: number): string {
  return epoch <= platform.objectStore.FIRST_EPOCH ? FIRST_PAGE_NAME : `${FIRST_PAGE_NAME}-${epoch}`
}

/** A release that doesn't know epochs writes its page without one. */
function onlyPageWithoutEpoch (pages: LocatedPage[]): LocatedPage | undefined {
  return pages.length === 1 && pages[0].page.storeEpoch === undefined ? pages[0] : undefined
}

function newest (pages: LocatedPage[]): decisions.tokenPage.TokenPage {
  const [first] = pages.map(({ page }) => page).sort((left, right) => (right.storeEpoch ?? 0) - (left.storeEpoch ?? 0))
  return first ?? decisions.tokenPage.emptyPage()
}
