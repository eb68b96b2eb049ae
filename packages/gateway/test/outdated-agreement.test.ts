// Another gateway reports a newer agreement that this one cannot fetch. Guards against requests that are handled by an old agreement for as long
// as an overloaded gateway does not get the new one, against the refusal of those that the new one does not change, and against answers so large
// that a gateway which many ask for its agreement takes seconds to send them.
import type * as decisions from '@acaciaweir/decisions'
import * as routers from '@acaciaweir/routers'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as packers from '../src/agreement-packer.js'
import * as fleets from './fleet.js'

const { expect } = chai

/** Time after the report of a newer agreement by which requests must no longer be handled by the old one, in milliseconds. */
const CHANGE_BOUND_MS = 2000

describe('a gateway that cannot fetch a newer agreement', () => {
  /** Runs with a gateway that another one tells of a newer agreement, but doesn't send it. */
  async function withReports (changes: (fleet: fleets.TestFleet) => routers.gatewayMessages.AgreementChangesMessage | undefined, run: (fleet: fleets.TestFleet, endReports: () => void) => Promise<void>): Promise<void> {
    const fleet = await fleets.TestFleet.start({ gateways: 1, plainTargets: 1 })
    const silentServer = net.createServer(() => {})
    const peerPort = await standIns.freePorts.freePort()
    await new Promise<void>((resolve) => { silentServer.listen(peerPort, '127.0.0.1', resolve) })
    const socket = new routers.heartbeatSocket.HeartbeatSocket({ onHeartbeat: () => {}, onFailure: () => {} })
    await socket.listen(peerPort, '127.0.0.1')
    const report = (version: number, sequence: number): void => { socket.send(heartbeat(`127.0.0.1:${peerPort}`, version, sequence, changes(fleet)), [fleet.settings[0].peerListen]) }
    let sequence = 0
    const reporting = setInterval(() => { report(fleet.platform.version + 1, sequence++) }, 100)
    try {
      expect((await fleet.call(0, '/order/1', {}, 'order')).status).to.equal(200)
      await new Promise<void>((resolve) => { setTimeout(resolve, CHANGE_BOUND_MS) })
      await run(fleet, () => { clearInterval(reporting) })
    } finally {
      clearInterval(reporting)
      socket.close()
      silentServer.close()
      fleet.stop()
    }
  }

  it('rejects requests until it has it', async () => {
    await withReports(() => undefined, async (fleet, endReports) => {
      const rejected = await fleet.call(0, '/order/1', {}, 'order')
      expect(rejected.status).to.equal(503)
      expect(Number(rejected.headers['retry-after'])).to.be.greaterThan(0)
      expect(fleet.platform.runs()).to.have.length(1)
      endReports()
      fleet.platform.configure()
      await fleets.eventually(async () => (await fleet.call(0, '/order/1', {}, 'order')).status === 200)
    })
  })

  it('serves what the newer one does not change, and rejects what only that may allow', async () => {
    await withReports((fleet) => ({ inForceMs: 0, sinceVersions: [fleet.platform.version], hashes: [1, 2] }), async (fleet) => {
      expect((await fleet.call(0, '/order/1', {}, 'order')).status).to.equal(200)
      expect((await fleet.call(0, '/no-such-route/1', {}, 'order')).status).to.equal(503)
    })
  })
})

describe('an agreement for another gateway', () => {
  for (const readsCompressed of [true, false]) {
    it(`is sent ${readsCompressed ? 'compressed' : 'as it is to one of an earlier version'}`, async () => {
      const fleet = await fleets.TestFleet.start({ gateways: 1, plainTargets: 1 })
      const client = new routers.peerClient.PeerClient<routers.gatewayMessages.GatewayCalls>(routers.peerDefinition.gatewaysService)
      const state = await client.call(fleet.settings[0].peerListen, 'FetchState', { agreementVersion: 0, targetsRevision: 0, targetsEpoch: 0, readsCompressed }, 2000)
      expect([state.compressedAgreement.length > 0, state.agreement !== '']).to.deep.equal([readsCompressed, !readsCompressed])
      const agreement = readsCompressed ? packers.unpackAgreement(state.compressedAgreement) : JSON.parse(state.agreement)
      expect(agreement.version).to.equal(fleet.platform.version)
      client.close()
      fleet.stop()
    })
  }

  it('of 1,500 routes has few bytes', () => {
    const route = (index: number): decisions.agreementTypes.Route => ({ name: `r-${index}`, host: `h-${index % 40}.example`, pathPrefix: `/area/${index}/`, repetition: 'repeatable', streaming: false, resumable: false, timeoutMs: 5000, objectiveMs: 500, rank: 1, maximumTargets: 2, anonymous: false, shares: [{ service: `s-${index % 7}`, weight: 1 }] })
    const agreement = { version: 1, routes: Array.from({ length: 1500 }, (_, index) => route(index)), services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
    const bytes = new packers.AgreementPacker().pack(agreement)
    expect(bytes.length).to.be.below(JSON.stringify(agreement).length / 8)
    expect(packers.unpackAgreement(bytes)).to.deep.equal(agreement)
    expect(() => packers.unpackAgreement(bytes.subarray(0, 100))).to.throw()
  })
})

function heartbeat (peerAddress: string, agreementVersion: number, sequence: number, agreementChanges?: routers.gatewayMessages.AgreementChangesMessage): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host: 'ahead', incarnation: 'ahead-1', peerAddress, callerAddress: '127.0.0.1:1', availabilityZone: 'zone-a', leaving: false, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1, knowledgeAgeMs: 0, storeReach: 0, agreementChanges }
  return { sender, heard: [], agreementVersion, targetsRevision: 0, targetsEpoch: 0, storeEpoch: 0, pageEpoch: 0, drawnTokens: {}, drawnChange: 0, work: [], freeTokens: {}, spending: {}, leavingTargets: [], evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0, promptParts: [], targetLimits: [], coldTargets: [], serviceUse: [], sequence, asksForAnswer: false }
}
