// Guards against one account's burst that delays everybody, at one gateway or at all; against less urgent work that delays urgent work; against
// long requests and callers who come back that get less than others; against refusals after a wait; and against waits where there is room.
import * as decisions from '@acaciaweir/decisions'
import * as chai from 'chai'
import * as replays from './service-room-replay.js'

const { expect } = chai

const ALL = Array.from({ length: 16 }, (_value, index) => index)
const OTHERS: replays.ReplayAccount[] = [
  { name: 'b', perSecond: 50, gateways: ALL },
  { name: 'c', perSecond: 40, gateways: ALL },
  { name: 'd', perSecond: 30, gateways: ALL }
]
const EIGHTH_OF_OBJECTIVE_MS = 19

describe('room of a service with three targets of six slots and 200 requests a second', () => {
  const bursts: Array<{ name: string, accounts: replays.ReplayAccount[], returning?: number }> = [
    { name: 'an account that sends 7.5 times as much at two gateways', accounts: [{ name: 'hot', perSecond: 80, gateways: [0, 0, 0, 0, 1], burst: 7.5 }, ...OTHERS] },
    { name: 'an account that sends 7.5 times as much at all gateways', accounts: [{ name: 'hot', perSecond: 80, gateways: ALL, burst: 7.5 }, ...OTHERS] },
    { name: 'such an account whose refused callers come back', accounts: [{ name: 'hot', perSecond: 80, gateways: ALL, burst: 7.5 }, ...OTHERS], returning: 0.8 },
    { name: 'less urgent work that grows sevenfold', accounts: [{ name: 'hot', perSecond: 100, gateways: ALL, burst: 7, rank: 2 }, ...OTHERS] }
  ]
  for (const { name, accounts, returning } of bursts) {
    for (const seed of [1, 2, 3]) {
      it(`serves the other accounts in time beside ${name}, seed ${seed}`, () => {
        const today = replays.replayRoom({ seed, isFair: false, accounts, returning })
        const results = replays.replayRoom({ seed, isFair: true, accounts, returning })
        for (const other of ['b', 'c', 'd']) {
          const result = results.get(other)
          expect(result?.shareInTime, other).to.be.at.least(0.97)
          expect(today.get(other)?.shareInTime, `${other} without it`).to.be.at.most(0.7)
        }
        const sumOfOthers = (valueOf: (result: replays.AccountResult) => number): number => [...results].reduce((sum, [account, result]) => sum + (account === 'hot' ? 0 : valueOf(result)), 0)
        expect(sumOfOthers(({ largeInTime }) => largeInTime)).to.be.at.least(sumOfOthers(({ large }) => large) * 0.85)
        const hot = results.get('hot')
        expect(hot?.inTime).to.be.at.least(today.get('hot')?.inTime ?? Infinity)
        expect(hot?.shareInTime).to.be.at.least([...results.values()].reduce((sum, { shareInTime }) => sum + shareInTime, 0) / results.size / 4)
        expect(hot?.slowestRefusalMs).to.be.at.most(EIGHTH_OF_OBJECTIVE_MS)
      })
    }
  }

  it('serves the other accounts in time in a fleet of 91 gateways that hear of each other every few seconds', () => {
    const accounts = [{ name: 'hot', perSecond: 80, gateways: Array.from({ length: 91 }, (_value, index) => index), burst: 7.5 }, ...OTHERS]
    const results = replays.replayRoom({ seed: 1, isFair: true, accounts, gateways: 91, returning: 0.8 })
    for (const other of ['b', 'c', 'd']) expect(results.get(other)?.shareInTime, other).to.be.at.least(0.8)
  })

  const calm: Array<{ name: string, accounts: replays.ReplayAccount[] }> = [
    { name: 'with room to spare', accounts: [{ name: 'hot', perSecond: 80, gateways: [0] }, ...OTHERS] },
    { name: 'with a single account that overruns the service', accounts: [{ name: 'hot', perSecond: 80, gateways: ALL, burst: 9 }] }
  ]
  for (const { name, accounts } of calm) {
    it(`holds no request ${name}`, () => {
      const results = replays.replayRoom({ seed: 1, isFair: true, accounts })
      for (const result of results.values()) expect(result.heldMs).to.equal(0)
    })
  }

  it('serves urgent requests of an account no less than its own less urgent ones', () => {
    const accounts: replays.ReplayAccount[] = [{ name: 'bulk', perSecond: 100, gateways: ALL, burst: 7, rank: 2 }, { name: 'urgent', perSecond: 200, gateways: ALL, rank: 0 }, { name: 'c', perSecond: 40, gateways: ALL, rank: 2 }]
    const results = replays.replayRoom({ seed: 4, isFair: true, accounts, createRoom: () => new decisions.serviceRoom.ServiceRoom() })
    expect(results.get('urgent')?.shareInTime).to.be.at.least(results.get('bulk')?.shareInTime ?? 1)
    expect(results.get('urgent')?.shareInTime).to.be.at.least(0.95)
  })
})
