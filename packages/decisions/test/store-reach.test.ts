import * as chai from 'chai'
import * as storeReach from '../src/store-reach.js'
import * as tokenHolders from '../src/token-holders.js'

// A router that is cut off from the store is asked to write the token page for all, or the page writer changes with each refused call.

const { expect } = chai
const { CallEnd, ReachState } = storeReach

interface Call {
  at: number
  end: storeReach.CallEnd
}

const cases: Array<{ name: string, calls: Call[], now: number, state: storeReach.ReachState }> = [
  { name: 'no call', calls: [], now: 0, state: ReachState.unknown },
  { name: 'an answer', calls: [{ at: 0, end: CallEnd.answered }], now: 1000, state: ReachState.reached },
  { name: 'an answer six seconds ago', calls: [{ at: 0, end: CallEnd.answered }], now: 6000, state: ReachState.unknown },
  { name: 'a call without an answer', calls: [{ at: 0, end: CallEnd.answered }, { at: 500, end: CallEnd.unanswered }], now: 600, state: ReachState.cutOff },
  { name: 'one refusal', calls: [{ at: 0, end: CallEnd.answered }, { at: 500, end: CallEnd.refused }], now: 600, state: ReachState.reached },
  { name: 'two refusals in a row', calls: [{ at: 0, end: CallEnd.refused }, { at: 500, end: CallEnd.refused }], now: 600, state: ReachState.cutOff },
  { name: 'an answer between two refusals', calls: [{ at: 0, end: CallEnd.refused }, { at: 500, end: CallEnd.answered }, { at: 600, end: CallEnd.refused }], now: 600, state: ReachState.reached },
  { name: 'an answer just after it was cut off', calls: [{ at: 0, end: CallEnd.unanswered }, { at: 1000, end: CallEnd.answered }], now: 1000, state: ReachState.regained },
  { name: 'answers for three seconds after it was cut off', calls: [{ at: 0, end: CallEnd.unanswered }, { at: 3000, end: CallEnd.answered }], now: 3000, state: ReachState.reached },
  { name: 'a call without an answer six seconds ago', calls: [{ at: 0, end: CallEnd.unanswered }], now: 6000, state: ReachState.unknown }
]

describe('StoreReach', () => {
  for (const { name, calls, now, state } of cases) {
    it(`is ${state} after ${name}`, () => {
      const reach = new storeReach.StoreReach()
      for (const call of calls) reach.record(call.end, call.at)
      expect(reach.state(now)).to.equal(state)
    })
  }

  it('takes a state of a later release for unknown', () => {
    expect(storeReach.toReachState(9)).to.equal(ReachState.unknown)
  })
})

describe('the order in which routers are asked to write the token page', () => {
  const names = ['a', 'b', 'c', 'd', 'e']
  const drawing = ['a', 'b', 'c']
  const order = (reaches: Partial<Record<string, storeReach.ReachState>>): string[] =>
    tokenHolders.orderPageWriters(names.map((name) => ({ name, reach: reaches[name] ?? ReachState.unknown })), drawing)
  const [usual, second, third] = order({})

  it('begins with the routers that draw', () => {
    expect([usual, second, third].sort()).to.deep.equal(drawing)
  })

  it('stays as it is while none is cut off', () => {
    expect(order({ [usual]: ReachState.unknown, [second]: ReachState.reached, e: ReachState.reached })[0]).to.equal(usual)
  })

  it('keeps the usual one while another is cut off, if it reaches the store', () => {
    expect(order({ [usual]: ReachState.reached, [second]: ReachState.cutOff, e: ReachState.reached })[0]).to.equal(usual)
  })

  it('prefers any that reaches the store to one that is cut off, regained it lately or is not known to reach it', () => {
    expect(order({ [usual]: ReachState.cutOff, [second]: ReachState.regained, e: ReachState.reached })).to.deep.equal(['e', second, third, 'd', usual])
  })
})
