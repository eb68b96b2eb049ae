// Guards against heartbeat fields lost or altered by the codec, and against a stray datagram from the network that ends the
// process or passes as a heartbeat: protobuf decodes an empty datagram without an error.
import * as routers from '@acaciaweir/routers'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as dgram from 'node:dgram'
import * as fleets from './fleet.js'

const { expect } = chai

const LOOPBACK = '127.0.0.1'

function heartbeat (peerAddress: string): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host: 'one', incarnation: 'one-1', peerAddress, callerAddress: '', availabilityZone: 'a', leaving: false, ready: true, load: 0.25, storeSilenceMs: 7, processorShare: 0.5, knowledgeAgeMs: 21, storeReach: 3, agreementChanges: { inForceMs: 40, sinceVersions: [1, 2], hashes: [7, 4_294_967_295] } }
  const promptParts = [{ part: 'a1', crashes: [{ target: 'engine-1', ageMs: 30, seenBy: 'two' }], answeredAgeMs: -1, testedAgeMs: 9, failedTests: 1 }]
  const work = [{ id: 'engine-1', requests: 2, unreadTokens: 900 }]
  return { sender, heard: [{ peerAddress: '10.0.0.9:1', ageMs: 40 }], agreementVersion: 3, targetsRevision: 80, targetsEpoch: 2, storeEpoch: 3, pageEpoch: 2, drawnTokens: { depot: 7 }, drawnChange: 5, work, freeTokens: { depot: 12 }, spending: { depot: 4 }, leavingTargets: ['engine-2'], evacuatedZones: ['zone-b'], evacuationsRevision: 81, evacuationsEpoch: 2, promptParts, targetLimits: [{ target: 'engine-3', perSecond: 0.5, ageMs: 12 }], coldTargets: [{ target: 'engine-4', startedAt: 7, remainingMs: 900, ageMs: 30 }], serviceUse: [{ service: 'engines', largest: [{ account: 'depot', rank: 1, inProgress: 3, waiting: 2 }], otherAccounts: 4, otherRequests: 9 }], sequence: 5, asksForAnswer: true }
}

describe('heartbeat socket', () => {
  const heard: routers.gatewayMessages.GatewayHeartbeat[] = []
  const failures: string[] = []
  let socket: routers.heartbeatSocket.HeartbeatSocket
  let address: string

  beforeEach(async () => {
    heard.length = 0
    failures.length = 0
    socket = new routers.heartbeatSocket.HeartbeatSocket({ onHeartbeat: (message) => { heard.push(message) }, onFailure: (_peer, reason) => { failures.push(reason) } })
    const port = await standIns.freePorts.freePort()
    await socket.listen(port, LOOPBACK)
    address = `${LOOPBACK}:${port}`
  })
  afterEach(() => { socket.close() })

  it('receives every field of a heartbeat as sent', async () => {
    socket.send(heartbeat(address), [address])
    await fleets.eventually(() => heard.length === 1)
    expect(heard[0]).to.deep.equal(heartbeat(address))
  })

  it('receives a heartbeat of an earlier version as one that knows nothing of evacuated zones', async () => {
    const { evacuatedZones, evacuationsRevision, evacuationsEpoch, ...earlier } = heartbeat(address)
    socket.send(earlier as routers.gatewayMessages.GatewayHeartbeat, [address])
    await fleets.eventually(() => heard.length === 1)
    expect(heard[0]).to.deep.equal({ ...earlier, evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0 })
  })

  it('receives a heartbeat of an earlier version as one that tells no changes of the agreement', async () => {
    const { sender: { agreementChanges, ...sender }, ...earlier } = heartbeat(address)
    socket.send({ ...earlier, sender }, [address])
    await fleets.eventually(() => heard.length === 1)
    expect(heard[0]).to.deep.equal({ ...earlier, sender: { ...sender, agreementChanges: null } })
  })

  const strayDatagrams: Array<{ name: string, datagram: Buffer }> = [
    { name: 'an empty datagram', datagram: Buffer.alloc(0) },
    { name: 'text', datagram: Buffer.from('hello, is this a resolver?') },
    { name: 'a heartbeat without the address of its sender', datagram: routers.peerDefinition.heartbeatCodec.serialize(heartbeat('')) },
    { name: 'a heartbeat from a port out of range', datagram: routers.peerDefinition.heartbeatCodec.serialize(heartbeat('10.0.0.1:99999')) },
    { name: 'a heartbeat that names port 0', datagram: routers.peerDefinition.heartbeatCodec.serialize(heartbeat('10.0.0.1:0')) },
    { name: 'a truncated heartbeat', datagram: routers.peerDefinition.heartbeatCodec.serialize(heartbeat('10.0.0.1:1')).subarray(0, 30) }
  ]
  for (const { name, datagram } of strayDatagrams) {
    it(`reports ${name} as a failure and not as a heartbeat`, async () => {
      const sender = dgram.createSocket('udp4')
      sender.send(datagram, Number(address.split(':')[1]), LOOPBACK)
      await fleets.eventually(() => failures.length === 1)
      expect(heard).to.deep.equal([])
      sender.close()
    })
  }
})
