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
      const changed = tokenPage.applyChanges(pageWith(total, drawn), 'gateway-1', 4, new Map([['depot', requested]]))
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
  const policy: tokenPool.PoolPolicy = { horizonSeconds: 10, maximumPooledShare: 0.5, minimumPooledShare: 0.1 }

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
      const remote: tokenPool.RemoteAccountState = { remainingOnPage: remaining, freeElsewhere: 0, spendingElsewhere: elsewhere, holderCount: 5 }
      pool.add('depot', spent)
      if (spent > 0) {
        pool.reserve('depot', spent)
        pool.settle('depot', spent, spent, 1)
      }
      expect(pool.desiredLevel('depot', remote, policy, 1)).to.be.closeTo(expected, 1)
    })
  }

  it('keeps an even part when an account begins to spend at other routers, and reduces it later', () => {
    const pool = new tokenPool.TokenPool()
    const remote: tokenPool.RemoteAccountState = { remainingOnPage: 1000, freeElsewhere: 0, spendingElsewhere: 1000, holderCount: 5 }
    pool.desiredLevel('depot', { ...remote, spendingElsewhere: 0 }, policy, 0)
    expect(pool.desiredLevel('depot', remote, policy, 1)).to.equal(100)
    expect(pool.desiredLevel('depot', remote, policy, 100)).to.equal(25)
  })

  it('keeps little of an account that spent at other routers before this router first observed it', () => {
    const pool = new tokenPool.TokenPool()
    expect(pool.desiredLevel('depot', { remainingOnPage: 1000, freeElsewhere: 0, spendingElsewhere: 1000, holderCount: 5 }, policy, 1)).to.equal(25)
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

describe('selection of token holders', () => {
  const accounts = Array.from({ length: 40 }, (_value, index) => `account-${index}`)
  const fleetOf = (size: number, zones: number): tokenHolders.HolderCandidate[] =>
    Array.from({ length: size }, (_value, index) => ({ name: `router-${index}`, availabilityZone: `zone-${index % zones}`, processorShare: index % 2 === 0 ? 1 : 0.3 }))
  const fleetCases: Array<{ title: string, size: number, zones: number, holders: number, drawing: number, minimumPerZone: number }> = [
    { title: 'selects all routers of a small fleet', size: 12, zones: 3, holders: 12, drawing: 12, minimumPerZone: 4 },
    { title: 'selects a few routers of a large fleet, in all zones', size: 70, zones: 3, holders: 6, drawing: 24, minimumPerZone: 8 },
    { title: 'selects as few routers of a fleet four times as large', size: 300, zones: 6, holders: 6, drawing: 24, minimumPerZone: 4 },
    { title: 'selects as few routers if there is only one zone', size: 60, zones: 1, holders: 6, drawing: 24, minimumPerZone: 24 }
  ]
  for (const { title, size, zones, holders, drawing, minimumPerZone } of fleetCases) {
    it(title, () => {
      const fleet = fleetOf(size, zones)
      const chosen = accounts.map((account) => tokenHolders.selectTokenHolders(account, 'router-0', fleet))
      expect(chosen.every(({ names, includesAllRouters }) => names.length === holders && includesAllRouters === (holders === size))).to.equal(true)
      const drawingRouters = fleet.filter((router) => chosen.some(({ names }) => names.includes(router.name)))
      const countByZone = Array.from({ length: zones }, (_value, zone) => drawingRouters.filter((router) => router.availabilityZone === `zone-${zone}`).length)
      expect(drawingRouters.length).to.equal(drawing)
      expect(Math.min(...countByZone)).to.be.at.least(minimumPerZone)
    })
  }

  it('selects the routers with the most processor time in a large fleet', () => {
    const fleet = fleetOf(70, 3)
    const weak = new Set(fleet.filter((router) => router.processorShare < 1).map((router) => router.name))
    for (const account of accounts) expect(tokenHolders.selectTokenHolders(account, 'router-0', fleet).names.some((name) => weak.has(name))).to.equal(false)
  })

  it('selects the same holders at all routers, in different orders', () => {
    const fleet = fleetOf(70, 3)
    const selections = fleet.map((router) => tokenHolders.selectTokenHolders('depot', router.name, [...fleet].reverse()).names)
    expect(new Set(selections.map((names) => [...names].sort().join())).size).to.equal(1)
    expect(new Set(selections.map((names) => names[0])).size).to.equal(6)
  })
})
