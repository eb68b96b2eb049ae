// Placement has to spread load without losing cached prompts. The tests guard against routers that choose different
// targets for the same prefix, against prefixes that pin requests to a busy or failing target, against retries beyond the
// fleet's budget, and against a large fleet in which no reachable router watches the store.
import * as chai from 'chai'
import * as placement from '../src/placement.js'
import * as targetBoard from '../src/target-board.js'
import * as retryAllowance from '../src/retry-allowance.js'

const { expect } = chai

function boardOf (count: number, slots = 8, zones: string[] = ['a']): targetBoard.TargetBoard {
  const board = new targetBoard.TargetBoard()
  for (let index = 0; index < count; index++) {
    board.upsertEntry({ id: `t${index}`, service: 's', address: `10.0.0.${index}:1`, availabilityZone: zones[index % zones.length], slots, leaving: false })
  }
  return board
}

function request (session: string, promptTokens = 12_000): placement.PlacementRequest {
  return { service: 's', sharedParts: [{ id: 'common', tokens: 500 }, { id: session, tokens: 5000 }], promptTokens, availabilityZone: 'a' }
}

const plainRequest: placement.PlacementRequest = { service: 's', sharedParts: [], promptTokens: 0, availabilityZone: 'a' }

function chosenId (board: targetBoard.TargetBoard, placementRequest: placement.PlacementRequest, tried: string[] = [], now = 0): string | undefined {
  return placement.chooseTarget(board, placementRequest, new Set(tried), now)?.target.entry.id
}

describe('placement of requests with shared prompts', () => {
  it('chooses the same target for a session on routers that do not communicate', () => {
    const sessions = Array.from({ length: 40 }, (_value, index) => `session-${index}`)
    for (const session of sessions) expect(chosenId(boardOf(6), request(session))).to.equal(chosenId(boardOf(6), request(session)))
    const usedIds = new Set(sessions.map((session) => chosenId(boardOf(6), request(session))))
    expect(usedIds.size).to.equal(6)
  })

  it('moves to a free target when the affinity target is busy, and copies the prefix from it', () => {
    const board = boardOf(3)
    const affinityId = chosenId(board, request('session')) ?? ''
    for (let count = 0; count < 6; count++) board.recordStart(affinityId, 12_000, ['common', 'session'], 0)
    const result = placement.chooseTarget(board, request('session'), new Set(), 10)
    expect(result?.target.entry.id).to.not.equal(affinityId)
    expect(result?.copyFrom?.entry.id).to.equal(affinityId)
  })

  it('copies nothing to a target that has cached the prefix itself', () => {
    const board = boardOf(3)
    for (const id of ['t0', 't1', 't2']) board.recordStart(id, 0, ['common', 'session'], 0)
    expect(placement.chooseTarget(board, request('session'), new Set(), 10)?.copyFrom).to.equal(undefined)
  })

  it('does not choose a target that takes no requests now, but copies from it', () => {
    const board = boardOf(3)
    const affinityId = chosenId(board, request('session'))
    const result = placement.chooseTarget(board, request('session'), new Set(), 0, (target) => target.entry.id !== affinityId)
    expect(result?.target.entry.id).to.not.equal(affinityId)
    expect(result?.copyFrom?.entry.id).to.equal(affinityId)
  })

  it('chooses no target if none takes requests now', () => {
    expect(placement.chooseTarget(boardOf(2), request('session'), new Set(), 0, () => false)).to.equal(undefined)
  })

  it('counts a cached part only if all parts before it are cached', () => {
    const board = boardOf(2)
    board.recordStart('t0', 0, ['session'], 0)
    board.recordStart('t1', 0, ['common', 'session'], 0)
    expect(chosenId(board, request('session'))).to.equal('t1')
  })
})

describe('cost of reading a prompt', () => {
  const cases: Array<[number, number]> = [[0, 0], [1000, 1031], [32_000, 64_000], [54_000, 145_125]]
  for (const [tokens, cost] of cases) {
    it(`is ${cost} for ${tokens} tokens`, () => { expect(placement.promptReadingCost(tokens)).to.equal(cost) })
  }

  it('avoids a target that reads a very long prompt, although the other target has more prompt tokens queued', () => {
    const board = boardOf(2)
    board.recordStart('t0', placement.promptReadingCost(40_000), [], 0)
    for (let count = 0; count < 6; count++) board.recordStart('t1', placement.promptReadingCost(7000), [], 0)
    expect(chosenId(board, { ...request('session', 800), sharedParts: [] })).to.equal('t1')
  })
})

describe('placement by load and health', () => {
  const cases: Array<{ name: string, prepare: (board: targetBoard.TargetBoard) => void, now?: number, tried?: string[], expected: string | undefined }> = [
    { name: 'chooses the target with the least work', prepare: (board) => { board.recordStart('t0', 0, [], 0) }, expected: 't1' },
    { name: 'counts the work of other routers', prepare: (board) => { board.setOtherRoutersWork(new Map([['t0', { requests: 3, unreadTokens: 0 }]])) }, expected: 't1' },
    { name: 'excludes leaving targets', prepare: (board) => { board.markLeaving('t0') }, expected: 't1' },
    { name: 'keeps a target marked as leaving when its entry says otherwise', prepare: (board) => { board.markLeaving('t0'); board.upsertEntry({ id: 't0', service: 's', address: '10.0.0.0:1', availabilityZone: 'a', slots: 8, leaving: false }) }, expected: 't1' },
    { name: 'avoids an unreachable target during its backoff', prepare: (board) => { board.recordResult('t0', 'unreachable', 0); board.recordStart('t1', 0, [], 0) }, now: 100, expected: 't1' },
    { name: 'returns to an unreachable target after its backoff', prepare: (board) => { board.recordResult('t0', 'unreachable', 0); for (let count = 0; count < 60; count++) board.recordStart('t1', 0, [], 0) }, now: 20_000, expected: 't0' },
    { name: 'avoids a target that fails requests', prepare: (board) => { for (let count = 0; count < 4; count++) board.recordResult('t0', 'failed', 0) }, now: 10, expected: 't1' },
    { name: 'excludes targets that were tried', prepare: () => {}, tried: ['t0'], expected: 't1' },
    { name: 'returns no target if all were tried', prepare: () => {}, tried: ['t0', 't1'], expected: undefined }
  ]
  for (const { name, prepare, now, tried, expected } of cases) {
    it(name, () => {
      const board = boardOf(2)
      prepare(board)
      expect(chosenId(board, plainRequest, tried, now)).to.equal(expected)
    })
  }

  it('spreads a light load over equal targets', () => {
    const board = boardOf(3)
    const chosen = Array.from({ length: 6 }, (_value, index) => {
      const id = chosenId(board, plainRequest, [], index) ?? ''
      board.recordStart(id, 0, [], index)
      board.recordEnd(id, 'served', index)
      return id
    })
    expect(chosen).to.deep.equal(['t0', 't1', 't2', 't0', 't1', 't2'])
  })

  it('prefers its own zone among equal targets', () => {
    expect(chosenId(boardOf(2, 8, ['b', 'a']), plainRequest)).to.equal('t1')
  })
})

describe('retry allowance', () => {
  const budget = { ratio: 0.2, slack: 50, windowMs: 10_000 }

  it('keeps the retries of all routers within the fleet\'s budget', () => {
    let retries = 0
    for (let router = 0; router < 8; router++) {
      const allowance = new retryAllowance.RetryAllowance(budget)
      for (let count = 0; count < 100; count++) allowance.recordRequest('s', 0)
      while (allowance.tryConsumeRetry('s', 8, 5)) retries += 1
    }
    expect(retries).to.be.within(100, 800 * budget.ratio + budget.slack)
  })

  it('allows retries again after the window', () => {
    const allowance = new retryAllowance.RetryAllowance(budget)
    while (allowance.tryConsumeRetry('s', 8, 0));
    expect(allowance.tryConsumeRetry('s', 8, 9_000)).to.equal(false)
    expect(allowance.tryConsumeRetry('s', 8, 10_001)).to.equal(true)
  })
})
