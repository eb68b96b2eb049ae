// Guards against several gateways that keep the rate of one target at once: those that leave together, and one that has restarted and hears nobody.
import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as chai from 'chai'
import * as fleetViews from '../src/fleet-view.js'
import * as peerTables from '../src/peer-table.js'

const { expect } = chai

const HOSTS = ['a', 'b', 'c', 'd']
const TARGETS = Array.from({ length: 40 }, (_value, index) => `target-${index}`)

function heartbeat (host: string, leaving: boolean): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host, incarnation: `${host}-1`, peerAddress: `${host}:1`, callerAddress: `${host}:2`, availabilityZone: 'z', leaving, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1, knowledgeAgeMs: 0, storeReach: 0 }
  return { sender, heard: [], agreementVersion: 1, targetsRevision: 1, targetsEpoch: 2, storeEpoch: 3, pageEpoch: 2, drawnTokens: {}, drawnChange: 0, work: [], freeTokens: {}, spending: {}, leavingTargets: [], evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0, promptParts: [], targetLimits: [], coldTargets: [], serviceUse: [], sequence: 1, asksForAnswer: false }
}

function viewOf (host: string, heard: readonly string[], leaving: readonly string[], addresses: readonly string[] = []): fleetViews.FleetView {
  const peers = new peerTables.PeerTable(`${host}:1`)
  for (const address of addresses) peers.addAddress(address, 0)
  for (const other of heard) peers.recordHeartbeat(heartbeat(other, leaving.includes(other)), 0)
  const clock = { now: () => 0, wallNow: () => 0, sleep: async () => {} }
  return new fleetViews.FleetView({ name: host, availabilityZone: 'z', processorShare: 1 }, peers, clock, new decisions.storeReach.StoreReach(), () => leaving.includes(host))
}

describe('FleetView', () => {
  for (const leaving of [[], ['a'], ['a', 'b'], ['a', 'b', 'c'], HOSTS]) {
    it(`has one keeper for each target while ${leaving.length} of four gateways leave, and one that stays where there is one`, () => {
      const views = HOSTS.map((host) => ({ host, view: viewOf(host, HOSTS.filter((other) => other !== host), leaving) }))
      for (const target of TARGETS) {
        const keepers = views.filter(({ view }) => view.keeperOf(target) === undefined).map(({ host }) => host)
        expect(keepers, target).to.have.length(1)
        if (leaving.length < HOSTS.length) expect(leaving).not.to.include(keepers[0])
      }
    })
  }

  const shares: Array<{ name: string, heard: string[], leaving: string[], addresses: string[], cold: number, named: number, known: number }> = [
    { name: 'a gateway without others has the whole rate', heard: [], leaving: [], addresses: [], cold: 1, named: 1, known: 1 },
    { name: 'a gateway that hears all has the whole rate', heard: ['b', 'c', 'd'], leaving: [], addresses: ['b:1', 'c:1', 'd:1'], cold: 1, named: 1, known: 4 },
    { name: 'a gateway that hears all but one that leaves has the whole rate', heard: ['b', 'c', 'd'], leaving: ['d'], addresses: [], cold: 1, named: 1, known: 4 },
    { name: 'a gateway that hears nobody has its own part of a cold rate', heard: [], leaving: [], addresses: ['b:1', 'c:1', 'd:1'], cold: 1 / 4, named: 1, known: 4 },
    { name: 'a gateway that hears one of three has two parts of a cold rate', heard: ['b'], leaving: [], addresses: ['b:1', 'c:1', 'd:1'], cold: 2 / 4, named: 1, known: 4 }
  ]
  for (const { name, heard, leaving, addresses, cold, named, known } of shares) {
    it(name, () => {
      const view = viewOf('a', heard, leaving, addresses)
      expect(view.reachableShare(true)).to.equal(cold)
      expect(view.reachableShare(false)).to.equal(named)
      expect(view.knownGatewayCount()).to.equal(known)
    })
  }
})
