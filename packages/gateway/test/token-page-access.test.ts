// In a large fleet one gateway draws from the token page for all. Guards against tokens that reach two gateways or none, against a draw that
// takes tokens off the page's account, and against requests that wait for a page writer that is gone.
import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as stores from './fake-page-store.js'
import * as virtualClocks from './virtual-clock.js'
import * as pageAccesses from '../src/token-page-access.js'
import * as tokenPageClients from '../src/token-page-client.js'

const { expect } = chai

const TOTAL = 10_000
const WRITER = 'writer:1'

/** How the page writer answers. */
const WriterState = { answering: 'answering', silent: 'silent', cutOff: 'cut off' } as const
type WriterState = typeof WriterState[keyof typeof WriterState]

/** A page writer and gateways that draw through it. */
class DrawingFleet {
  readonly clock = new virtualClocks.VirtualClock()
  readonly store = new stores.FakePageStore()
  readonly pools: decisions.tokenPool.TokenPool[] = []
  readonly gateways: pageAccesses.TokenPageAccess[] = []
  writerState: WriterState = WriterState.answering
  drawRequests = 0
  /** Time that the page writer's answers take, in milliseconds. */
  answerMs = 0

  constructor (size: number, random?: decisions.random.RandomSource) {
    for (let index = 0; index < size; index++) this.#addGateway(index, random ?? new decisions.random.SeededRandom(index))
  }

  get drawn (): number {
    return (this.store.page?.value as decisions.tokenPage.TokenPage | undefined)?.drawn.depot ?? 0
  }

  get held (): number {
    return this.pools.reduce((sum, pool) => sum + pool.freeTokens('depot'), 0)
  }

  /** Plays until the promises have settled. */
  async settle<Result> (...promises: Array<Promise<Result>>): Promise<Result[]> {
    const settled = Promise.all(promises)
    await this.clock.runUntil(this.clock.now() + 5000)
    return await settled
  }

  #addGateway (index: number, random: decisions.random.RandomSource): void {
    const pool = new decisions.tokenPool.TokenPool()
    const shared = { clock: this.clock, logger: runtime.logging.createLogger('silent'), random }
    const pageClient = new tokenPageClients.TokenPageClient({
      knowledge: stores.completeKnowledge,
      ...shared,
      incarnation: `gateway-${index}`,
      store: this.store,
      prepaidTotals: () => ({ version: 1, totals: { depot: TOTAL } }),
      onTokensCredited: (account, tokens) => { pool.add(account, tokens) }
    })
    this.pools.push(pool)
    this.gateways.push(new pageAccesses.TokenPageAccess({
      ...shared,
      pageClient,
      pool,
      pageWriter: () => index === 0 ? undefined : WRITER,
      requestDraw: async (_peerAddress, request) => await this.#answer(request)
    }))
  }

  async #answer (request: routers.gatewayMessages.DrawRequest): Promise<routers.gatewayMessages.DrawReply | undefined> {
    this.drawRequests += 1
    if (this.writerState === WriterState.silent) return undefined
    if (this.writerState === WriterState.cutOff) return { isDone: false, drawn: [], remaining: [], pageAgeMs: 0 }
    const reply = await this.gateways[0].drawForOther(request)
    if (this.answerMs > 0) await this.clock.sleep(this.answerMs)
    return reply
  }
}

const depot = (tokens: number): Map<string, number> => new Map([['depot', tokens]])

describe('TokenPageAccess', () => {
  it('draws for several gateways with few writes, and gives each what it asked for', async () => {
    const fleet = new DrawingFleet(5)
    await fleet.settle(...fleet.gateways.slice(1).map(async (gateway) => await gateway.draw(depot(100))))
    expect(fleet.pools.map((pool) => pool.freeTokens('depot'))).to.deep.equal([0, 100, 100, 100, 100])
    expect(fleet.drawn).to.equal(400)
    expect(fleet.store.calls).to.be.at.most(3)
  })

  const writerCases: Array<{ state: WriterState, result: string, drawnAtOnce: number }> = [
    { state: WriterState.answering, result: 'changed', drawnAtOnce: 100 },
    { state: WriterState.silent, result: 'changed', drawnAtOnce: 100 },
    { state: WriterState.cutOff, result: 'unreachable', drawnAtOnce: 0 }
  ]
  for (const { state, result, drawnAtOnce } of writerCases) {
    it(`draws ${drawnAtOnce} tokens at once, and all of them a little later, if the page writer is ${state}`, async () => {
      const fleet = new DrawingFleet(2)
      fleet.writerState = state
      expect((await fleet.settle(fleet.gateways[1].draw(depot(100))))[0]).to.equal(result)
      expect(fleet.pools[1].freeTokens('depot')).to.equal(drawnAtOnce)
      await fleet.settle(fleet.gateways[1].draw(depot(100 - drawnAtOnce)))
      expect([fleet.pools[1].freeTokens('depot'), fleet.drawn]).to.deep.equal([100, 100])
    })
  }

  it('waits before it writes the page in place of the page writer, in a later outage as in the first', async () => {
    const fleet = new DrawingFleet(2)
    fleet.writerState = WriterState.cutOff
    for (let outage = 0; outage < 2; outage++) {
      expect(await fleet.settle(fleet.gateways[1].draw(depot(100)))).to.deep.equal(['unreachable'])
      await fleet.clock.runUntil(fleet.clock.now() + 3_600_000)
    }
    expect(fleet.drawn).to.equal(0)
  })

  it('draws only what is needed on another way while a page writer that was cut off answers late', async () => {
    const fleet = new DrawingFleet(2, { integer: () => 0 })
    fleet.writerState = WriterState.cutOff
    fleet.store.isDown = true
    await Promise.race([fleet.gateways[1].draw(depot(100), depot(10)), fleet.clock.runUntil(20)])
    fleet.store.isDown = false
    fleet.writerState = WriterState.answering
    fleet.answerMs = 600
    await fleet.clock.runUntil(900)
    fleet.writerState = WriterState.cutOff
    await Promise.race([fleet.gateways[1].draw(depot(0)), fleet.clock.runUntil(950)])
    fleet.writerState = WriterState.answering
    await fleet.settle(fleet.gateways[1].draw(depot(100), depot(10)))
    expect(fleet.pools[1].freeTokens('depot')).to.equal(110)
  })

  it('does not ask a silent page writer again at once', async () => {
    const fleet = new DrawingFleet(2)
    fleet.writerState = WriterState.silent
    await Promise.race([fleet.gateways[1].draw(depot(100)), fleet.clock.runUntil(100)])
    await Promise.race([fleet.gateways[1].draw(depot(100)), fleet.clock.runUntil(200)])
    expect(fleet.drawRequests).to.equal(1)
  })

  it('tells what remains without drawing', async () => {
    const fleet = new DrawingFleet(2)
    expect(fleet.gateways[1].ageMs('depot')).to.equal(Infinity)
    await fleet.settle(fleet.gateways[1].draw(depot(0)))
    expect([fleet.gateways[1].remaining('depot'), fleet.drawn]).to.deep.equal([TOTAL, 0])
  })

  it('takes a negative draw of another gateway for none', async () => {
    const fleet = new DrawingFleet(2)
    await fleet.settle(fleet.gateways[0].draw(depot(500)))
    await fleet.settle(fleet.gateways[0].drawForOther({ draws: [{ account: 'depot', tokens: -400 }], isUrgent: true }))
    expect([fleet.drawn, fleet.held]).to.deep.equal([500, 500])
  })

  it('goes on drawing after a write of the page that failed unexpectedly', async () => {
    const fleet = new DrawingFleet(1)
    const { replace, create } = fleet.store
    fleet.store.create = async () => { throw new Error('unexpected') }
    const failure = await Promise.race([fleet.gateways[0].draw(depot(100)).catch((error: Error) => error.message), fleet.clock.runUntil(2000)])
    Object.assign(fleet.store, { replace, create })
    await fleet.settle(fleet.gateways[0].draw(depot(100)))
    expect([failure, fleet.drawn]).to.deep.equal(['unexpected', 100])
  })
})
