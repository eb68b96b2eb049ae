// Guards against drawing more tokens than are prepaid, against pools that hold back tokens which other routers need, and
// against too many routers that write the page. The latter two arise when a budget is almost spent, when an account begins
// to spend at other routers, and when the fleet is large.
import * as chai from 'chai'
import * as tokenHolders from '../src/token-holders.js'
import * as tokenPage from '../src/token-page.js'
import * as tokenPool from '../src/token-pool.js'

const { expect } = chai

function pageWith (total: number, drawn: number): tokenPage.TokenPage {
  return { version: 1, totals: { depot: total }, drawn: { depot: drawn }, changes: {} }
}

describe('token page', () => {
  const changeCases: Array<{ title: string, total: number, drawn: number, requested: number, after: number }> = [
    { title: 'draws the requested tokens if they fit', total: 100, drawn: 10, requested: 20, after: 30 },
    { title: 'limits a draw to the remaining tokens', total: 100, drawn: 90, requested: 20, after: 100 },
    { title: 'draws nothing if the total was lowered below what is drawn', total: 50, drawn: 90, requested: 20, after: 90 },
    { title: 'accepts returned tokens', total: 100, drawn: 90, requested: -20, after: 70 },
    { title: 'limits a return to the drawn tokens', total: 100, drawn: 10, requested: -20, after: 0 }
  ]
  for (const { title, total, drawn, requested, after } of changeCases) {
    it(title, () => {
      const changed = tokenPage.applyChanges(pageWith(total, drawn), 'gateway-1', 4, new Map([['depot', requested]]), {})
      expect(changed.page.drawn.depot).to.equal(after)
      expect(changed.applied.get('depot') ?? 0).to.equal(after - drawn)
      expect(changed.page.changes).to.deep.equal({ 'gateway-1': 4 })
    })
  }

  it('ignores the totals of an older agreement', () => {
    const newer = tokenPage.withTotals(pageWith(100, 0), 5, { depot: 70 })
    expect(tokenPage.withTotals(newer, 4, { depot: 100 }).totals.depot).to.equal(70)
  })
})

describe('token pool', () => {
  const policy: tokenPool.PoolPolicy = { horizonSeconds: 10, maximumPooledShare: 0.5, minimumPooledShare: 0.1, soleMinimumPooledShare: 0.1, pooledShareOfTotal: 0, pooledShareFactorAtEnd: 1 }

  it('refuses a reservation that does not fit, and frees the reserved tokens that were not spent', () => {
    const pool = new tokenPool.TokenPool()
    pool.add('depot', 100)
    expect(pool.reserve('depot', 80)).to.equal(true)
    expect(pool.reserve('depot', 30)).to.equal(false)
    pool.settle('depot', 80, 15, 1)
    expect(pool.freeTokens('depot')).to.equal(85)
  })

  it('removes no more tokens than are free', () => {
    const pool = new tokenPool.TokenPool()
    pool.add('depot', 100)
    pool.reserve('depot', 70)
    expect(pool.withdraw('depot', 50)).to.equal(30)
    expect(pool.freeTokens('depot')).to.equal(0)
  })

  const targetLevelCases: Array<{ title: string, spent: number, remaining: number, elsewhere: number, expected: number }> = [
    { title: 'keeps an even part of the smallest share before the first request', spent: 0, remaining: 1000, elsewhere: 0, expected: 20 },
    { title: 'covers the spending of the horizon', spent: 31, remaining: 1000, elsewhere: 0, expected: 187 },
    { title: 'keeps at most the largest share', spent: 1000, remaining: 1000, elsewhere: 0, expected: 400 },
    { title: 'splits the largest share mostly by spending', spent: 31, remaining: 200, elsewhere: 74, expected: 23 },
    { title: 'keeps at least its part of the smallest share', spent: 31, remaining: 10_000, elsewhere: 0, expected: 800 },
    { title: 'keeps nothing if no tokens are left', spent: 1000, remaining: 0, elsewhere: 0, expected: 0 }
  ]
  for (const { title, spent, remaining, elsewhere, expected } of targetLevelCases) {
    it(title, () => {
      const pool = new tokenPool.TokenPool()
      const remote: tokenPool.RemoteAccountState = { total: 2000, remainingOnPage: remaining, freeElsewhere: 0, spendingElsewhere: elsewhere, holderCount: 5 }
      pool.add('depot', spent)
      if (spent > 0) {
        pool.reserve('depot', spent)
        pool.settle('depot', spent, spent, 1)
      }
      expect(pool.desiredLevel('depot', remote, policy, 1)).to.be.closeTo(expected, 1)
    })
  }

  it('keeps what an almost used up account has left, up to a share of its total', () => {
    const pool = new tokenPool.TokenPool()
    pool.reserve('depot', 0)
    pool.add('depot', 500)
    pool.reserve('depot', 500)
    pool.settle('depot', 500, 500, 1)
    const levelOf = (remainingOnPage: number): number => pool.desiredLevel('depot', { total: 2000, remainingOnPage, freeElsewhere: 0, spendingElsewhere: 0, holderCount: 1 }, { ...policy, pooledShareOfTotal: 0.1 }, 1)
    expect([levelOf(150), levelOf(300), levelOf(600)]).to.deep.equal([150, 200, 300])
  })

  it('keeps an even part when an account begins to spend at other routers, and reduces it later', () => {
    const pool = new tokenPool.TokenPool()
    const remote: tokenPool.RemoteAccountState = { total: 2000, remainingOnPage: 1000, freeElsewhere: 0, spendingElsewhere: 1000, holderCount: 5 }
    pool.desiredLevel('depot', { ...remote, spendingElsewhere: 0 }, policy, 0)
    expect(pool.desiredLevel('depot', remote, policy, 1)).to.equal(100)
    expect(pool.desiredLevel('depot', remote, policy, 100)).to.equal(25)
  })

  it('keeps little of an account that spent at other routers before this router first observed it', () => {
    const pool = new tokenPool.TokenPool()
    expect(pool.desiredLevel('depot', { total: 2000, remainingOnPage: 1000, freeElsewhere: 0, spendingElsewhere: 1000, holderCount: 5 }, policy, 1)).to.equal(25)
  })

  const rebalancingCases: Array<[number, number, boolean]> = [[100, 100, false], [80, 100, false], [60, 100, true], [120, 100, false], [140, 100, true], [0, 0, false], [10, 0, true]]
  for (const [free, targetLevel, expected] of rebalancingCases) {
    it(`${expected ? 'needs' : 'does not need'} rebalancing with ${free} free tokens and a target level of ${targetLevel}`, () => {
      const pool = new tokenPool.TokenPool()
      pool.add('depot', free)
      expect(pool.needsRebalancing('depot', targetLevel)).to.equal(expected)
    })
  }
})

describe('assignment of token holders in a large fleet', () => {
  const accounts = Array.from({ length: 200 }, (_value, index) => `account-${index}`)
  const fleetOf = (size: number, zones: number): tokenHolders.HolderCandidate[] =>
    Array.from({ length: size }, (_value, index) => ({ name: `router-${index}`, availabilityZone: `zone-${index % zones}`, processorShare: index % 2 === 0 ? 1 : 0.3 }))
  const fleetCases: Array<{ title: string, size: number, zones: number, drawing: number, minimumPerZone: number }> = [
    { title: 'selects a few routers, in all zones', size: 70, zones: 3, drawing: 12, minimumPerZone: 4 },
    { title: 'selects as few routers of a fleet four times as large', size: 300, zones: 6, drawing: 12, minimumPerZone: 2 },
    { title: 'selects as few routers if there is only one zone', size: 60, zones: 1, drawing: 12, minimumPerZone: 12 }
  ]
  for (const { title, size, zones, drawing, minimumPerZone } of fleetCases) {
    it(title, () => {
      const fleet = fleetOf(size, zones)
      const selected = tokenHolders.selectDrawingRouters(fleet)
      const used = new Set(accounts.flatMap((account) => tokenHolders.assignTokenRole(account, '', selected).othersToAsk))
      expect(selected.length).to.equal(drawing)
      expect([...used].sort()).to.deep.equal([...selected].sort())
      const countByZone = Array.from({ length: zones }, (_value, zone) => fleet.filter((router) => used.has(router.name) && router.availabilityZone === `zone-${zone}`).length)
      expect(Math.min(...countByZone)).to.be.at.least(minimumPerZone)
    })
  }

  it('selects the routers with the most processor time', () => {
    const fleet = fleetOf(70, 3)
    const weak = new Set(fleet.filter((router) => router.processorShare < 1).map((router) => router.name))
    expect(tokenHolders.selectDrawingRouters(fleet).some((name) => weak.has(name))).to.equal(false)
  })

  it('assigns each account one holder and one standby, the same at all routers', () => {
    const fleet = fleetOf(70, 3)
    for (const account of accounts) {
      const assignments = fleet.map(({ name }) => tokenHolders.assignTokenRole(account, name, tokenHolders.selectDrawingRouters([...fleet].reverse())))
      const withRole = (role: tokenHolders.TokenRole): string[] => fleet.filter((_router, index) => assignments[index].role === role).map(({ name }) => name)
      const [holders, standbys] = [withRole('holder'), withRole('standby')]
      expect([holders.length, standbys.length]).to.deep.equal([1, 1])
      expect(assignments[fleet.findIndex(({ name }) => name === standbys[0])].othersToAsk).to.deep.equal(holders)
      const borrowers = assignments.filter(({ role }) => role === 'borrower')
      expect(borrowers.every(({ othersToAsk }) => othersToAsk.join() === [...holders, ...standbys].join())).to.equal(true)
    }
  })
})
