// Guards against gateways that ask a keeper again and again, that grant permits for a limit which another gateway keeps, and against less urgent
// requests that take the permits for which more urgent ones wait.
import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as chai from 'chai'
import * as stores from './fake-page-store.js'
import * as targetPermits from '../src/target-permits.js'

const { expect } = chai

const entry = { id: 't', service: 's', address: '10.0.0.1:1', availabilityZone: 'a', slots: 8, leaving: false }

interface Setting {
  clock: stores.ManualClock
  permits: targetPermits.TargetPermits
  asked: number
}

/** Creates the permits of a gateway of four that knows a limit of two a second. The keeper is this gateway if no reply is given. */
function create (reply?: () => routers.gatewayMessages.PermitReply): Setting {
  const clock = new stores.ManualClock()
  const limits = new decisions.targetLimits.TargetLimits(() => {})
  limits.recordAnswer('t', 2, clock.now(), clock.now())
  const setting: Setting = { clock, permits: undefined as unknown as targetPermits.TargetPermits, asked: 0 }
  setting.permits = new targetPermits.TargetPermits({
    clock,
    limits,
    coldTargets: new decisions.coldTargets.ColdTargets(() => undefined, () => {}),
    random: new decisions.random.SeededRandom(1),
    view: { gatewayCount: () => 4, isIntroduced: () => true, knownGatewayCount: () => 4, keeperOf: () => reply === undefined ? undefined : '10.0.0.2:1', reachableShare: () => 1 },
    requestPermit: async () => {
      setting.asked += 1
      if (reply === undefined) throw new Error('not used')
      return reply()
    },
    onOutcome: () => {}
  })
  return setting
}

describe('permits for targets with a limit', () => {
  it('are asked of the keeper, and not again before a denial is over', async () => {
    const setting = create(() => ({ isGranted: false, retryAfterMs: 400 }))
    expect(await setting.permits.acquire(entry)).to.equal(false)
    expect(setting.permits.mayAsk(entry, 0)).to.equal(false)
    expect(setting.permits.expectedWaitMs([entry])).to.equal(400)
    setting.clock.time += 400
    expect(setting.permits.mayAsk(entry, 0)).to.equal(true)
    expect(setting.asked).to.equal(1)
  })

  it('are asked for by one request at a time', async () => {
    const { permits } = create(() => ({ isGranted: true, retryAfterMs: 0 }))
    const first = permits.acquire(entry)
    expect(permits.mayAsk(entry, 0)).to.equal(false)
    expect(await first).to.equal(true)
    expect(permits.mayAsk(entry, 0)).to.equal(true)
  })

  it('are not needed for a target without a limit', async () => {
    const setting = create(() => ({ isGranted: false, retryAfterMs: 400 }))
    expect(await setting.permits.acquire({ ...entry, id: 'other' })).to.equal(true)
    expect(setting.asked).to.equal(0)
  })

  it('are not granted where the keeper does not answer', async () => {
    const { permits } = create(() => { throw new Error('no answer') })
    expect(await permits.acquire(entry)).to.equal(false)
    expect(permits.expectedWaitMs([entry])).to.equal(500)
  })

  it('are denied to others by a gateway that does not keep the limit', () => {
    const { permits } = create(() => ({ isGranted: true, retryAfterMs: 0 }))
    expect(permits.answer({ target: 't', perSecond: 1000, isCold: false }).isGranted).to.equal(false)
  })

  it('go to more urgent requests first', () => {
    const { permits } = create()
    const stopWaiting = permits.startWaiting('s', 1)
    expect(permits.mayAsk(entry, 2)).to.equal(false)
    expect(permits.mayAsk(entry, 1)).to.equal(true)
    stopWaiting()
    expect(permits.mayAsk(entry, 2)).to.equal(true)
  })

  it('take longer to expect the more requests wait for them', () => {
    const { permits } = create()
    for (let count = 0; count < 3; count++) permits.startWaiting('s', 1)
    expect(permits.expectedWaitMs([entry])).to.equal(6000)
    expect(permits.expectedWaitMs([{ ...entry, id: 'other' }])).to.equal(undefined)
  })
})
