import * as chai from 'chai'
import * as placement from '../src/placement.js'
import * as targetBoard from '../src/target-board.js'
import * as watchDuty from '../src/watch-duty.js'
import * as retryAllowance from '../src/retry-allowance.js'

const { expect } = chai

function board (count: number, slots = 8, zones: string[] = ['a']): targetBoard.TargetBoard {
  const result = new targetBoard.TargetBoard()
  for (let index = 0; index < count; index++) {
    result.put({ id: `t${index}`, service: 's', address: `10.0.0.${index}:1`, availabilityZone: zones[index % zones.length], slots, leaving: false })
  }
  return result
}

function request (session: string, promptTokens = 12_000): placement.PlacedRequest {
  return { service: 's', sharedParts: [{ id: 'common', tokens: 500 }, { id: session, tokens: 5000 }], promptTokens, availabilityZone: 'a' }
}

const plain: placement.PlacedRequest = { service: 's', sharedParts: [], promptTokens: 0, availabilityZone: 'a' }

function chosen (targets: targetBoard.TargetBoard, placed: placement.PlacedRequest, tried: string[] = [], now = 0): string | undefined {
  return placement.chooseTarget(targets, placed, new Set(tried), now)?.target.entry.id
}

describe('placing requests with shared prompts', () => {
  it('keeps a session at one target, also between routers that do not talk', () => {
    const sessions = Array.from({ length: 40 }, (_value, index) => `session-${index}`)
    for (const session of sessions) expect(chosen(board(6), request(session))).to.equal(chosen(board(6), request(session)))
    const used = new Set(sessions.map((session) => chosen(board(6), request(session))))
    expect(used.size).to.equal(6)
  })

  it('leaves the usual target for a free one under a burst, and copies the prefix there', () => {
    const targets = board(3)
    const usual = chosen(targets, request('session')) ?? ''
    for (let count = 0; count < 6; count++) targets.started(usual, 12_000, ['common', 'session'], 0)
    const placed = placement.chooseTarget(targets, request('session'), new Set(), 10)
    expect(placed?.target.entry.id).to.not.equal(usual)
    expect(placed?.copyFrom?.entry.id).to.equal(usual)
  })

  it('copies nothing where the target has the prefix itself', () => {
    const targets = board(3)
    for (const id of ['t0', 't1', 't2']) targets.started(id, 0, ['common', 'session'], 0)
    expect(placement.chooseTarget(targets, request('session'), new Set(), 10)?.copyFrom).to.equal(undefined)
  })

  it('counts a later part only where all before it are cached', () => {
    const targets = board(2)
    targets.started('t0', 0, ['session'], 0)
    targets.started('t1', 0, ['common', 'session'], 0)
    expect(chosen(targets, request('session'))).to.equal('t1')
  })
})

describe('the cost of reading a prompt', () => {
  const cases: Array<[number, number]> = [[0, 0], [1000, 1031], [32_000, 64_000], [54_000, 145_125]]
  for (const [tokens, cost] of cases) {
    it(`is ${cost} for ${tokens} tokens`, () => { expect(placement.readingCost(tokens)).to.equal(cost) })
  }

  it('keeps short requests away from a target that reads a very long one, though it has fewer tokens ahead', () => {
    const targets = board(2)
    targets.started('t0', placement.readingCost(40_000), [], 0)
    for (let count = 0; count < 6; count++) targets.started('t1', placement.readingCost(7000), [], 0)
    expect(chosen(targets, { ...request('session', 800), sharedParts: [] })).to.equal('t1')
  })
})

describe('placing requests by load and health', () => {
  const cases: Array<{ name: string, prepare: (targets: targetBoard.TargetBoard) => void, now?: number, tried?: string[], expected: string | undefined }> = [
    { name: 'takes the target with the least work', prepare: (targets) => { targets.started('t0', 0, [], 0) }, expected: 't1' },
    { name: 'counts the work of other routers', prepare: (targets) => { targets.useOthersWork(new Map([['t0', { requests: 3, unreadTokens: 0 }]])) }, expected: 't1' },
    { name: 'leaves out targets that are leaving', prepare: (targets) => { targets.markLeaving('t0') }, expected: 't1' },
    { name: 'keeps a target leaving though its entry says otherwise', prepare: (targets) => { targets.markLeaving('t0'); targets.put({ id: 't0', service: 's', address: '10.0.0.0:1', availabilityZone: 'a', slots: 8, leaving: false }) }, expected: 't1' },
    { name: 'sets an unreachable target aside', prepare: (targets) => { targets.noteResult('t0', 'unreachable', 0); targets.started('t1', 0, [], 0) }, now: 100, expected: 't1' },
    { name: 'comes back to it later', prepare: (targets) => { targets.noteResult('t0', 'unreachable', 0); for (let count = 0; count < 60; count++) targets.started('t1', 0, [], 0) }, now: 20_000, expected: 't0' },
    { name: 'avoids a target that fails its requests', prepare: (targets) => { for (let count = 0; count < 4; count++) targets.noteResult('t0', 'failed', 0) }, now: 10, expected: 't1' },
    { name: 'leaves out targets that were tried', prepare: () => {}, tried: ['t0'], expected: 't1' },
    { name: 'finds none where all were tried', prepare: () => {}, tried: ['t0', 't1'], expected: undefined }
  ]
  for (const { name, prepare, now, tried, expected } of cases) {
    it(name, () => {
      const targets = board(2)
      prepare(targets)
      expect(chosen(targets, plain, tried, now)).to.equal(expected)
    })
  }

  it('stays in its own zone between equal targets', () => {
    expect(chosen(board(2, 8, ['b', 'a']), plain)).to.equal('t1')
  })
})

describe('the shared allowance for repeats', () => {
  const budget = { ratio: 0.2, slack: 50, windowMs: 10_000 }

  it('keeps all routers together within the fleet\'s budget', () => {
    let repeats = 0
    for (let router = 0; router < 8; router++) {
      const allowance = new retryAllowance.RetryAllowance(budget)
      for (let count = 0; count < 100; count++) allowance.noteRequest('s', 0)
      while (allowance.tryRepeat('s', 8, 5)) repeats += 1
    }
    expect(repeats).to.be.within(100, 800 * budget.ratio + budget.slack)
  })

  it('allows repeats again after the window', () => {
    const allowance = new retryAllowance.RetryAllowance(budget)
    while (allowance.tryRepeat('s', 8, 0));
    expect(allowance.tryRepeat('s', 8, 9_000)).to.equal(false)
    expect(allowance.tryRepeat('s', 8, 10_001)).to.equal(true)
  })
})

describe('watching the store for a large fleet', () => {
  const fleet = (count: number, silentMs = 0): watchDuty.Watcher[] => Array.from({ length: count }, (_value, index) => ({ name: `host-${index}`, availabilityZone: index % 2 === 0 ? 'a' : 'b', storeSilenceMs: silentMs }))
  const onDuty = (members: watchDuty.Watcher[]): string[] => members.filter((self) => watchDuty.hasWatchDuty(self, members.filter((member) => member !== self))).map((member) => member.name)

  it('lets all of a small fleet watch', () => { expect(onDuty(fleet(8))).to.have.length(8) })

  it('lets three of each zone of a large fleet watch', () => { expect(onDuty(fleet(60))).to.have.length(6) })

  it('replaces watchers that the store does not answer', () => {
    const members = fleet(60)
    const first = onDuty(members)
    for (const member of members) member.storeSilenceMs = first.includes(member.name) ? 20_000 : 0
    const others = onDuty(members).filter((name) => !first.includes(name))
    expect(others).to.have.length(6)
  })
})
