// Other routers have a newer agreement than this one. Guards against requests that are handled by the old one after the bound although the new one
// changes them, and against the refusal of those that it doesn't change.
import * as chai from 'chai'
import * as agreementChanges from '../src/agreement-changes.js'
import type * as types from '../src/agreement-types.js'
import * as outdated from '../src/outdated-agreement.js'
import * as routeTables from '../src/route-table.js'

const { expect } = chai

const APPLY_MS = 3000

const route: types.Route = {
  name: 'plan', host: 'plans.example', pathPrefix: '/plan/', repetition: 'repeatable', streaming: true, resumable: true, timeoutMs: 5000, objectiveMs: 500, rank: 1, maximumTargets: 2, anonymous: false, shares: [{ service: 'engines', weight: 1 }]
}
const otherRoute: types.Route = { ...route, name: 'orders', pathPrefix: '/orders/', shares: [{ service: 'plain', weight: 1 }] }
const service: types.Service = { name: 'engines', maximumConnections: 200 }
const plainService: types.Service = { name: 'plain', maximumConnections: 200 }
const account: types.Account = { name: 'large', keys: ['key-1', 'key-2'], prepaidTokens: 1000 }
const old: types.Agreement = { version: 7, routes: [route, otherRoute], services: [service, plainService], accounts: [account], limits: { headerBytes: 8192, bodyBytes: 65536, headerTimeoutMs: 1000, idleTimeoutMs: 1000 } }

/** What the router must not handle after the bound: the route `/plan/`, the route `/orders/`, each with `key-1`; everything with `key-2`. */
const cases: Array<[change: string, next: Partial<types.Agreement>, plan: boolean, orders: boolean, secondKey: boolean]> = [
  ['a route for new paths', { routes: [route, otherRoute, { ...route, name: 'later', pathPrefix: '/later/' }] }, false, false, false],
  ['a route with a longer prefix', { routes: [route, otherRoute, { ...route, name: 'later', pathPrefix: '/plan/later/' }] }, true, false, false],
  ['a route that is gone', { routes: [otherRoute] }, true, false, false],
  ['another service for a route', { routes: [{ ...route, shares: [{ service: 'plain', weight: 1 }] }, otherRoute] }, true, false, false],
  ['a shorter timeout', { routes: [{ ...route, timeoutMs: 4000 }, otherRoute] }, true, false, false],
  ['another rank and objective', { routes: [{ ...route, rank: 2, objectiveMs: 900 }, otherRoute] }, false, false, false],
  ['fewer connections for a service', { services: [{ ...service, maximumConnections: 4 }, plainService] }, true, false, false],
  ['a key that is withdrawn', { accounts: [{ ...account, keys: ['key-1'] }] }, false, false, true],
  ['a key of another account', { accounts: [{ ...account, keys: ['key-1'] }, { name: 'small', keys: ['key-2'] }] }, false, false, true],
  ['more tokens', { accounts: [{ ...account, prepaidTokens: 2000 }] }, false, false, false],
  ['fewer tokens', { accounts: [{ ...account, prepaidTokens: 500 }] }, true, true, true],
  ['an end of all keys', { accounts: undefined }, true, true, true],
  ['smaller bodies', { limits: { ...old.limits, bodyBytes: 1024 } }, true, true, true]
]

function changesOf (...agreements: types.Agreement[]): agreementChanges.AgreementChanges {
  const history = new agreementChanges.ChangeHistory()
  const tables = agreements.map((agreement) => new routeTables.RouteTable(agreement))
  tables.slice(1).forEach((table, index) => { history.record(tables[index], table) })
  return history.changes()
}

describe('an agreement in force that is outdated', () => {
  const table = new routeTables.RouteTable(old)

  for (const [change, next, plan, orders, secondKey] of cases) {
    it(`does not handle what ${change} may change`, () => {
      const agreement = new outdated.OutdatedAgreement(APPLY_MS)
      agreement.recordReport(8, 0, changesOf(old, { ...old, version: 8, ...next }), 0)
      const refused = (ofRoute: types.Route | undefined, key?: string): boolean => agreement.isForAll(7, APPLY_MS) || agreement.isFor(table, ofRoute, key, APPLY_MS)
      expect([refused(route, 'key-1'), refused(otherRoute, 'key-1'), refused(otherRoute, 'key-2')]).to.deep.equal([plan, orders, secondKey])
      expect([refused(undefined, 'key-1'), refused(route, 'new-key'), refused(route)], 'what only the new one may allow').to.deep.equal([true, true, true])
    })
  }

  const second = { ...old, version: 8, routes: [route] }
  const third = { ...second, version: 9, accounts: [{ ...account, keys: ['key-1'] }] }
  const steps: Array<[name: string, reports: Array<[version: number, inForceMs: number, changes: agreementChanges.AgreementChanges, at: number]>, now: number, forAll: boolean, orders: boolean, plan: boolean]> = [
    ['handles all before the bound', [[8, 0, changesOf(), 0]], 1900, false, false, false],
    ['handles none after it if the changes are unknown', [[8, 0, changesOf(), 0]], 2100, true, true, true],
    ['counts from when the newer one came into force', [[8, 1500, changesOf(), 0]], 600, true, true, true],
    ['gets the time to fetch it after a cut', [[8, 9000, changesOf(), 0]], 400, false, false, false],
    ['gives a newer one up that cannot be fetched', [[8, 0, changesOf(), 0]], 10_100, false, false, false],
    ['knows the changes of two steps', [[9, 0, changesOf(old, second, third), 0]], 2100, false, true, false],
    ['knows nothing of a step that the other router left out', [[9, 0, changesOf(second, third), 0]], 2100, true, true, true],
    ['trusts the changes of a later one', [[8, 0, changesOf(), 0], [9, 0, changesOf(old, second, third), 1500]], 2100, false, true, false],
    ['does not trust those of an earlier one', [[8, 0, changesOf(old, second), 0], [9, 0, changesOf(second, third), 0]], 2100, true, true, true],
    ['learns the changes from another router', [[8, 0, changesOf(), 0], [8, 0, changesOf(old, second), 100]], 2100, false, true, false]
  ]
  for (const [name, reports, now, forAll, orders, plan] of steps) {
    it(name, () => {
      const agreement = new outdated.OutdatedAgreement(APPLY_MS)
      for (const report of reports) agreement.recordReport(...report)
      expect([agreement.isForAll(7, now), agreement.isFor(table, otherRoute, 'key-1', now), agreement.isFor(table, route, 'key-1', now)]).to.deep.equal([forAll, orders, plan])
    })
  }

  it('does not handle a key on a route for everybody that only the new one may know', () => {
    const open = { ...otherRoute, anonymous: true }
    const withOpen = { ...old, routes: [route, open] }
    const agreement = new outdated.OutdatedAgreement(APPLY_MS)
    agreement.recordReport(8, 0, changesOf(withOpen, { ...withOpen, version: 8 }), 0)
    const isRefused = (key: string | undefined): boolean => agreement.isFor(new routeTables.RouteTable(withOpen), open, key, APPLY_MS)
    expect([isRefused('new-key'), isRefused('key-1'), isRefused(undefined)]).to.deep.equal([true, false, false])
  })

  it('remembers a bounded number of versions and changes', () => {
    const manyRoutes = Array.from({ length: 100 }, (_, index) => ({ ...route, pathPrefix: `/plan-${index}/` }))
    expect(changesOf({ ...old, routes: manyRoutes }, { ...old, version: 8 })).to.deep.equal({ sinceVersions: [], hashes: [] })
    expect(changesOf(...Array.from({ length: 9 }, (_, index) => ({ ...old, version: index }))).sinceVersions).to.deep.equal([4, 5, 6, 7])
  })
})
