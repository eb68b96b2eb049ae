// Guards against limits of targets that routers forget or keep for ever, and against permits that add up to more than a target takes.
import * as chai from 'chai'
import * as agreementTypes from '../src/agreement-types.js'
import * as limits from '../src/target-limits.js'

const { expect } = chai

function createLimits (): limits.TargetLimits {
  return new limits.TargetLimits(() => {})
}

describe('limits that targets name', () => {
  const cases: Array<{ name: string, prepare: (known: limits.TargetLimits) => void, expected: number | undefined }> = [
    { name: 'hold from the first answer that names one', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 10) }, expected: 1.5 },
    { name: 'change with a later answer', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 10); known.recordAnswer('t', 0.25, 20, 30) }, expected: 0.25 },
    { name: 'end with an answer that names none', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 10); known.recordAnswer('t', undefined, 20, 30) }, expected: undefined },
    { name: 'do not end with the late answer to a request from before', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 10); known.recordAnswer('t', undefined, 5, 30) }, expected: 1.5 },
    { name: 'are learned from another router', prepare: (known) => { known.merge([{ target: 't', perSecond: 1.5, ageMs: 40 }], 100) }, expected: 1.5 },
    { name: 'end where another router learned it later', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 10); known.merge([{ target: 't', perSecond: -1, ageMs: 40 }], 100) }, expected: undefined },
    { name: 'stay where another router knows only what is older', prepare: (known) => { known.recordAnswer('t', 1.5, 0, 90); known.merge([{ target: 't', perSecond: -1, ageMs: 40 }], 100) }, expected: 1.5 }
  ]
  for (const { name, prepare, expected } of cases) {
    it(name, () => {
      const known = createLimits()
      prepare(known)
      expect(known.limitOf('t')).to.equal(expected)
    })
  }

  it('do not pass on to the next run of a target under the same id', () => {
    const known = createLimits()
    const entry = { id: 't', service: 's', address: '10.0.0.1:1', availabilityZone: 'a', slots: 8, leaving: false, startedAt: 1000 }
    known.recordAnswer(agreementTypes.targetLifetime(entry), 1.5, 0, 10)
    expect(known.limitOf(agreementTypes.targetLifetime(entry))).to.equal(1.5)
    expect(known.limitOf(agreementTypes.targetLifetime({ ...entry, startedAt: 2000 }))).to.equal(undefined)
  })

  it('are reported at once where an answer changes them, and their end for a while', () => {
    const known = createLimits()
    expect(known.recordAnswer('t', 1.5, 0, 10)).to.equal(true)
    expect(known.recordAnswer('t', 1.5, 15, 20)).to.equal(false)
    expect(known.recordAnswer('t', undefined, 25, 30)).to.equal(true)
    expect(known.reports(100)).to.deep.equal([{ target: 't', perSecond: -1, ageMs: 70 }])
    expect(known.reports(20_000)).to.deep.equal([])
  })
})

describe('permits for a target with a limit', () => {
  const rates: Array<{ perSecond: number, share: number, granted: [number, number] }> = [
    { perSecond: 1.5, share: 1, granted: [29, 31] },
    { perSecond: 0.25, share: 1, granted: [4, 6] },
    { perSecond: 12, share: 1, granted: [238, 241] },
    { perSecond: 12, share: 0.5, granted: [118, 121] },
    { perSecond: 0, share: 1, granted: [1, 3] }
  ]
  for (const { perSecond, share, granted: [least, most] } of rates) {
    it(`are granted ${least} to ${most} times in 20 s at ${perSecond} a second, for ${share} of the fleet`, () => {
      const issuer = new limits.PermitIssuer()
      let granted = 0
      for (let now = 0; now <= 20_000; now += 10) granted += issuer.request('t', perSecond, share, now).isGranted ? 1 : 0
      expect(granted).to.be.within(least, most)
    })
  }

  it('do not add up while nobody asks', () => {
    const issuer = new limits.PermitIssuer()
    issuer.request('t', 2, 1, 0)
    const granted = Array.from({ length: 10 }, () => issuer.request('t', 2, 1, 60_000)).filter((permit) => permit.isGranted)
    expect(granted).to.have.length(1)
  })

  it('are granted when the denial said', () => {
    const issuer = new limits.PermitIssuer()
    const { isGranted, retryAfterMs } = issuer.request('t', 0.4, 1, 0)
    expect(isGranted).to.equal(false)
    expect(retryAfterMs).to.equal(2500)
    expect(issuer.request('t', 0.4, 1, retryAfterMs - 1).isGranted).to.equal(false)
    expect(issuer.request('t', 0.4, 1, retryAfterMs).isGranted).to.equal(true)
  })
})
