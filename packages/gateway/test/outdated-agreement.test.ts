// Another gateway reports a newer agreement that this one cannot fetch. Guards against requests that are handled by an old agreement for as long
// as an overloaded gateway does not get the new one.
import * as routers from '@acaciaweir/routers'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as fleets from './fleet.js'

const { expect } = chai

/** Time after the report of a newer agreement by which requests must no longer be handled by the old one, in milliseconds. */
const CHANGE_BOUND_MS = 2000

describe('a gateway that cannot fetch a newer agreement', () => {
  it('rejects requests until it has it', async () => {
    const fleet = await fleets.TestFleet.start({ gateways: 1, plainTargets: 1 })
    const silentServer = net.createServer(() => {})
    const peerPort = await standIns.freePorts.freePort()
    await new Promise<void>((resolve) => { silentServer.listen(peerPort, '127.0.0.1', resolve) })
    const socket = new routers.heartbeatSocket.HeartbeatSocket({ onHeartbeat: () => {}, onFailure: () => {} })
    await socket.listen(peerPort, '127.0.0.1')
    const report = (version: number, sequence: number): void => { socket.send(heartbeat(`127.0.0.1:${peerPort}`, version, sequence), [fleet.settings[0].peerListen]) }
    let sequence = 0
    const reporting = setInterval(() => { report(fleet.platform.version + 1, sequence++) }, 100)

    expect((await fleet.call(0, '/order/1', {}, 'order')).status).to.equal(200)
    await new Promise<void>((resolve) => { setTimeout(resolve, CHANGE_BOUND_MS) })
    const rejected = await fleet.call(0, '/order/1', {}, 'order')
    expect(rejected.status).to.equal(503)
    expect(Number(rejected.headers['retry-after'])).to.be.greaterThan(0)
    expect(fleet.platform.runs()).to.have.length(1)
    clearInterval(reporting)
    fleet.platform.configure()
    await fleets.eventually(async () => (await fleet.call(0, '/order/1', {}, 'order')).status === 200)
    socket.close()
    silentServer.close()
    fleet.stop()
  })
})

function heartbeat (peerAddress: string, agreementVersion: number, sequence: number): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host: 'ahead', incarnation: 'ahead-1', peerAddress, callerAddress: '127.0.0.1:1', availabilityZone: 'zone-a', leaving: false, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1, knowledgeAgeMs: 0, storeReach: 0 }
  return { sender, heard: [], agreementVersion, targetsRevision: 0, targetsEpoch: 2, storeEpoch: 3, pageEpoch: 2, drawnTokens: { depot: 7 }, drawnChange: 5, work: [], freeTokens: {}, spending: {}, leavingTargets: [], evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0, promptParts: [], targetLimits: [], coldTargets: [], serviceUse: [], sequence, asksForAnswer: false }
}
