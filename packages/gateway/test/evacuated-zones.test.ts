// The operator evacuates a zone by an entry in the store. Guards against requests that still reach the zone's targets: from gateways that
// can't read the entry, that were just restarted, or that a restored store has told less; and against callers that are held where no other
// zone has the service.
import type * as adapter from '@acaciaweir/platform-adapter'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from './fleet.js'

const { expect } = chai
const { StoreFault } = standIns.storeServer

const EVACUATE_MS = 5000

/** Time after which gateways that are in touch must know an evacuation, in milliseconds: far below the bound. */
const SPREAD_MS = 1000

/** Time between two requests of the load, in milliseconds. */
const REQUEST_INTERVAL_MS = 8

async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Starts gateways, and one target each in zone-b and zone-c. */
async function startFleet (gateways: number, evacuateMs?: number): Promise<fleets.TestFleet> {
  const fleet = await fleets.TestFleet.start({ gateways, evacuateMs })
  for (const zone of ['zone-b', 'zone-c']) await fleet.platform.addTarget('orders', `orders-${zone}`, { availabilityZone: zone })
  await fleets.eventually(async () => {
    await load(fleet, 200)
    return arrivalsIn(fleet, 'zone-b') > 0
  })
  return fleet
}

function arrivalsIn (fleet: fleets.TestFleet, zone: string, since = 0): number {
  return fleet.targets.filter(({ options }) => options.availabilityZone === zone).flatMap((target) => target.arrivals).filter((at) => at >= since).length
}

/** Sends requests to the gateways by turns, several at once, and returns the answers. */
async function load (fleet: fleets.TestFleet, milliseconds: number, gateways = fleet.settings.map((_settings, index) => index)): Promise<standIns.callerClient.CallerAnswer[]> {
  const answers: Array<Promise<standIns.callerClient.CallerAnswer>> = []
  const end = performance.now() + milliseconds
  for (let count = 0; performance.now() < end; count++) {
    answers.push(fleet.call(gateways[count % gateways.length], '/stock/1'))
    await pause(REQUEST_INTERVAL_MS)
  }
  return await Promise.all(answers)
}

function statuses (answers: standIns.callerClient.CallerAnswer[]): number[] {
  return [...new Set(answers.map(({ status }) => status))]
}

function evacuate (fleet: fleets.TestFleet, zone: string, value: unknown = {}): void {
  fleet.store.putObject('evacuations', zone, value)
}

/** Ends a gateway as a crash does, and starts another one in its place. */
async function restart (fleet: fleets.TestFleet, index: number, changes: Partial<adapter.settingsFile.FleetSettings> = {}): Promise<void> {
  fleet.gateways[index].stopNow()
  await pause(200)
  await fleet.startGateway(Object.assign(fleet.settings[index], changes))
  await fleet.waitUntilReady(index)
}

describe('an evacuated zone', function () {
  let fleet: fleets.TestFleet

  afterEach(() => { fleet.stop() })

  for (const gateways of [2, 8]) {
    it(`gets no request from ${gateways} gateways in the middle of a burst, and gets some again when it is taken back`, async () => {
      fleet = await startFleet(gateways, EVACUATE_MS)
      const burst = load(fleet, 2500)
      await pause(300)
      evacuate(fleet, 'zone-b')
      const since = performance.now() + SPREAD_MS
      expect(statuses(await burst)).to.deep.equal([200])
      expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
      fleet.store.removeObject('evacuations', 'zone-b')
      const takenBackAt = performance.now()
      await load(fleet, 2000)
      expect(arrivalsIn(fleet, 'zone-b', takenBackAt)).to.be.greaterThan(0)
    })

    it(`gets none from ${gateways} gateways while the store is away, also when one is restarted meanwhile`, async () => {
      fleet = await startFleet(gateways, EVACUATE_MS)
      evacuate(fleet, 'zone-b')
      await pause(SPREAD_MS)
      const since = performance.now()
      fleet.store.fault = StoreFault.busy
      await load(fleet, 500)
      await restart(fleet, 1)
      expect(statuses(await load(fleet, 1500))).to.deep.equal([200])
      expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
    })
  }

  it('gets none from a gateway that can not reach the store', async () => {
    fleet = await startFleet(3, EVACUATE_MS)
    await restart(fleet, 2, { storeAddress: `127.0.0.1:${await standIns.freePorts.freePort()}` })
    evacuate(fleet, 'zone-b')
    await pause(SPREAD_MS)
    const since = performance.now()
    expect(statuses(await load(fleet, 1000, [2]))).to.deep.equal([200])
    expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
  })

  it('gets none when the store comes back from a backup without the entry, which is written again', async () => {
    fleet = await startFleet(2, EVACUATE_MS)
    const backup = fleet.store.backUp()
    evacuate(fleet, 'zone-b')
    await pause(SPREAD_MS)
    const since = performance.now()
    const requests = load(fleet, 8000)
    fleet.store.restore(backup)
    await pause(1500)
    evacuate(fleet, 'zone-b')
    expect(statuses(await requests)).to.deep.equal([200])
    expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
  })

  it('gets none after the bound where a restored store gives out a known revision for the entry', async () => {
    fleet = await startFleet(2, EVACUATE_MS)
    const backup = fleet.store.backUp()
    for (let count = 0; count < 5; count++) fleet.store.putObject('servers', 'unreadable', { count })
    await pause(600)
    fleet.store.fault = StoreFault.busy
    await pause(3000)
    fleet.store.restore(backup)
    evacuate(fleet, 'zone-b')
    for (let count = 0; count < 9; count++) fleet.store.putObject('servers', 'unreadable', { again: count })
    fleet.store.fault = StoreFault.none
    const since = performance.now() + EVACUATE_MS
    await load(fleet, EVACUATE_MS + 1000)
    expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
  })

  it('is used again when the store comes back from a backup without the entry, which is not written again', async () => {
    fleet = await startFleet(2, EVACUATE_MS)
    const backup = fleet.store.backUp()
    evacuate(fleet, 'zone-b')
    await pause(SPREAD_MS)
    const since = performance.now()
    await load(fleet, 500)
    expect(arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
    fleet.store.restore(backup)
    await fleets.eventually(async () => {
      await load(fleet, 200)
      return arrivalsIn(fleet, 'zone-b', since) > 0
    })
  })

  it('is refused at once with a time to return, where no other zone has the service', async () => {
    fleet = await startFleet(2, EVACUATE_MS)
    evacuate(fleet, 'zone-c')
    evacuate(fleet, 'zone-b')
    await pause(SPREAD_MS)
    const since = performance.now()
    const answer = await fleet.call(0, '/stock/1')
    expect(performance.now() - since).to.be.below(300)
    expect([answer.status, answer.body]).to.deep.equal([503, JSON.stringify({ title: 'all targets are in evacuated zones' })])
    expect(Number(answer.headers['retry-after'])).to.be.within(0.5, 3)
    expect(arrivalsIn(fleet, 'zone-c', since) + arrivalsIn(fleet, 'zone-b', since)).to.equal(0)
  })

  const entries: Array<{ name: string, zone: string, value: unknown, reachesZone: boolean }> = [
    { name: 'gets none whatever the entry holds: null', zone: 'zone-b', value: null, reachesZone: false },
    { name: 'gets none whatever the entry holds: text', zone: 'zone-b', value: '\u0000{', reachesZone: false },
    { name: 'gets none whatever the entry holds: a list', zone: 'zone-b', value: [[], false], reachesZone: false },
    { name: 'is told from a name that is no zone', zone: '__proto__/ %00\n', value: {}, reachesZone: true }
  ]
  for (const { name, zone, value, reachesZone } of entries) {
    it(name, async () => {
      fleet = await startFleet(2, EVACUATE_MS)
      evacuate(fleet, zone, value)
      await pause(SPREAD_MS)
      const since = performance.now()
      expect(statuses(await load(fleet, 500))).to.deep.equal([200])
      expect(arrivalsIn(fleet, 'zone-b', since) > 0).to.equal(reachesZone)
    })
  }

  it('is not watched where the settings have no bound for evacuations', async () => {
    fleet = await startFleet(2)
    const listed = fleet.store.counts.list
    evacuate(fleet, 'zone-b')
    await pause(SPREAD_MS)
    const since = performance.now()
    await load(fleet, 500)
    expect(arrivalsIn(fleet, 'zone-b', since)).to.be.greaterThan(0)
    expect(fleet.store.counts.list).to.equal(listed)
  })
})
