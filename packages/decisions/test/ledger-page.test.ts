// Guards against granting more tokens than a cap or a total allows, and against counting a repeated update twice.
// Routers repeat a page update when its answer was lost, and limits can be lowered below what is drawn.
import * as chai from 'chai'
import * as ledgerPage from '../src/ledger-page.js'
import type * as types from '../src/ledger-types.js'

const limits: types.BudgetLimits = { generation: 1, totalTokens: 100, capTokens: { alpha: 80, beta: 60 } }

interface GrantCase {
  title: string
  earlier: Array<[incarnation: string, account: string, wanted: number]>
  ask: [incarnation: string, account: string, wanted: number]
  granted: number
}

const grantCases: GrantCase[] = [
  { title: 'grants the requested tokens if they fit', earlier: [], ask: ['one', 'alpha', 50], granted: 50 },
  { title: 'limits a grant to the cap of the account', earlier: [['one', 'alpha', 70]], ask: ['two', 'alpha', 50], granted: 10 },
  { title: 'limits a grant to the total of the budget', earlier: [['one', 'alpha', 70]], ask: ['two', 'beta', 50], granted: 30 },
  { title: 'grants nothing once the total is drawn', earlier: [['one', 'alpha', 80], ['two', 'beta', 20]], ask: ['one', 'beta', 1], granted: 0 },
  { title: 'grants nothing to an account without a cap', earlier: [], ask: ['one', 'gamma', 5], granted: 0 }
]

function pageAfter (steps: GrantCase['earlier']): types.LedgerPage {
  let page = ledgerPage.emptyPage('shared', limits)
  for (const [incarnation, account, wanted] of steps) page = ledgerPage.grant(page, incarnation, account, wanted).page
  return page
}

describe('ledger page', () => {
  for (const example of grantCases) {
    it(example.title, () => {
      const result = ledgerPage.grant(pageAfter(example.earlier), ...example.ask)
      chai.expect(result.granted).to.equal(example.granted)
    })
  }

  it('replaces the limits only by those of a higher generation', () => {
    const page = ledgerPage.withLimits(pageAfter([]), { ...limits, generation: 3, totalTokens: 500 })
    chai.expect(page.limits.totalTokens).to.equal(500)
    chai.expect(ledgerPage.withLimits(page, { ...limits, generation: 2 })).to.equal(page)
  })

  it('grants nothing after a cap was lowered below what is drawn', () => {
    const page = ledgerPage.withLimits(pageAfter([['one', 'alpha', 70]]), { generation: 2, totalTokens: 100, capTokens: { alpha: 10, beta: 60 } })
    chai.expect(ledgerPage.grant(page, 'two', 'alpha', 5).granted).to.equal(0)
  })

  it('returns tokens by a cumulative counter, so that a repeated return changes nothing', () => {
    const once = ledgerPage.recordReturn(pageAfter([['one', 'alpha', 50]]), 'one', 'alpha', 20)
    chai.expect(ledgerPage.totalDrawn(once)).to.equal(30)
    chai.expect(ledgerPage.recordReturn(once, 'one', 'alpha', 20)).to.equal(once)
  })

  it('folds an ended incarnation once; a repetition changes nothing', () => {
    const page = pageAfter([['one', 'alpha', 50], ['two', 'beta', 10]])
    const folded = ledgerPage.foldIncarnation(page, 'one', { alpha: 30 })
    chai.expect(ledgerPage.totalDrawn(folded)).to.equal(40)
    chai.expect(ledgerPage.foldIncarnation(folded, 'one', { alpha: 30 })).to.equal(folded)
  })
})
