// Guards against requests that are held though nothing can come for them, against refusals while tokens are under way, against tokens that
// are asked for again and again while an answer is late, and against a gateway that misreads one of an earlier release.
import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as stores from './fake-page-store.js'
import * as virtualClocks from './virtual-clock.js'
import * as tokenAllocators from '../src/token-allocator.js'
import * as tokenPageAccesses from '../src/token-page-access.js'
import * as tokenPageClients from '../src/token-page-client.js'
import type * as tokenTypes from '../src/token-types.js'

const { expect } = chai
const { TokenRole } = decisions.tokenHolders

const TOTAL = 100_000
const WANTED = 3000
const USED_UP: routers.gatewayMessages.TokenTransferReply = { tokens: 0, usedUp: true, freeTokens: 0, pageAgeMs: 0 }

type Changes = Partial<Pick<tokenTypes.TokenAllocatorOptions, 'hasLateTransfer' | 'requestTransfer' | 'isStoreReachable'> &
  Pick<tokenPageAccesses.TokenPageAccessOptions, 'pageWriter' | 'requestDraw'> & tokenTypes.AccountHolders>

/** A gateway that has one account, on a virtual clock. */
class LoneGateway {
  readonly clock: virtualClocks.VirtualClock
  readonly store: stores.FakePageStore
  readonly pool = new decisions.tokenPool.TokenPool()
  readonly pages: tokenPageClients.TokenPageClient
  readonly allocator: tokenAllocators.TokenAllocator

  constructor (changes: Changes, clock = new virtualClocks.VirtualClock(), store = new stores.FakePageStore()) {
    this.clock = clock
    this.store = store
    const shared = { clock, logger: runtime.logging.createLogger('silent'), random: new decisions.random.SeededRandom(2), prepaidTotals: () => ({ version: 1, totals: { depot: TOTAL } }) }
    this.pages = new tokenPageClients.TokenPageClient({ ...shared, knowledge: stores.completeKnowledge, incarnation: 'one', store, onTokensCredited: (account, tokens) => { this.pool.add(account, tokens) } })
    const page = new tokenPageAccesses.TokenPageAccess({ ...shared, pageClient: this.pages, pool: this.pool, pageWriter: () => undefined, requestDraw: async () => undefined, ...changes })
    this.allocator = new tokenAllocators.TokenAllocator(this.pool, {
      ...shared,
      selfAddress: 'self',
      policy: tokenAllocators.POOL_POLICY,
      page,
      isFleetKnown: () => true,
      isStoreReachable: () => true,
      holders: () => ({ role: changes.role ?? TokenRole.peer, otherHolders: changes.otherHolders ?? [] }),
      requestTransfer: async () => undefined,
      hasLateTransfer: () => false,
      returnTokens: async () => {},
      ...changes
    })
  }

  /** Reserves, and returns the outcome and the time until it. */
  async reserve (patience = { underWayMs: 500, isGone: () => false }): Promise<{ outcome: string, waitedMs: number }> {
    const startedAt = this.clock.now()
    const settled: Array<{ outcome: string, waitedMs: number }> = []
    void this.allocator.reserve('depot', WANTED, patience).then((outcome) => { settled.push({ outcome, waitedMs: this.clock.now() - startedAt }) })
    while (settled.length === 0) await this.clock.runUntil(this.clock.now() + 5)
    return settled[0]
  }
}

const others = (...addresses: string[]): tokenTypes.TokenHolder[] => addresses.map((peerAddress) => ({ peerAddress, freeTokens: undefined, spending: undefined }))

describe('a request that waits for tokens', () => {
  for (const pageAgeMs of [0, 1, 500]) {
    it(`is refused at once when the holder says that the budget is used up, with page age ${pageAgeMs}`, async () => {
      let asks = 0
      const gateway = new LoneGateway({ role: TokenRole.borrower, otherHolders: others('holder'), requestTransfer: async () => { asks += 1; return { ...USED_UP, pageAgeMs } } })
      expect(await gateway.reserve()).to.deep.include({ outcome: 'exhausted' })
      expect(asks).to.be.at.most(3)
    })
  }

  it('is refused at once in a small fleet by a gateway that is cut off alone', async () => {
    const gateway = new LoneGateway({ otherHolders: others('other'), requestTransfer: async () => ({ ...USED_UP, usedUp: false }) })
    gateway.store.isDown = true
    await gateway.reserve()
    expect((await gateway.reserve()).waitedMs).to.be.at.most(10)
  })

  for (const rate of [5, 50]) {
    it(`costs no more than 18 store calls and waits for at most 50 ms, when its account is used up and ${rate} come a second for ten seconds`, async () => {
      const gateway = new LoneGateway({})
      void gateway.pages.ask(new Map([['depot', TOTAL]]))
      await gateway.clock.runUntil(gateway.clock.now() + 1000)
      gateway.pool.withdraw('depot', TOTAL)
      const before = gateway.store.calls
      const startedAt = gateway.clock.now()
      const waits: number[] = []
      for (let count = 0; count < rate * 10; count++) {
        await gateway.clock.runUntil(startedAt + count * 1000 / rate)
        const { outcome, waitedMs } = await gateway.reserve()
        expect(outcome).to.equal('exhausted')
        waits.push(waitedMs)
      }
      expect(gateway.store.calls - before).to.be.at.most(18)
      expect(Math.max(...waits)).to.be.at.most(50)
    })
  }

  it('asks for its tokens twice, not again and again, while answers are late, and gets them when they come', async () => {
    const asked: number[] = []
    let late = 0
    const gateway: LoneGateway = new LoneGateway({
      role: TokenRole.borrower,
      otherHolders: others('holder', 'standby'),
      hasLateTransfer: () => late > 0,
      requestTransfer: async (_peer, _account, tokens) => {
        asked.push(tokens)
        late += 1
        void gateway.clock.sleep(600).then(() => { late -= 1; gateway.pool.add('depot', tokens) })
        await gateway.clock.sleep(150)
        return undefined
      }
    })
    expect((await gateway.reserve()).outcome).to.equal('reserved')
    expect(asked).to.deep.equal([WANTED, WANTED])
  })

  it('is not refused with 402 while a draw of the rest is late', async () => {
    const gateway: LoneGateway = new LoneGateway({
      role: TokenRole.holder,
      pageWriter: (failed) => failed.has('slow') ? 'fast' : 'slow',
      requestDraw: async (writer, { draws }) => {
        await gateway.clock.sleep(writer === 'slow' ? 500 : 5)
        return { isDone: true, drawn: writer === 'slow' ? draws : [], remaining: [{ account: 'depot', tokens: 0 }], pageAgeMs: 0 }
      }
    })
    expect((await gateway.reserve()).outcome).to.equal('reserved')
  })

  for (const [name, underWayMs, isGone, longestMs] of [['an eighth of its objective beyond the limit', 200, false, 505], ['no time once its caller has left', 200, true, 155]] as const) {
    it(`waits ${name} for a transfer that is late`, async () => {
      const gateway: LoneGateway = new LoneGateway({ role: TokenRole.borrower, otherHolders: others('holder'), hasLateTransfer: () => true, requestTransfer: async () => { await gateway.clock.sleep(150); return undefined } })
      const { outcome, waitedMs } = await gateway.reserve({ underWayMs, isGone: () => isGone })
      expect(outcome).to.equal('unreachable')
      expect(waitedMs).to.be.at.most(longestMs)
    })
  }

  for (const [reachesStore, given] of [[undefined, WANTED], [false, WANTED], [true, 0]] as const) {
    it(`gets ${given} tokens through the standby from a holder whose reach of the store is ${String(reachesStore)}`, async () => {
      const gateway = new LoneGateway({ role: TokenRole.standby, otherHolders: [{ ...others('holder')[0], reachesStore }] })
      const reply = gateway.allocator.handleTransfer({ transferId: '', account: 'depot', tokens: WANTED, asker: 'holder' })
      await gateway.clock.runUntil(gateway.clock.now() + 1000)
      expect((await reply).tokens).to.equal(given)
    })
  }
})
