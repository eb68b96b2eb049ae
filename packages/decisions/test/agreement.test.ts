// A request has to reach the route with the longest matching path prefix of its own host. The tests guard against a
// shorter prefix or another host that wins, against accounts found by only one of their keys, and against services that
// receive requests although their weight is 0.
import * as chai from 'chai'
import * as routeTable from '../src/route-table.js'
import * as random from '../src/random.js'
import type * as types from '../src/agreement-types.js'

const { expect } = chai

function route (name: string, host: string, pathPrefix: string, shares: types.ServiceShare[] = [{ service: 's', weight: 1 }]): types.Route {
  return { name, host, pathPrefix, shares, repetition: 'repeatable', streaming: false, resumable: false, timeoutMs: 1000, objectiveMs: 100, rank: 1, maximumTargets: 1, anonymous: false }
}

const table = new routeTable.RouteTable({
  version: 3,
  routes: [route('short', 'a.example', '/plan/'), route('long', 'a.example', '/plan/day/'), route('other', 'b.example', '/')],
  services: [],
  accounts: [{ name: 'depot', keys: ['k1', 'k2'] }],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

describe('route table', () => {
  const cases: Array<[string, string, string | undefined]> = [
    ['a.example', '/plan/x', 'short'],
    ['a.example', '/plan/day/x', 'long'],
    ['a.example', '/plan/daytime', 'short'],
    ['a.example', '/plan', undefined],
    ['a.example', '/', undefined],
    ['b.example', '/plan/x', 'other'],
    ['c.example', '/plan/x', undefined]
  ]
  for (const [host, path, expected] of cases) {
    it(`${host}${path} matches ${expected ?? 'no route'}`, () => { expect(table.match(host, path)?.name).to.equal(expected) })
  }

  it('finds an account by any of its keys', () => {
    expect(table.accountOfKey('k2')?.name).to.equal('depot')
    expect(table.accountOfKey('k3')).to.equal(undefined)
  })

  it('picks services in proportion to their weights, and never one with weight 0', () => {
    const split = route('split', 'a.example', '/', [{ service: 'most', weight: 90 }, { service: 'none', weight: 0 }, { service: 'few', weight: 10 }])
    const source = new random.SeededRandom(7)
    const picked = Array.from({ length: 1000 }, () => routeTable.pickService(split, source))
    expect(picked.filter((service) => service === 'most').length).to.be.within(850, 950)
    expect(picked).to.not.include('none')
  })
})
