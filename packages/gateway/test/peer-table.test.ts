import type * as routers from '@acaciaweir/routers'
import * as chai from 'chai'
import * as tables from '../src/peer-table.js'

// Heartbeats are datagrams: they get lost and overtake each other, and other gateways pass on signs of life. A table that confuses
// these reports an outage or a return twice or never, or keeps free tokens that were already handed out.

const { expect } = chai

const SELF = '10.0.0.1:1'
const OTHER = '10.0.0.2:1'

function heartbeat (sequence: number, fields: Partial<routers.gatewayMessages.GatewayHeartbeat> = {}): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host: 'other', incarnation: 'other-1', peerAddress: OTHER, callerAddress: '10.0.0.2:2', availabilityZone: 'a', leaving: false, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1, knowledgeAgeMs: 0, storeReach: 0 }
  return { sender, heard: [], agreementVersion: 1, targetsRevision: 1, targetsEpoch: 2, storeEpoch: 3, pageEpoch: 2, drawnTokens: { depot: 7 }, drawnChange: 5, work: [], freeTokens: {}, spending: {}, leavingTargets: [], evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0, promptParts: [], targetLimits: [], coldTargets: [], serviceUse: [], sequence, asksForAnswer: false, ...fields }
}

describe('PeerTable', () => {
  it('reports once that a gateway fell silent, and once that it is back', () => {
    const table = new tables.PeerTable(SELF)
    expect(table.recordHeartbeat(heartbeat(1), 0)).to.equal(true)
    expect(table.takeNewlySilent(1000)).to.deep.equal([])
    expect(table.takeNewlySilent(5000).map(({ sender, silentMs }) => [sender.peerAddress, silentMs])).to.deep.equal([[OTHER, 5000]])
    expect(table.takeNewlySilent(6000)).to.deep.equal([])
    expect(table.recordHeartbeat(heartbeat(2), 7000)).to.equal(true)
    expect(table.recordHeartbeat(heartbeat(3), 7300)).to.equal(false)
  })

  it('reports a gateway as back even if another gateway passed on its sign of life first', () => {
    const table = new tables.PeerTable(SELF)
    const third = { ...heartbeat(1).sender, host: 'third', peerAddress: '10.0.0.3:1', incarnation: 'third-1' }
    table.recordHeartbeat(heartbeat(1), 0)
    table.takeNewlySilent(5000)
    table.recordHeartbeat(heartbeat(1, { sender: third, heard: [{ peerAddress: OTHER, ageMs: 100 }] }), 6000)
    expect(table.recordHeartbeat(heartbeat(2), 6300)).to.equal(true)
  })

  it('ignores a heartbeat that was overtaken by a later one', () => {
    const table = new tables.PeerTable(SELF)
    table.recordHeartbeat(heartbeat(2, { freeTokens: { depot: 5 } }), 0)
    table.recordHeartbeat(heartbeat(1, { freeTokens: { depot: 900 } }), 10)
    expect(table.liveHeartbeats(20)[0].freeTokens).to.deep.equal({ depot: 5 })
  })

  it('accepts heartbeats of a new incarnation, whose sequence numbers start again', () => {
    const table = new tables.PeerTable(SELF)
    const first = heartbeat(40)
    table.recordHeartbeat(first, 0)
    table.recordHeartbeat(heartbeat(1, { sender: { ...first.sender, incarnation: 'other-2' } }), 10)
    expect(table.liveHeartbeats(20)[0].sender.incarnation).to.equal('other-2')
  })

  it('updates free tokens from the answer to a transfer before the next heartbeat', () => {
    const table = new tables.PeerTable(SELF)
    table.recordHeartbeat(heartbeat(1, { freeTokens: { depot: 900 } }), 0)
    table.updateFreeTokens(OTHER, 'depot', 0)
    expect(table.liveHeartbeats(10)[0].freeTokens).to.deep.equal({ depot: 0 })
  })

  it('introduces itself to each gateway that it has not heard, and gives up addresses that do not answer', () => {
    const table = new tables.PeerTable(SELF)
    for (const port of [10, 11, 12]) table.addAddress(`10.0.0.9:${port}`, 0)
    table.recordHeartbeat(heartbeat(1), 0)
    expect(table.takeUnheard(2)).to.deep.equal(['10.0.0.9:10', '10.0.0.9:11'])
    expect(table.discovered(0)).to.deep.equal({ addresses: 4, heard: 1, live: 1 })
    while (table.takeUnheard(3).length > 0);
    expect(table.discovered(0)).to.deep.equal({ addresses: 1, heard: 1, live: 1 })
  })
})
