import type * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
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

/** The same after this gateway could not reach the store either, in milliseconds. The page writer keeps trying, and is asked meanwhile. */
const FAILED_DIRECT_DRAW_MAXIMUM_DELAY_MS = 4000

/** Time that a draw for which requests wait, and a draw ahead of demand, wait for a gateway's answer before another way is tried, in milliseconds. */
const URGENT_DRAW_WAIT_MS = 150
const AHEAD_DRAW_WAIT_MS = 1000

/** How much longer than the last two draws took a further one is waited for. A store that has been away may answer slowly: asking others as well makes them all slower. */
const SLOW_ANSWER_FACTOR = 2

/** Time after which a page writer's next failure counts as the first one of another outage, in milliseconds. */
const FAILURE_MEMORY_MS = 60_000

/** Gateways that are asked one after the other to write the page for one draw, before this gateway writes it itself. */
const MAXIMUM_ASKED_WRITERS = 2

/** Dependencies of the access to the token page. */
export interface TokenPageAccessOptions {
  pageClient: pageClients.TokenPageClient
  pool: decisions.tokenPool.TokenPool
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  /**
   * Peer address of the gateway that writes the page for all; undefined if that is this gateway, or every gateway of a small fleet. It is not
   * one of those that `failed` if there are others.
   */
  pageWriter: (failed: ReadonlySet<string>) => string | undefined
  /** Asks the page writer to draw. Resolves to undefined as soon as no answer can come any more. */
  requestDraw: (peerAddress: string, request: routers.gatewayMessages.DrawRequest) => Promise<routers.gatewayMessages.DrawReply | undefined>
}

/** Outcome of asking another gateway to draw. `late`: no answer yet; what it draws may still come. */
const DrawOutcome = { done: 'done', failed: 'failed', late: 'late' } as const
type DrawOutcome = typeof DrawOutcome[keyof typeof DrawOutcome]

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
  /** Times that the last two draws through another gateway took, in milliseconds. */
  #lastAnswersMs: [number, number] = [0, 0]
  /** Those of them that answered that they could not write it. */
  readonly #cutOffWriters = new Set<string>()
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

  /**
   * Draws tokens by account, for which requests wait, and adds them to the pool. With 0 tokens, only learns what remains. While an answer is late,
   * only what the requests need is drawn on another way: the rest may still come.
   */
  async draw (draws: ReadonlyMap<string, number>, needed = draws): Promise<pageClients.PageResult> {
    let isAnswerLate = false
    let isAsked = false
    let writer = this.#pageWriter()
    for (let asked = 0; asked < MAXIMUM_ASKED_WRITERS && writer !== undefined && !this.#isFailed(writer); asked++) {
      const outcome = await this.#drawThrough(writer, isAnswerLate ? needed : draws, true)
      if (outcome === DrawOutcome.done) return pageClients.PageResult.changed
      isAsked = true
      isAnswerLate ||= outcome === DrawOutcome.late
      writer = this.#pageWriter()
    }
    if (writer !== undefined && this.#isDirectDrawBackingOff()) return pageClients.PageResult.unreachable
    // A writer that was cut off may reach the store again by now, and knows the newest revision.
    if (writer !== undefined && !isAsked && this.#cutOffWriters.has(writer)) {
      const outcome = await this.#drawThrough(writer, draws, true)
      if (outcome === DrawOutcome.done) return pageClients.PageResult.changed
      isAnswerLate = outcome === DrawOutcome.late
    }
    const result = await this.#drawDirectly(isAnswerLate ? needed : draws, true)
    if (result === pageClients.PageResult.unreachable && writer !== undefined) this.#delayDirectDraws(FAILED_DIRECT_DRAW_MAXIMUM_DELAY_MS)
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
    if (draws.size > 0 && writer === undefined) await this.#drawDirectly(draws, false)
    else if (draws.size > 0 && writer !== undefined && !this.#isFailed(writer)) await this.#drawThrough(writer, draws, false)
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

  async #drawDirectly (draws: ReadonlyMap<string, number>, isUrgent: boolean): Promise<pageClients.PageResult> {
    return await this.#whilePending(draws, this.#batcher.draw(draws, isUrgent))
  }

  /** Counts the draws as pending until the answer comes, or can't come any more. */
  async #whilePending<Result> (draws: ReadonlyMap<string, number>, answer: Promise<Result>): Promise<Result> {
    for (const [account, tokens] of draws) this.#pending.set(account, this.pending(account) + tokens)
    try {
      return await answer
    } finally {
      for (const [account, tokens] of draws) this.#pending.set(account, this.pending(account) - tokens)
    }
  }

  async #drawThrough (writer: string, draws: ReadonlyMap<string, number>, isUrgent: boolean): Promise<DrawOutcome> {
    let isLate = false
    const startedAt = this.#options.clock.now()
    const request = { draws: [...draws].map(([account, tokens]) => ({ account, tokens })), isUrgent }
    const answer = this.#whilePending(draws, this.#options.requestDraw(writer, request)).then((reply) => {
      if (reply?.isDone === true) this.#lastAnswersMs = [this.#lastAnswersMs[1], this.#options.clock.now() - startedAt]
      return this.#recordReply(writer, reply, isLate)
    })
    const waitMs = isUrgent ? Math.min(Math.max(URGENT_DRAW_WAIT_MS, SLOW_ANSWER_FACTOR * Math.min(...this.#lastAnswersMs)), AHEAD_DRAW_WAIT_MS) : AHEAD_DRAW_WAIT_MS
    const timer = new AbortController()
    const outcome = await Promise.race([answer, this.#options.clock.sleep(waitMs, timer.signal).then(() => DrawOutcome.late)])
    timer.abort()
    if (outcome === DrawOutcome.late) {
      isLate = true
      if (!this.#failedWriters.has(writer)) this.#delayDirectDraws()
      this.#failedWriters.set(writer, this.#options.clock.now() + SILENT_WRITER_BACKOFF_MS)
      this.#cutOffWriters.delete(writer)
    }
    return outcome
  }

  /** Adds what another gateway drew for this one to the pool. */
  #recordReply (writer: string, reply: routers.gatewayMessages.DrawReply | undefined, isLate: boolean): DrawOutcome {
    const { clock, logger, pool } = this.#options
    if (reply?.isDone !== true) {
      if (reply !== undefined && (isLate || !this.#failedWriters.has(writer))) this.#delayDirectDraws()
      this.#failedWriters.set(writer, clock.now() + (reply === undefined ? SILENT_WRITER_BACKOFF_MS : CUT_OFF_WRITER_BACKOFF_MS))
      if (reply === undefined) this.#cutOffWriters.delete(writer)
      else this.#cutOffWriters.add(writer)
      return DrawOutcome.failed
    }
    this.#failedWriters.delete(writer)
    this.#cutOffWriters.delete(writer)
    for (const { account, tokens } of reply.drawn) pool.add(account, tokens)
    for (const { account, tokens } of reply.remaining) this.#reported.set(account, { remaining: tokens, asOf: clock.now() - reply.pageAgeMs })
    if (isLate) logger.info({ event: 'draw-late', peer: writer, drawn: reply.drawn })
    return DrawOutcome.done
  }

  #pageWriter (): string | undefined {
    this.#forgetEndedFailures()
    return this.#options.pageWriter(new Set([...this.#failedWriters.keys()].filter((writer) => this.#isFailed(writer))))
  }

  #forgetEndedFailures (): void {
    for (const [writer, until] of this.#failedWriters) if (this.#options.clock.now() - until > FAILURE_MEMORY_MS) this.#failedWriters.delete(writer)
  }

  #isFailed (writer: string): boolean {
    return this.#options.clock.now() < (this.#failedWriters.get(writer) ?? -Infinity)
  }

  #isDirectDrawBackingOff (): boolean {
    return this.#options.clock.now() < this.#directDrawAt
  }

  #delayDirectDraws (maximumDelayMs = DIRECT_DRAW_MAXIMUM_DELAY_MS): void {
    this.#directDrawAt = this.#options.clock.now() + this.#options.random.integer(maximumDelayMs)
  }

  #isOwnPageNewer (reported: ReportedAccount): boolean {
    return this.#options.pageClient.ageMs() < this.#options.clock.now() - reported.asOf
  }
}
