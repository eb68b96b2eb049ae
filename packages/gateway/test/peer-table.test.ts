import type * as routers from '@acaciaweir/routers'
import * as chai from 'chai'
import * as tables from '../src/peer-table.js'

const { expect } = chai

const SELF = '10.0.0.1:1'
const OTHER = '10.0.0.2:1'

function heartbeat (sequence: number, fields: Partial<routers.gatewayMessages.GatewayHeartbeat> = {}): routers.gatewayMessages.GatewayHeartbeat {
  const sender = { host: 'other', incarnation: 'other-1', peerAddress: OTHER, callerAddress: '10.0.0.2:2', availabilityZone: 'a', leaving: false, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1 }
  return { sender, heard: [], agreementVersion: 1, targetsRevision: 1, work: [], freeTokens: {}, spending: {}, leavingTargets: [], sequence, asksForAnswer: false, ...fields }
}

describe('the table of gateways', () => {
  it('tells once that a gateway fell silent, and that it is back', () => {
    const table = new tables.PeerTable(SELF)
    expect(table.hear(heartbeat(1), 0)).to.equal(true)
    expect(table.takeSilent(1000)).to.deep.equal([])
    expect(table.takeSilent(5000).map(({ sender, silentMs }) => [sender.peerAddress, silentMs])).to.deep.equal([[OTHER, 5000]])
    expect(table.takeSilent(6000)).to.deep.equal([])
    expect(table.hear(heartbeat(2), 7000)).to.equal(true)
    expect(table.hear(heartbeat(3), 7300)).to.equal(false)
  })

  it('tells that a gateway is back which others had heard meanwhile', () => {
    const table = new tables.PeerTable(SELF)
    const third = { ...heartbeat(1).sender, host: 'third', peerAddress: '10.0.0.3:1', incarnation: 'third-1' }
    table.hear(heartbeat(1), 0)
    table.takeSilent(5000)
    table.hear(heartbeat(1, { sender: third, heard: [{ peerAddress: OTHER, ageMs: 100 }] }), 6000)
    expect(table.hear(heartbeat(2), 6300)).to.equal(true)
  })

  it('takes no heartbeat that was overtaken by a later one', () => {
    const table = new tables.PeerTable(SELF)
    table.hear(heartbeat(2, { freeTokens: { depot: 5 } }), 0)
    table.hear(heartbeat(1, { freeTokens: { depot: 900 } }), 10)
    expect(table.live(20)[0].freeTokens).to.deep.equal({ depot: 5 })
  })

  it('takes heartbeats of a new incarnation, whose numbers begin anew', () => {
    const table = new tables.PeerTable(SELF)
    const first = heartbeat(40)
    table.hear(first, 0)
    table.hear(heartbeat(1, { sender: { ...first.sender, incarnation: 'other-2' } }), 10)
    expect(table.live(20)[0].sender.incarnation).to.equal('other-2')
  })

  it('knows what a gateway holds from its answer to a transfer, before its next heartbeat', () => {
    const table = new tables.PeerTable(SELF)
    table.hear(heartbeat(1, { freeTokens: { depot: 900 } }), 0)
    table.noteFreeTokens(OTHER, 'depot', 0)
    expect(table.live(10)[0].freeTokens).to.deep.equal({ depot: 0 })
  })
})
