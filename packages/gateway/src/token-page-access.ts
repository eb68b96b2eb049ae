import type * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as batchers from './draw-batcher.js'
import * as pageClients from './token-page-client.js'

/** Age of the page up to which the page writer tells what remains without reading it again, in milliseconds. */
const REPORTED_PAGE_MAXIMUM_AGE_MS = 600

/** Time for which a page writer that did not answer is not asked again, in milliseconds. */
const SILENT_WRITER_BACKOFF_MS = 1000

/** Time for which a page writer that could not reach the store is not asked again, in milliseconds. */
const CUT_OFF_WRITER_BACKOFF_MS = 300

/**
 * Longest time for which this gateway waits before it writes the page in place of a page writer that cannot reach the store, in milliseconds.
 * The time is random: in an outage of the store all holders run short together, and would all write at once when it ends.
 */
const DIRECT_DRAW_MAXIMUM_DELAY_MS = 2000

/** Gateways that are asked one after the other to write the page for one draw, before this gateway writes it itself. */
const MAXIMUM_ASKED_WRITERS = 2

/** Dependencies of the access to the token page. */
export interface TokenPageAccessOptions {
  pageClient: pageClients.TokenPageClient
  pool: decisions.tokenPool.TokenPool
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  /**
   * Peer address of the gateway that writes the page for all; undefined if that is this gateway, or every gateway of a small fleet. It is not
   * one of those that `failed` if there are others.
   */
  pageWriter: (failed: ReadonlySet<string>) => string | undefined
  /** Asks the page writer to draw. Resolves to undefined if it does not answer in time; tokens that come later are added to the pool. */
  requestDraw: (peerAddress: string, request: routers.gatewayMessages.DrawRequest) => Promise<routers.gatewayMessages.DrawReply | undefined>
}

interface ReportedAccount {
  remaining: number
  /** When the page was as reported, in milliseconds. */
  asOf: number
}

/**
 * Draws tokens from the token page, through the gateway that writes it for all where there is one, and returns tokens to it. Writes the
 * page itself if that gateway does not answer or cannot reach the store.
 */
export class TokenPageAccess {
  readonly #options: TokenPageAccessOptions
  readonly #batcher: batchers.DrawBatcher
  /** What the page writer said of an account. */
  readonly #reported = new Map<string, ReportedAccount>()
  /** Tokens that this gateway is drawing, by account. */
  readonly #pending = new Map<string, number>()
  /** Until when gateways that failed to write the page are not asked again, in milliseconds, by peer address. */
  readonly #failedWriters = new Map<string, number>()
  /** From when on this gateway writes the page in place of the page writer, in milliseconds. */
  #directDrawAt = -Infinity

  constructor (options: TokenPageAccessOptions) {
    this.#options = options
    this.#batcher = new batchers.DrawBatcher(options.pageClient, options.clock)
  }

  /** Tokens of an account that can still be drawn, by the newest page that this gateway knows. */
  remaining (account: string): number {
    const reported = this.#reported.get(account)
    return reported === undefined || this.#isOwnPageNewer(reported) ? this.#options.pageClient.remaining(account) : reported.remaining
  }

  /** Time since the page was as this gateway knows it, in milliseconds. Infinity before the first read. */
  ageMs (account: string): number {
    const reported = this.#reported.get(account)
    return reported === undefined || this.#isOwnPageNewer(reported) ? this.#options.pageClient.ageMs() : this.#options.clock.now() - reported.asOf
  }

  /** Tokens of an account that this gateway is drawing, and that may reach its pool soon. */
  pending (account: string): number {
    return this.#pending.get(account) ?? 0
  }

  /** Returns true if neither the page writer nor the store is likely to answer now. */
  isBackingOff (): boolean {
    const { pageClient } = this.#options
    const writer = this.#pageWriter()
    if (writer === undefined) return pageClient.isBackingOff()
    return this.#isFailed(writer) && (this.#isDirectDrawBackingOff() || pageClient.isBackingOff())
  }

  /** Draws tokens by account, for which requests wait, and adds them to the pool. With 0 tokens, only learns what remains. */
  async draw (draws: ReadonlyMap<string, number>): Promise<pageClients.PageResult> {
    return await this.#whilePending(draws, async () => await this.#drawUrgently(draws))
  }

  async #drawUrgently (draws: ReadonlyMap<string, number>): Promise<pageClients.PageResult> {
    let writer = this.#pageWriter()
    for (let asked = 0; asked < MAXIMUM_ASKED_WRITERS && writer !== undefined && !this.#isFailed(writer); asked++) {
      if (await this.#drawThrough(writer, draws, true)) return pageClients.PageResult.changed
      writer = this.#pageWriter()
    }
    if (writer !== undefined && this.#isDirectDrawBackingOff()) return pageClients.PageResult.unreachable
    const result = await this.#batcher.draw(draws, true)
    if (result === pageClients.PageResult.unreachable && writer !== undefined) this.#delayDirectDraws()
    return result
  }

  /**
   * Draws tokens ahead of demand, and returns tokens that have left the pool. Leaves the draws to a later call while the page writer fails:
   * all holders would else write at once when an outage of the store ends.
   */
  async change (draws: ReadonlyMap<string, number>, returned: ReadonlyMap<string, number>): Promise<void> {
    const writer = this.#pageWriter()
    if (writer === undefined && returned.size > 0) {
      await this.#options.pageClient.ask(new Map([...draws, ...[...returned].map(([account, tokens]): [string, number] => [account, -tokens])]))
      return
    }
    if (draws.size > 0) await this.#whilePending(draws, async () => { await this.#drawAhead(writer, draws) })
    if (returned.size > 0) await this.giveBack(returned)
  }

  /** Returns tokens that have left the pool. Adds them again if the page cannot be written. */
  async giveBack (tokens: ReadonlyMap<string, number>): Promise<pageClients.PageResult> {
    return await this.#options.pageClient.ask(new Map([...tokens].map(([account, count]) => [account, -count])))
  }

  /** Draws for another gateway, as the page writer. The tokens leave the pool with the reply. */
  async drawForOther ({ draws, isUrgent }: routers.gatewayMessages.DrawRequest): Promise<routers.gatewayMessages.DrawReply> {
    const { pageClient, pool } = this.#options
    // A negative number would return tokens to the page that no gateway gave up.
    const wanted = new Map(draws.map(({ account, tokens }) => [account, Math.max(0, tokens)]))
    const isQuery = [...wanted.values()].every((tokens) => tokens === 0)
    const isDone = (isQuery && pageClient.ageMs() <= REPORTED_PAGE_MAXIMUM_AGE_MS) || await this.#batcher.draw(wanted, isUrgent) === pageClients.PageResult.changed
    return {
      isDone,
      drawn: isDone ? [...wanted].map(([account, tokens]) => ({ account, tokens: pool.withdraw(account, tokens) })) : [],
      remaining: [...wanted.keys()].map((account) => ({ account, tokens: pageClient.remaining(account) })),
      pageAgeMs: Math.round(Math.min(pageClient.ageMs(), Number.MAX_SAFE_INTEGER))
    }
  }

  async #drawAhead (writer: string | undefined, draws: ReadonlyMap<string, number>): Promise<void> {
    if (writer === undefined) await this.#batcher.draw(draws, false)
    else if (!this.#isFailed(writer)) await this.#drawThrough(writer, draws, false)
  }

  async #whilePending<Result> (draws: ReadonlyMap<string, number>, draw: () => Promise<Result>): Promise<Result> {
    for (const [account, tokens] of draws) this.#pending.set(account, this.pending(account) + tokens)
    try {
      return await draw()
    } finally {
      for (const [account, tokens] of draws) this.#pending.set(account, this.pending(account) - tokens)
    }
  }

  async #drawThrough (writer: string, draws: ReadonlyMap<string, number>, isUrgent: boolean): Promise<boolean> {
    const reply = await this.#options.requestDraw(writer, { draws: [...draws].map(([account, tokens]) => ({ account, tokens })), isUrgent })
    if (reply?.isDone !== true) {
      if (reply !== undefined && !this.#failedWriters.has(writer)) this.#delayDirectDraws()
      this.#failedWriters.set(writer, this.#options.clock.now() + (reply === undefined ? SILENT_WRITER_BACKOFF_MS : CUT_OFF_WRITER_BACKOFF_MS))
      return false
    }
    this.#failedWriters.delete(writer)
    for (const { account, tokens } of reply.drawn) this.#options.pool.add(account, tokens)
    for (const { account, tokens } of reply.remaining) this.#reported.set(account, { remaining: tokens, asOf: this.#options.clock.now() - reply.pageAgeMs })
    return true
  }

  #pageWriter (): string | undefined {
    return this.#options.pageWriter(new Set([...this.#failedWriters.keys()].filter((writer) => this.#isFailed(writer))))
  }

  #isFailed (writer: string): boolean {
    return this.#options.clock.now() < (this.#failedWriters.get(writer) ?? -Infinity)
  }

  #isDirectDrawBackingOff (): boolean {
    return this.#options.clock.now() < this.#directDrawAt
  }

  #delayDirectDraws (): void {
    this.#directDrawAt = this.#options.clock.now() + this.#options.random.integer(DIRECT_DRAW_MAXIMUM_DELAY_MS)
  }

  #isOwnPageNewer (reported: ReportedAccount): boolean {
    return this.#options.pageClient.ageMs() < this.#options.clock.now() - reported.asOf
  }
}
