// Guards against a gateway that has restarted, hears nobody, and grants the whole rate of a cold target beside the real keeper.
import * as decisions from '@acaciaweir/decisions'
import * as chai from 'chai'
import * as stores from './fake-page-store.js'
import * as targetPermits from '../src/target-permits.js'

const { expect } = chai

const PER_SECOND = 16
const SECONDS = 60
const entry = { id: 't', service: 's', address: '10.0.0.1:1', availabilityZone: 'a', slots: 8, leaving: false, startedAt: 1, coldMs: 100_000 }

describe('permits for cold targets of a gateway that hears no other', () => {
  const cases: Array<{ name: string, unheard: number, least: number, most: number }> = [
    { name: 'and knows addresses are its own share', unheard: 3, least: 0.3, most: 0.5 },
    { name: 'and is alone are those of the keeper', unheard: 0, least: 6, most: 7 }
  ]
  for (const { name, unheard, least, most } of cases) {
    it(name, async () => {
      const clock = new stores.ManualClock()
      const coldTargets = new decisions.coldTargets.ColdTargets(() => ({ milliseconds: 100_000, perSecond: PER_SECOND }), () => {})
      coldTargets.recordEntry(entry, true, clock.now())
      const permits = new targetPermits.TargetPermits({
        clock,
        limits: new decisions.targetLimits.TargetLimits(() => {}),
        coldTargets,
        random: new decisions.random.SeededRandom(1),
        view: { gatewayCount: () => 1, isIntroduced: () => true, knownGatewayCount: () => 1 + unheard, keeperOf: () => undefined, reachableShare: (countsUnheard) => countsUnheard ? 1 / (1 + unheard) : 1 },
        requestPermit: async () => { throw new Error('not used') },
        onOutcome: () => {}
      })
      let granted = 0
      for (const end = clock.time + SECONDS * 1000; clock.time < end; clock.time += 10) {
        if (permits.mayAsk(entry, 0) && await permits.acquire(entry)) granted += 1
      }
      expect(granted / SECONDS).to.be.within(least, most)
    })
  }
})
