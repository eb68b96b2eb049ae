// Guards against old reports that are taken as they are, requests that are lost from the estimate or counted twice as reports age.
import * as chai from 'chai'
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
