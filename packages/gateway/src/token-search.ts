import * as decisions from '@acaciaweir/decisions'
import type * as outlooks from './token-outlook.js'
import * as types from './token-types.js'

/** Time after a draw that was not enough in which waiting requests draw no more unless the page was seen to have more, for each gateway, in milliseconds. */
const VAIN_DRAW_PAUSE_PER_GATEWAY_MS = 20

/** Longest search for one request's tokens, in milliseconds: two gateways that do not answer. A refusal after it still lets the caller try elsewhere. */
export const SEARCH_MS = 300

/** Tokens asked of another gateway, as a multiple of what is lacking. */
const TRANSFER_FACTOR = 2

/** Time of spending for which a gateway that does not draw for itself asks ahead, in seconds. */
const ASK_AHEAD_SECONDS = 1.5

/** Requests that must be expected within that time, or none is asked for ahead. */
const WORTH_ASKING_AHEAD = 1.5

/** Longest time that a request waits for the page, in milliseconds. The store answers in a few; a request must not wait out its outage. */
const PAGE_WAIT_MS = 60

/** Time after all other gateways were asked in vain in which they are not asked again for the account, in milliseconds. */
const ASK_ALL_INTERVAL_MS = 300

/** Finds tokens for the requests that wait for them: at other gateways, else in the page. */
export class TokenSearch {
  readonly #pool: decisions.tokenPool.TokenPool
  readonly #outlook: outlooks.TokenOutlook
  readonly #options: types.TokenTaskOptions
  readonly #searches = new Map<string, Promise<void>>()
  /** Worst cases of the requests that wait for tokens, by account. */
  readonly #waiting = new Map<string, number>()
  /** When all other gateways were last asked, by account. */
  readonly #askedAllAt = new Map<string, number>()
  /** When a draw for waiting requests last was not enough, by account. */
  readonly #drawnInVainAt = new Map<string, number>()

  constructor (pool: decisions.tokenPool.TokenPool, outlook: outlooks.TokenOutlook, options: types.TokenTaskOptions) {
    this.#pool = pool
    this.#outlook = outlook
    this.#options = options
  }

  /** Notes that a request waits for tokens, or with a negative number that it waits no more. */
  addWaiting (account: string, tokens: number): void {
    this.#waiting.set(account, (this.#waiting.get(account) ?? 0) + tokens)
  }

  /** Tokens that the pool lacks for all requests that wait for it. */
  lacking (account: string): number {
    return (this.#waiting.get(account) ?? 0) - this.#pool.free(account)
  }

  /** Whether it is time to ask all other gateways, also those that held nothing when last heard. */
  mayAskAll (account: string): boolean {
    return this.#options.clock.now() - (this.#askedAllAt.get(account) ?? -Infinity) >= ASK_ALL_INTERVAL_MS
  }

  /** Whether this gateway keeps its tokens for its own waiting requests. Two that both lack some would only swap what they hold. */
  goesBefore (account: string, asker: string): boolean {
    if (this.lacking(account) <= 0) return false
    const { selfAddress } = this.#options
    return decisions.hashing.rendezvousOrder([selfAddress, asker], account, (address) => address)[0] === selfAddress
  }

  /** Requests that lack tokens of the same account share one search. */
  async search (account: string, tokens: number): Promise<void> {
    let running = this.#searches.get(account)
    if (running === undefined) {
      running = this.#find(account, tokens).finally(() => { this.#searches.delete(account) })
      this.#searches.set(account, running)
    }
    await running
  }

  async #find (account: string, tokens: number): Promise<void> {
    const { role, others } = this.#options.holders(account)
    if (role === types.TokenRole.borrower) {
      await this.#borrow(account, others)
      return
    }
    const found = role === types.TokenRole.peer && await this.#collect(account, this.lacking(account), others)
    if (!found) await this.draw(account, tokens)
    if (role === types.TokenRole.holder && this.lacking(account) > 0) await this.#borrow(account, others)
  }

  /** Draws from the page so that the tokens and all waiting requests fit, and up to the target. */
  async draw (account: string, tokens: number): Promise<void> {
    const pauseMs = this.#options.gateways() * VAIN_DRAW_PAUSE_PER_GATEWAY_MS
    const sinceVainMs = this.#options.clock.now() - (this.#drawnInVainAt.get(account) ?? -Infinity)
    const isVain = sinceVainMs < pauseMs && this.#options.pages.remaining(account) < tokens - this.#pool.free(account)
    if (this.#options.pages.isPaused() || isVain) return
    const drawn = this.#options.pages.ask(new Map([[account, Math.max(tokens - this.#pool.free(account), this.lacking(account), this.#outlook.target(account))]]))
    await Promise.race([drawn, this.#options.clock.sleep(PAGE_WAIT_MS)])
    if (this.#pool.free(account) < tokens) this.#drawnInVainAt.set(account, this.#options.clock.now())
  }

  /** Asks a few holders, one after the other, for what all waiting requests lack. */
  async #borrow (account: string, holders: types.TokenHolder[]): Promise<void> {
    let usedUp = holders.length > 0
    const askUntil = this.#options.clock.now() + SEARCH_MS
    for (const holder of holders) {
      const lacking = this.lacking(account)
      if (lacking <= 0 || this.#options.clock.now() >= askUntil) return
      const ahead = this.#pool.spendingIn(account, ASK_AHEAD_SECONDS, this.#seconds())
      const wanted = ahead > lacking * WORTH_ASKING_AHEAD ? lacking + ahead : lacking
      const received = await this.#options.transfer(holder.peerAddress, account, wanted)
      this.#pool.add(account, received?.tokens ?? 0)
      usedUp &&= received?.usedUp === true
    }
    if (usedUp) this.#outlook.noteUsedUp(account)
  }

  /** Asks the gateways that hold most until enough has come, and then, now and then, those that held nothing when last heard. */
  async #collect (account: string, lacking: number, others: types.TokenHolder[]): Promise<boolean> {
    let rest = lacking
    for (const holder of mostFirst(others)) {
      if (rest <= 0) return true
      const wanted = Math.min(rest * TRANSFER_FACTOR, Math.max(rest, Math.floor(holder.freeTokens / 2)))
      rest -= await this.#receive(holder.peerAddress, account, wanted)
    }
    if (rest <= 0) return true
    if (!this.mayAskAll(account)) return false
    this.#askedAllAt.set(account, this.#options.clock.now())
    const received = await Promise.all(others.map(async (holder) => await this.#receive(holder.peerAddress, account, rest)))
    return received.reduce((sum, tokens) => sum + tokens, 0) >= rest
  }

  async #receive (peerAddress: string, account: string, wanted: number): Promise<number> {
    const received = await this.#options.transfer(peerAddress, account, wanted)
    this.#pool.add(account, received?.tokens ?? 0)
    return received?.tokens ?? 0
  }

  #seconds (): number {
    return this.#options.clock.now() / 1000
  }
}

/** Gateways that are known to hold tokens, those with most of them first. */
function mostFirst (holders: readonly types.TokenHolder[]): Array<types.TokenHolder & { freeTokens: number }> {
  const known = holders.map((holder) => ({ ...holder, freeTokens: holder.freeTokens ?? 0 })).filter((holder) => holder.freeTokens > 0)
  return known.sort((left, right) => right.freeTokens - left.freeTokens)
}
