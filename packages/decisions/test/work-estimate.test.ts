// Guards against old reports that are taken as they are, requests that are lost from the estimate or counted twice as reports age, and
// targets that all gateways or none of them prefer.
import * as chai from 'chai'
import * as preferredTargets from '../src/preferred-targets.js'
import * as workEstimate from '../src/work-estimate.js'

const { expect } = chai

describe('estimate of other routers\' work', () => {
  const serviceOfTarget = new Map([['t0', 's'], ['t1', 's'], ['t2', 's'], ['t3', 's'], ['u0', 'u']])
  const lifetimes = { residualMs: 1000, readingMs: 100 }
  const cases = [
    { name: 'takes a new report as it is', ageMs: 0, requests: [8, 0], unreadTokens: [400, 0], deviation: 0 },
    { name: 'takes a prompt as read before its request ends', ageMs: 693, requests: [5, 1], unreadTokens: [100, 100], deviation: 1.22 },
    { name: 'spreads what an old report says over the targets', ageMs: 20_000, requests: [2, 2], unreadTokens: [100, 100], deviation: 1.41 }
  ]
  for (const { name, ageMs, requests, unreadTokens, deviation } of cases) {
    it(name, () => {
      const estimate = workEstimate.estimateWork([{ ageMs, work: [{ id: 't0', requests: 8, unreadTokens: 400 }, { id: 'gone', requests: 5, unreadTokens: 0 }] }], serviceOfTarget, () => lifetimes)
      for (const [index, id] of ['t0', 't1'].entries()) {
        expect(estimate.get(id)?.requests).to.be.closeTo(requests[index], 0.01)
        expect(estimate.get(id)?.unreadTokens).to.be.closeTo(unreadTokens[index], 1)
        expect(estimate.get(id)?.requestsDeviation).to.be.closeTo(deviation, 0.01)
      }
      expect(estimate.get('u0')).to.deep.equal({ requests: 0, unreadTokens: 0, requestsDeviation: 0 })
      expect(['t0', 't1', 't2', 't3'].reduce((sum, id) => sum + (estimate.get(id)?.requests ?? 0), 0)).to.be.closeTo(8, 0.001)
    })
  }
})

describe('preferred targets', () => {
  const cases = [
    { gateways: 4, targets: 9, largest: 3 },
    { gateways: 9, targets: 4, largest: 1 },
    { gateways: 1, targets: 5, largest: 5 }
  ]
  for (const { gateways, targets, largest } of cases) {
    it(`deals ${targets} targets out to ${gateways} gateways of a zone`, () => {
      const choosers = Array.from({ length: gateways }, (_value, index) => ({ name: `g${index}`, availabilityZone: 'a' }))
      const entries = Array.from({ length: targets }, (_value, index) => ({ id: `t${index}`, service: 's', address: `10.0.0.${index}:1`, availabilityZone: 'a', slots: 8, leaving: false }))
      const parts = choosers.map((self) => preferredTargets.preferredTargets(self, [...choosers, { name: 'h', availabilityZone: 'b' }], entries))
      expect(new Set(parts.flatMap((part) => [...part])).size).to.equal(targets)
      for (const part of parts) expect(part.size).to.be.within(1, largest)
    })
  }

  it('prefers targets of a zone that has no gateways', () => {
    const entry = { id: 't', service: 's', address: '10.0.0.1:1', availabilityZone: 'b', slots: 8, leaving: false }
    expect([...preferredTargets.preferredTargets({ name: 'g', availabilityZone: 'a' }, [], [entry])]).to.deep.equal(['t'])
  })
})
