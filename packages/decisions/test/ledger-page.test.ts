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
  { title: 'grants what was wanted while it fits', earlier: [], ask: ['one', 'alpha', 50], granted: 50 },
  { title: 'stops at the account cap', earlier: [['one', 'alpha', 70]], ask: ['two', 'alpha', 50], granted: 10 },
  { title: 'stops at the budget total', earlier: [['one', 'alpha', 70]], ask: ['two', 'beta', 50], granted: 30 },
  { title: 'grants nothing once the total is drawn', earlier: [['one', 'alpha', 80], ['two', 'beta', 20]], ask: ['one', 'beta', 1], granted: 0 },
  { title: 'grants nothing to an account that is no member', earlier: [], ask: ['one', 'gamma', 5], granted: 0 }
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

  it('takes limits of a higher generation only', () => {
    const page = ledgerPage.withLimits(pageAfter([]), { ...limits, generation: 3, totalTokens: 500 })
    chai.expect(page.limits.totalTokens).to.equal(500)
    chai.expect(ledgerPage.withLimits(page, { ...limits, generation: 2 })).to.equal(page)
  })

  it('grants nothing more when a cap is lowered below what is drawn', () => {
    const page = ledgerPage.withLimits(pageAfter([['one', 'alpha', 70]]), { generation: 2, totalTokens: 100, capTokens: { alpha: 10, beta: 60 } })
    chai.expect(ledgerPage.grant(page, 'two', 'alpha', 5).granted).to.equal(0)
  })

  it('gives back cumulatively, so that repeating changes nothing', () => {
    const once = ledgerPage.giveBack(pageAfter([['one', 'alpha', 50]]), 'one', 'alpha', 20)
    chai.expect(ledgerPage.drawnInTotal(once)).to.equal(30)
    chai.expect(ledgerPage.giveBack(once, 'one', 'alpha', 20)).to.equal(once)
  })

  it('folds an ended incarnation once', () => {
    const page = pageAfter([['one', 'alpha', 50], ['two', 'beta', 10]])
    const folded = ledgerPage.foldIncarnation(page, 'one', { alpha: 30 })
    chai.expect(ledgerPage.drawnInTotal(folded)).to.equal(40)
    chai.expect(ledgerPage.foldIncarnation(folded, 'one', { alpha: 30 })).to.equal(folded)
  })
})
