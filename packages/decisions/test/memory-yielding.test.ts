// Many bodies are read at once. Guards against a process that reads more than it has room for, against bodies that never end and keep the
// room of others, and against ordinary bodies that are turned away with them.
import * as chai from 'chai'
import * as memoryYielding from '../src/memory-yielding.js'

const { expect } = chai

const MEGABYTE = 1024 * 1024
const CAPACITY = 40 * MEGABYTE

type Row = [megabytes: number, missingMegabytes: number, movedAt: number, isWaiting?: boolean]

describe('turns of bodies', () => {
  const cases: Array<{ name: string, bodies: Row[], heldMegabytes?: number, now: number, turns: string[] }> = [
    { name: 'all are read where all have room', bodies: [[1, 3, 0], [2, 2, 0]], now: 60_000, turns: ['read', 'read'] },
    { name: 'those that lack least go first', bodies: [[9, 9, 0], [9, 1, 0], [9, 2, 0]], now: 100, turns: ['wait', 'read', 'read'] },
    { name: 'each that is read has room to its end', bodies: [[8, 4, 0], [8, 3, 0], [8, 4, 0]], now: 100, turns: ['wait', 'read', 'wait'] },
    { name: 'one that stands still gives its room to the next', bodies: [[8, 9, 9000], [20, 3, 0]], now: 10_000, turns: ['read', 'give-up'] },
    { name: 'one that moves keeps its room', bodies: [[8, 9, 9000], [20, 2, 8500]], now: 10_000, turns: ['wait', 'read'] },
    { name: 'one that waits for room is not taken for one that stands still', bodies: [[8, 9, 0, true], [20, 2, 9500]], now: 10_000, turns: ['wait', 'read'] },
    { name: 'bodies that are whole count, too', bodies: [[4, 2, 0]], heldMegabytes: 29, now: 100, turns: ['wait'] }
  ]
  for (const { name, bodies, heldMegabytes, now, turns } of cases) {
    it(name, () => {
      const held = bodies.map(([megabytes, missing, movedAt, isWaiting = false]) => ({ isWaiting, bytes: megabytes * MEGABYTE, missingBytes: missing * MEGABYTE, movedAt }))
      const heldBytes = heldMegabytes === undefined ? held.reduce((sum, body) => sum + body.bytes, 0) : heldMegabytes * MEGABYTE
      const result = memoryYielding.bodyTurns(held, heldBytes, CAPACITY, now)
      expect(held.map((body) => result.get(body))).to.deep.equal(turns)
    })
  }

  const newBodies: Array<{ name: string, announcedBytes: number | undefined, heldMegabytes: number, isTaken: boolean }> = [
    { name: 'a large one is taken in calm', announcedBytes: 4 * MEGABYTE, heldMegabytes: 29, isTaken: true },
    { name: 'a large one is refused where large ones have no room', announcedBytes: 4 * MEGABYTE, heldMegabytes: 31, isTaken: false },
    { name: 'an ordinary one is taken then', announcedBytes: 1000, heldMegabytes: 31, isTaken: true },
    { name: 'one without a length is taken then', announcedBytes: undefined, heldMegabytes: 31, isTaken: true },
    { name: 'a request without a body is always taken', announcedBytes: 0, heldMegabytes: 50, isTaken: true },
    { name: 'an ordinary one is refused where nothing has room', announcedBytes: 1000, heldMegabytes: 40, isTaken: false }
  ]
  for (const { name, announcedBytes, heldMegabytes, isTaken } of newBodies) {
    it(`new bodies: ${name}`, () => {
      expect(memoryYielding.mayTakeBody(announcedBytes, heldMegabytes * MEGABYTE, CAPACITY)).to.equal(isTaken)
    })
  }

  const closings: Array<{ name: string, holders: Array<[megabytes: number, movedAt: number, isResumable?: boolean]>, excessMegabytes: number, closed: number[] }> = [
    { name: 'none where there is room', holders: [[9, 0]], excessMegabytes: 0, closed: [] },
    { name: 'the stillest first', holders: [[1, 3000], [1, 2000], [9, 9500]], excessMegabytes: 1, closed: [1] },
    { name: 'then the one that holds most', holders: [[1, 3000], [3, 9000], [9, 9500]], excessMegabytes: 5, closed: [0, 2] },
    { name: 'of the still ones first those that can be continued', holders: [[1, 2000], [1, 3000, true], [9, 9500, true]], excessMegabytes: 2, closed: [1, 0] },
    { name: 'a small one that can be continued stays where a large one goes', holders: [[5, 9000], [1, 9500, true]], excessMegabytes: 1, closed: [0] },
    { name: 'one that can be continued goes before one that is a little larger', holders: [[5, 9000], [4, 9500, true]], excessMegabytes: 1, closed: [1] }
  ]
  for (const { name, holders, excessMegabytes, closed } of closings) {
    it(`closes connections with unread answers: ${name}`, () => {
      const held = holders.map(([megabytes, movedAt, isResumable = false]) => ({ bytes: megabytes * MEGABYTE, movedAt, isResumable }))
      const result = memoryYielding.answersToClose(held, excessMegabytes * MEGABYTE, 10_000)
      expect(result.map((holder) => held.indexOf(holder))).to.deep.equal(closed)
    })
  }

  const readAheads: Array<{ name: string, heldMegabytes: number, movedAt: number, isAllowed: boolean }> = [
    { name: 'a caller that reads slowly, in calm', heldMegabytes: 12, movedAt: 9000, isAllowed: true },
    { name: 'not where ordinary requests need the room', heldMegabytes: 13, movedAt: 9000, isAllowed: false },
    { name: 'a caller that reads nothing, in calm', heldMegabytes: 6, movedAt: 0, isAllowed: true },
    { name: 'not a caller that reads nothing, where others are read ahead', heldMegabytes: 7, movedAt: 0, isAllowed: false }
  ]
  for (const { name, heldMegabytes, movedAt, isAllowed } of readAheads) {
    it(`reads ahead of ${name}`, () => {
      expect(memoryYielding.mayReadAhead({ bytes: MEGABYTE, movedAt }, heldMegabytes * MEGABYTE, CAPACITY, 10_000)).to.equal(isAllowed)
    })
  }

  for (const { memoryMb, megabytes } of [{ memoryMb: 350, megabytes: 115 }, { memoryMb: 210, megabytes: 45 }, { memoryMb: 90, megabytes: 8 }]) {
    it(`a host of ${memoryMb} MB has room for ${megabytes} MB`, () => {
      expect(memoryYielding.bodyCapacity(memoryMb)).to.equal(megabytes * MEGABYTE)
    })
  }

  for (const [memoryMb, requests] of [[110, 8], [160, 8], [210, 18], [350, 46], [602, 64]]) {
    it(`a host of ${memoryMb} MB works on ${requests} requests of one connection`, () => {
      expect(memoryYielding.requestsAheadLimit(memoryYielding.bodyCapacity(memoryMb))).to.equal(requests)
    })
  }

  const descriptors = [{ maximum: 2212, callers: 1408, leastToTargets: 4 * 98 }, { maximum: 400, callers: 140, leastToTargets: 50 }, { maximum: 200, callers: 70, leastToTargets: 25 }]
  for (const { maximum, callers, leastToTargets } of descriptors) {
    it(`${maximum} descriptors are enough for ${callers} callers and ${leastToTargets} connections to targets`, () => {
      expect(memoryYielding.callerConnectionLimit(maximum)).to.equal(callers)
      expect(memoryYielding.targetConnectionLimit(maximum)).to.be.at.least(leastToTargets)
    })
  }
})
