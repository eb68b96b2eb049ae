import type * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as stores from './one-page-store.js'
import * as tokenPages from '../src/token-pages.js'

const { expect } = chai

const TOTAL = 1000

function createPages (store: stores.OnePageStore, clock: stores.StepClock, incarnation: string, held: { tokens: number }, totals = (): tokenPages.PrepaidTotals => ({ version: 1, totals: { depot: TOTAL } })): tokenPages.TokenPages {
  return new tokenPages.TokenPages({
    incarnation,
    store,
    clock: clock as decisions.clock.Clock,
    logger: runtime.logging.createLogger('silent'),
    totals,
    gateways: () => 3,
    onTokens: (_account, tokens) => { held.tokens += tokens }
  })
}

describe('drawing from the token page', () => {
  const cases: Array<{ name: string, fates: stores.Fate[], changes: number[], held: number, drawn: number }> = [
    { name: 'draws and returns', fates: [], changes: [300, -100], held: 200, drawn: 200 },
    { name: 'holds nothing of a refused draw', fates: ['refused'], changes: [300], held: 0, drawn: 0 },
    { name: 'finds a draw whose answer was lost', fates: ['lost'], changes: [300, 50], held: 350, drawn: 350 },
    { name: 'does not count a lost draw that was not done', fates: ['lost-undone'], changes: [300, 50], held: 50, drawn: 50 },
    { name: 'keeps returned tokens out until a lost return is settled', fates: ['done', 'lost'], changes: [300, -100], held: 200, drawn: 200 },
    { name: 'takes returned tokens back where the return was not done', fates: ['done', 'lost-undone', 'done'], changes: [300, -100, 10], held: 310, drawn: 310 },
    { name: 'counts a late draw once', fates: ['done', 'late', 'done'], changes: [300, 100, 10], held: 410, drawn: 410 }
  ]
  for (const { name, fates, changes, held, drawn } of cases) {
    it(name, async () => {
      const store = new stores.OnePageStore([...fates])
      const clock = new stores.StepClock()
      const own = { tokens: 0 }
      const pages = createPages(store, clock, 'gateway-1', own)
      for (const tokens of changes) {
        if (tokens < 0) own.tokens += tokens
        await pages.ask(new Map([['depot', tokens]]))
        clock.time += 5000
      }
      expect(own.tokens).to.equal(held)
      expect((store.page?.value as decisions.tokenPage.TokenPage | undefined)?.drawn.depot ?? 0).to.equal(drawn)
    })
  }

  const usedUpCases: Array<{ name: string, afterMs: number, totalAfter: number, calls: number, held: number }> = [
    { name: 'makes no call for an account of which the page had nothing a moment ago', afterMs: 100, totalAfter: TOTAL, calls: 0, held: TOTAL },
    { name: 'looks again after a while, without a write', afterMs: 3000, totalAfter: TOTAL, calls: 1, held: TOTAL },
    { name: 'draws on a raised total at once', afterMs: 100, totalAfter: TOTAL + 50, calls: 1, held: TOTAL + 50 },
    { name: 'enters a lowered total at once', afterMs: 100, totalAfter: TOTAL - 50, calls: 1, held: TOTAL }
  ]
  for (const { name, afterMs, totalAfter, calls, held } of usedUpCases) {
    it(name, async () => {
      const store = new stores.OnePageStore()
      const clock = new stores.StepClock()
      const own = { tokens: 0 }
      const agreement = { version: 1, totals: { depot: TOTAL } }
      const pages = createPages(store, clock, 'gateway-1', own, () => agreement)
      await pages.ask(new Map([['depot', TOTAL]]))
      if (totalAfter !== TOTAL) Object.assign(agreement, { version: 2, totals: { depot: totalAfter } })
      clock.time += afterMs
      const before = store.calls
      await pages.ask(new Map([['depot', 100]]))
      expect(store.calls - before).to.equal(calls)
      expect(own.tokens).to.equal(held)
      expect((store.page?.value as decisions.tokenPage.TokenPage).version).to.equal(agreement.version)
    })
  }

  it('never lets routers hold more together than the page says, whichever answers are lost or late', async () => {
    const fate = fastCheck.constantFrom<stores.Fate>('done', 'done', 'refused', 'lost', 'lost-undone', 'late')
    const step = fastCheck.record({ router: fastCheck.nat(2), tokens: fastCheck.integer({ min: -200, max: 400 }) })
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(fate, { maxLength: 40 }), fastCheck.array(step, { maxLength: 40 }), async (fates, steps) => {
      const store = new stores.OnePageStore([...fates])
      const clock = new stores.StepClock()
      const held = [{ tokens: 0 }, { tokens: 0 }, { tokens: 0 }]
      const pages = held.map((own, index) => createPages(store, clock, `gateway-${index}`, own))
      for (const { router, tokens } of steps) {
        const wanted = tokens < 0 ? Math.max(tokens, -held[router].tokens) : tokens
        if (wanted < 0) held[router].tokens += wanted
        await pages[router].ask(new Map([['depot', wanted]]))
        clock.time += 5000
        const drawn = (store.page?.value as decisions.tokenPage.TokenPage | undefined)?.drawn.depot ?? 0
        expect(held.reduce((sum, own) => sum + own.tokens, 0)).to.be.at.most(drawn)
        expect(drawn).to.be.at.most(TOTAL)
      }
    }), { seed: 20261204, numRuns: 500 })
  })
})
