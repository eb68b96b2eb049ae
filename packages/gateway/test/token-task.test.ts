import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as stores from './one-page-store.js'
import * as tokenPages from '../src/token-pages.js'
import * as tokenTasks from '../src/token-task.js'
import * as tokenTypes from '../src/token-types.js'

const { expect } = chai
const { TokenRole } = tokenTypes

const TOTAL = 100_000
const HOLDER = '10.0.0.9:1'

/** A gateway of a large fleet that draws one account's tokens, and borrows another's from one holder. */
class LargeFleetGateway {
  readonly pool = new decisions.tokenPool.TokenPool()
  readonly task: tokenTasks.TokenTask
  readonly #store = new stores.OnePageStore()
  readonly transfers: number[] = []
  readonly returned: Array<[account: string, tokens: number]> = []

  constructor (heldByHolder: number, clock = new stores.StepClock() as decisions.clock.Clock) {
    let held = heldByHolder
    const logger = runtime.logging.createLogger('silent')
    const totals = (): tokenPages.PrepaidTotals => ({ version: 1, totals: { drawn: TOTAL, borrowed: TOTAL } })
    const shared = { clock, logger, totals, gateways: () => 70 }
    const pages = new tokenPages.TokenPages({ ...shared, incarnation: 'one', store: this.#store, onTokens: (account, tokens) => { this.pool.add(account, tokens) } })
    this.task = new tokenTasks.TokenTask(this.pool, {
      ...shared,
      selfAddress: '10.0.0.1:1',
      policy: tokenTasks.POOL_POLICY,
      pages,
      random: new decisions.random.SeededRandom(1),
      holders: (account) => ({ role: account === 'drawn' ? TokenRole.holder : TokenRole.borrower, others: [{ peerAddress: HOLDER, freeTokens: undefined, spending: undefined }] }),
      transfer: async (_peerAddress, _account, tokens) => {
        const given = Math.min(held, tokens)
        held -= given
        this.transfers.push(given)
        return { tokens: given, usedUp: false, freeTokens: held }
      },
      returnTokens: async (_peerAddress, account, tokens) => { this.returned.push([account, tokens]) }
    })
  }

  get drawn (): Record<string, number> {
    return (this.#store.page?.value as decisions.tokenPage.TokenPage | undefined)?.drawn ?? {}
  }
}

describe('a gateway of a large fleet', () => {
  it('draws the accounts that it holds and returns what it borrowed to a holder', async () => {
    const gateway = new LargeFleetGateway(0)
    gateway.pool.add('borrowed', 5000)
    await gateway.task.balance()
    expect(gateway.drawn.drawn).to.be.greaterThan(1000)
    expect(gateway.drawn.borrowed).to.equal(undefined)
    expect(gateway.returned).to.deep.equal([['borrowed', 5000]])
  })

  it('draws nothing once it is stopped, also where it was about to', async () => {
    const gateway = new LargeFleetGateway(0, new runtime.systemClock.SystemClock())
    gateway.task.start()
    gateway.task.stop()
    await new Promise<void>((resolve) => { setTimeout(resolve, 50) })
    expect(gateway.drawn).to.deep.equal({})
  })

  const bursts: Array<{ name: string, requests: number, held: number, reserved: number }> = [
    { name: 'borrows for all requests that wait at once', requests: 8, held: 10_000, reserved: 8 },
    { name: 'serves as many as what a holder has is enough for', requests: 8, held: 3500, reserved: 3 }
  ]
  for (const { name, requests, held, reserved } of bursts) {
    it(name, async () => {
      const gateway = new LargeFleetGateway(held)
      const outcomes = await Promise.all(Array.from({ length: requests }, async () => await gateway.task.reserve('borrowed', 1000)))
      expect(outcomes.filter((outcome) => outcome === 'reserved').length).to.equal(reserved)
      // The first transfer is for the first request, the second for all that came meanwhile.
      expect(gateway.transfers.slice(0, 2)).to.deep.equal([1000, Math.min(held, requests * 1000) - 1000])
    })
  }
})
