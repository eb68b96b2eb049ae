// Guards against an account that takes the whole room of a full service, a less urgent kind that delays a more urgent one, waits and refusals
// where there is room or one account only, and requests that are held although they can't be served in time.
import * as chai from 'chai'
import * as serviceRoom from '../src/service-room.js'

const { expect } = chai

const SLOT_MS = 40
const URGENT = 0
const BULK = 2

interface Use { account: string, rank?: number, inProgress: number }

/** Returns a room of a service with 16 slots whose requests take `SLOT_MS`, with requests in progress here and, as reported, elsewhere. */
function roomWith (own: Use[], reported: Use[] = []): serviceRoom.ServiceRoom {
  const room = new serviceRoom.ServiceRoom()
  for (let count = 0; count < 400; count++) room.recordTime('engines', SLOT_MS, { slots: 16, requests: 1 })
  for (const { account, rank = URGENT, inProgress } of own) {
    for (let count = 0; count < inProgress; count++) room.start('engines', account, rank)
  }
  room.setReports([{ ageMs: 0, uses: [{ service: 'engines', largest: reported.map(({ rank = URGENT, ...use }) => ({ rank, waiting: 0, ...use })), otherAccounts: 0, otherRequests: 0 }] }])
  return room
}

function judge (room: serviceRoom.ServiceRoom, requests: number, fields: Partial<serviceRoom.RoomRequest> = {}, jitter = 0): serviceRoom.RoomVerdict {
  return room.judge({ service: 'engines', account: 'busy', rank: URGENT, objectiveMs: 160, timeLeftMs: 800, servingMs: SLOT_MS, ...fields }, { slots: 16, requests }, 0, jitter)
}

describe('ServiceRoom', () => {
  // An objective of 160 ms lets 20 ms of waiting at the targets pass, half the time in a slot: 24 requests.
  const cases: Array<{ name: string, own: Use[], reported?: Use[], requests: number, fields?: Partial<serviceRoom.RoomRequest>, verdict: serviceRoom.RoomVerdict['kind'] }> = [
    { name: 'lets an account have all the room that others leave', own: [{ account: 'busy', inProgress: 20 }, { account: 'calm', inProgress: 2 }], requests: 22, verdict: 'go' },
    { name: 'lets a single account fill the queues of the targets, as without it', own: [{ account: 'busy', inProgress: 60 }], requests: 60, verdict: 'go' },
    { name: 'refuses an account that has far more than its part of a full service', own: [{ account: 'busy', inProgress: 40 }, { account: 'calm', inProgress: 2 }], requests: 42, verdict: 'refuse' },
    { name: 'lets an account that has little of a full service go', own: [{ account: 'busy', inProgress: 30 }, { account: 'calm', inProgress: 2 }], requests: 32, fields: { account: 'calm' }, verdict: 'go' },
    { name: 'lets an account wait that has a little more than its part', own: [{ account: 'busy', inProgress: 21 }, { account: 'calm', inProgress: 4 }], requests: 25, verdict: 'wait' },
    { name: 'refuses at once what could not be served in the time left', own: [{ account: 'busy', inProgress: 21 }, { account: 'calm', inProgress: 4 }], requests: 25, fields: { timeLeftMs: SLOT_MS }, verdict: 'refuse' },
    { name: 'counts what other routers have of the account', own: [{ account: 'calm', inProgress: 2 }], reported: [{ account: 'busy', inProgress: 40 }], requests: 42, verdict: 'refuse' },
    { name: 'lets an urgent request pass much work that is less urgent', own: [{ account: 'busy', inProgress: 6 }, { account: 'calm', rank: BULK, inProgress: 40 }], requests: 46, verdict: 'go' },
    { name: 'holds less urgent work back for urgent work of others', own: [{ account: 'calm', inProgress: 20 }, { account: 'busy', rank: BULK, inProgress: 24 }], requests: 44, fields: { rank: BULK }, verdict: 'refuse' },
    { name: 'lets all requests of routes without an objective go', own: [{ account: 'busy', inProgress: 30 }, { account: 'calm', inProgress: 2 }], requests: 32, fields: { objectiveMs: 0 }, verdict: 'go' }
  ]
  for (const { name, own, reported, requests, fields, verdict } of cases) {
    it(name, () => {
      expect(judge(roomWith(own, reported), requests, fields).kind).to.equal(verdict)
    })
  }

  it('takes the newer reports of a large fleet for a sample of all', () => {
    const room = roomWith([{ account: 'calm', inProgress: 2 }])
    const report = (index: number, account: string, inProgress: number): serviceRoom.ServiceUseReport => ({ ageMs: index * 300, uses: [{ service: 'engines', largest: [{ account, rank: URGENT, inProgress, waiting: 0 }], otherAccounts: 0, otherRequests: 0 }] })
    room.setReports(Array.from({ length: 40 }, (_value, index) => index < 10 ? report(index, 'busy', 1) : report(index, 'calm', 0)))
    expect(judge(room, 16).kind).to.equal('refuse')
    room.setReports(Array.from({ length: 40 }, (_value, index) => index < 10 ? report(index, 'calm', 0) : report(index, 'busy', 1)))
    expect(judge(room, 16).kind).to.equal('go')
  })

  it('lets a request go while slots are known to be free, whatever is in progress at targets that take no new ones', () => {
    expect(judge(roomWith([{ account: 'busy', inProgress: 40 }, { account: 'calm', inProgress: 2 }]), 15).kind).to.equal('go')
  })

  it('does not take the wait at full targets for time in a slot', () => {
    const room = roomWith([{ account: 'busy', inProgress: 18 }, { account: 'calm', inProgress: 4 }])
    for (let count = 0; count < 400; count++) room.recordTime('engines', SLOT_MS * 3, { slots: 16, requests: 48 })
    expect(judge(room, 26).kind).to.equal('wait')
    expect(judge(room, 22).kind).to.equal('go')
  })

  it('names a time of return of an eighth of the objective or more to a request that has to wait', () => {
    const verdict = judge(roomWith([{ account: 'busy', inProgress: 21 }, { account: 'calm', inProgress: 4 }]), 25)
    expect(verdict.kind === 'wait' ? verdict.grounds.retryAfterMs : 0).to.be.at.least(20)
  })

  it('names times of return that are spread and grow with those who were refused lately', () => {
    const room = roomWith([{ account: 'busy', inProgress: 40 }, { account: 'calm', inProgress: 2 }])
    const delay = (jitter: number): number => {
      const verdict = judge(room, 42, {}, jitter)
      return verdict.kind === 'refuse' ? verdict.grounds.retryAfterMs : NaN
    }
    const [first, second] = [delay(0), delay(0)]
    expect(first).to.be.at.least(20)
    for (let count = 0; count < 100; count++) delay(0)
    const last = delay(0)
    expect(last).to.be.greaterThan(second)
    expect(delay(0.99)).to.be.greaterThan(last * 1.4)
  })

  it('reports its largest users of busy services by name and the others as numbers, and nothing of services with room', () => {
    const room = roomWith([{ account: 'a', inProgress: 1 }, { account: 'b', inProgress: 5 }, { account: 'c', inProgress: 2 }, { account: 'd', inProgress: 9 }, { account: 'e', inProgress: 2 }])
    const [use] = room.reports(() => ({ slots: 16, requests: 19 }))
    expect(use.largest.map(({ account }) => account).slice(0, 2)).to.deep.equal(['d', 'b'])
    expect([use.largest.length, use.otherAccounts, use.otherRequests]).to.deep.equal([3, 2, 3])
    expect(room.reports(() => ({ slots: 64, requests: 19 }))).to.deep.equal([])
  })

  it('forgets requests that have ended', () => {
    const room = new serviceRoom.ServiceRoom()
    const end = room.start('engines', 'busy', URGENT)
    room.wait('engines', 'busy', URGENT)()
    expect(room.largestAccounts(20)).to.deep.equal({ busy: 1 })
    end()
    expect(room.largestAccounts(20)).to.deep.equal({})
  })

  const divisions: Array<[number[], number, number]> = [[[2, 30], 24, 22], [[30, 30, 30], 24, 8], [[1, 2, 30, 30], 23, 10], [[5, 5], 24, Infinity]]
  for (const [demands, capacity, level] of divisions) {
    it(`divides ${capacity} among ${demands.join(', ')} up to ${level}`, () => {
      expect(serviceRoom.fairLevel(demands, capacity)).to.equal(level)
    })
  }
})
