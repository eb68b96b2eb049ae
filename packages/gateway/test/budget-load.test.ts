import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as stores from './one-page-store.js'
import * as tokenPages from '../src/token-pages.js'
import * as tokenTasks from '../src/token-task.js'
import * as tokenTypes from '../src/token-types.js'

const { expect } = chai

/** Length of one step, in milliseconds. */
const STEP_MS = 50

/** Steps after which a gateway balances its pool; each begins at another step. */
const BALANCE_STEPS = 1500 / STEP_MS

/** Worst case and true size of the replayed requests, in tokens. */
const WORST_CASE_TOKENS = 5000
const TRUE_TOKENS = 4400

/** Spending of the replayed account, in requests a second. */
const REQUESTS_A_SECOND = 6

/** Seconds of spending that the prepaid total covers. */
const COVERED_SECONDS = 60

const TOTAL = TRUE_TOKENS * REQUESTS_A_SECOND * COVERED_SECONDS

interface Holder {
  pool: decisions.tokenPool.TokenPool
  task: tokenTasks.TokenTask
}

/** Replays one account's load over a fleet, with outages of the store and the loss of all gateways. */
class BudgetReplay {
  readonly #store = new stores.OnePageStore()
  readonly #clock = new stores.StepClock()
  readonly #gateways: number
  /** Two gateways serve three quarters of the requests. */
  readonly #isSkewed: boolean
  readonly #policy: decisions.tokenPool.PoolPolicy
  #holders: Holder[] = []
  #generation = 0
  #carried = 0
  served = 0
  asked = 0

  constructor (gateways: number, isSkewed = false, policy = tokenTasks.POOL_POLICY) {
    this.#gateways = gateways
    this.#isSkewed = isSkewed
    this.#policy = policy
    this.restart()
  }

  /** Loses what all gateways hold, and starts new ones. */
  restart (): void {
    this.#generation += 1
    this.#holders = Array.from({ length: this.#gateways }, (_value, index) => this.#createHolder(index))
  }

  /** Plays a time of load; `factor` is its size against the usual. */
  async play (seconds: number, options: { storeDown?: boolean, factor?: number } = {}): Promise<{ asked: number, served: number }> {
    const before = { asked: this.asked, served: this.served }
    this.#store.down = options.storeDown ?? false
    for (let step = 0; step < seconds * 1000 / STEP_MS; step++) {
      this.#clock.time += STEP_MS
      for (const [index, { task }] of this.#holders.entries()) {
        if ((step + index) % BALANCE_STEPS === 0) await task.balance()
      }
      this.#carried += REQUESTS_A_SECOND * (options.factor ?? 1) * STEP_MS / 1000
      while (this.#carried >= 1) {
        this.#carried -= 1
        await this.#request()
      }
    }
    return { asked: this.asked - before.asked, served: this.served - before.served }
  }

  async #request (): Promise<void> {
    const { task } = this.#holders[this.#isSkewed && this.asked % 4 > 0 ? this.asked % 2 : this.asked % this.#gateways]
    this.asked += 1
    const outcome = await task.reserve('depot', WORST_CASE_TOKENS)
    if (outcome !== tokenTasks.ReserveOutcome.reserved) return
    task.settle('depot', WORST_CASE_TOKENS, TRUE_TOKENS)
    this.served += 1
  }

  #holdersFor (account: string, index: number): tokenTypes.AccountHolders {
    const { names, everyone } = decisions.tokenHolders.tokenHolders(account, String(index), Array.from({ length: this.#gateways }, (_value, position) => ({ name: String(position), availabilityZone: String(position % 3), processorShare: 1 })))
    const own = names.includes(String(index))
    return {
      role: everyone ? tokenTypes.TokenRole.peer : own ? tokenTypes.TokenRole.holder : tokenTypes.TokenRole.borrower,
      others: names.filter((name) => name !== String(index)).map((name) => ({ peerAddress: name, freeTokens: everyone ? this.#holders[Number(name)].pool.free(account) : undefined, spending: everyone ? this.#holders[Number(name)].pool.rate(account, this.#clock.time / 1000) : undefined }))
    }
  }

  #createHolder (index: number): Holder {
    const pool = new decisions.tokenPool.TokenPool()
    const clock = this.#clock as decisions.clock.Clock
    const logger = runtime.logging.createLogger('silent')
    const totals = (): tokenPages.PrepaidTotals => ({ version: 1, totals: { depot: TOTAL } })
    const pages = new tokenPages.TokenPages({
      incarnation: `gateway-${index}-${this.#generation}`,
      store: this.#store,
      clock,
      logger,
      totals,
      gateways: () => this.#gateways,
      onTokens: (account, tokens) => { pool.add(account, tokens) }
    })
    const task = new tokenTasks.TokenTask(pool, {
      selfAddress: String(index),
      policy: this.#policy,
      pages,
      clock,
      random: new decisions.random.SeededRandom(index),
      logger,
      totals,
      gateways: () => this.#gateways,
      holders: (account) => this.#holdersFor(account, index),
      transfer: async (peerAddress, account, tokens) => await this.#holders[Number(peerAddress)].task.giveAway({ transferId: '', account, tokens, asker: String(index) }),
      returnTokens: async (peerAddress, account, tokens) => { this.#holders[Number(peerAddress)].pool.add(account, tokens) }
    })
    return { pool, task }
  }
}

for (const [gateways, isSkewed] of [[8, false], [8, true], [70, false]] as Array<[number, boolean]>) {
  describe(`a budget under load over ${gateways} gateways${isSkewed ? ', most of it at two of them' : ''}`, () => {
    it('is served through nine seconds without the store, early and late in the day', async () => {
      const replay = new BudgetReplay(gateways, isSkewed)
      await replay.play(6)
      const early = await replay.play(9, { storeDown: true })
      await replay.play(8)
      const late = await replay.play(9, { storeDown: true })
      expect(early.served / early.asked).to.be.at.least(0.97)
      expect(late.served / late.asked).to.be.at.least(0.97)
    })

    it('is used to within 3 in 100 where nothing fails', async () => {
      const replay = new BudgetReplay(gateways, isSkewed)
      await replay.play(COVERED_SECONDS * 1.2)
      expect(replay.served * TRUE_TOKENS).to.be.within(TOTAL * 0.97, TOTAL)
    })

    it('loses at most the covered outage when all gateways die, and is used to within 3 in 100 of the rest', async () => {
      const replay = new BudgetReplay(gateways, isSkewed)
      await replay.play(34)
      replay.restart()
      await replay.play(COVERED_SECONDS)
      const lost = TOTAL - replay.served * TRUE_TOKENS
      expect(lost).to.be.within(0, TOTAL * 0.03 + 12 * REQUESTS_A_SECOND * TRUE_TOKENS)
    })

    it('serves a quarter of an account near its end after all gateways died', async () => {
      const replay = new BudgetReplay(gateways, isSkewed)
      await replay.play(23, { factor: 1.3 })
      await replay.play(8, { storeDown: true, factor: 1.3 })
      await replay.play(3, { factor: 1.3 })
      replay.restart()
      const after = await replay.play(16, { factor: 1.3 })
      expect(after.served / after.asked).to.be.at.least(0.25)
    })

    it('follows an account that sends three times its usual', async () => {
      const replay = new BudgetReplay(gateways, isSkewed)
      await replay.play(10)
      const hot = await replay.play(4, { factor: 3 })
      expect(hot.served).to.equal(hot.asked)
    })
  })
}
