// Load patterns that overrun targets which have just started, in virtual time: a zone that comes back, a release, a burst in that moment, a
// keeper that dies, and gateways that can't reach the keeper. Guards against more requests to a cold target than it takes in any second.
import * as chai from 'chai'
import * as coldFleets from './cold-fleet.js'

const { expect } = chai

const COLD_START = { milliseconds: 4000, perSecond: 16 }

/** Most requests to a cold target in one second: one and a half times its rate, and five more. */
const ALLOWED_IN_A_SECOND = 29

const WARM_TARGETS = 2
const OFFERED_PER_SECOND = 120

interface Case {
  name: string
  perSecond?: number
  warmTargets?: number
  chill: (fleet: coldFleets.ColdFleet) => Promise<void>
  disturb?: (fleet: coldFleets.ColdFleet, gateways: number) => Promise<void>
}

const cases: Case[] = [
  { name: 'a zone comes back', chill: addTargets(3, 0) },
  { name: 'a release makes targets cold one after the other', chill: addTargets(5, 600) },
  { name: 'a burst comes as a zone is back', perSecond: 500, chill: addTargets(3, 0) },
  { name: 'all targets are cold', perSecond: 300, warmTargets: 0, chill: addTargets(2, 0) },
  { name: 'the keeper dies', perSecond: 300, chill: addTargets(2, 0), disturb: killKeeper },
  { name: 'half of the gateways reach no others', perSecond: 300, chill: addTargets(2, 0), disturb: async (fleet, gateways) => { for (let index = 0; index < gateways / 2; index++) fleet.unreachable.add(index) } },
  { name: 'no gateway reaches another', perSecond: 300, chill: addTargets(2, 0), disturb: async (fleet, gateways) => { for (let index = 0; index < gateways; index++) fleet.unreachable.add(index) } }
]

describe('cold targets under load', () => {
  for (const gateways of [2, 8, 16, 91]) {
    for (const { name, perSecond = OFFERED_PER_SECOND, warmTargets = WARM_TARGETS, chill, disturb } of cases) {
      it(`get no more than they take from ${gateways} gateways: ${name}`, async () => {
        const fleet = new coldFleets.ColdFleet(gateways, COLD_START)
        fleet.register(Array.from({ length: warmTargets }, (_value, index) => target(`warm-${index}`, 0)))
        await Promise.all([chill(fleet), disturb?.(fleet, gateways), fleet.offer(perSecond, COLD_START.milliseconds)])
        for (const id of fleet.arrivals.keys()) expect(fleet.mostInASecond(id), `requests to ${id} in a second`).to.be.at.most(ALLOWED_IN_A_SECOND)
        expect(fleet.arrivals.size).to.be.above(0)
      })
    }
  }
})

function target (id: string, coldMs: number): Parameters<coldFleets.ColdFleet['register']>[0][0] {
  return { id, service: 'engines', address: `10.0.0.1:${id}`, availabilityZone: 'zone-a', slots: 64, leaving: false, startedAt: 1, coldMs }
}

function addTargets (count: number, intervalMs: number): (fleet: coldFleets.ColdFleet) => Promise<void> {
  return async (fleet) => {
    for (let index = 0; index < count; index++) {
      fleet.register([target(`cold-${index}`, COLD_START.milliseconds)])
      if (intervalMs > 0) await fleet.clock.sleep(intervalMs)
    }
  }
}

async function killKeeper (fleet: coldFleets.ColdFleet): Promise<void> {
  await fleet.clock.sleep(700)
  fleet.diedAt.set(fleet.keeper('cold-0@1'), fleet.clock.now())
}
