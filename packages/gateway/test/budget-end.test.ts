// Levels that are too low near the end of a budget refuse what lies on the page while the store is away; levels that are too high lose it with
// the power of all gateways. Counts the callers that either turns away, while two outages of the store meet budgets that come to their end.
import * as chai from 'chai'
import * as fleets from './token-fleet.js'

const { expect } = chai

const LOAD: fleets.TokenLoad = { largeAccounts: 4, smallAccounts: 20, requestsASecond: 150, coveredSeconds: 35 }

/** Times of the replay, in milliseconds. */
const LOAD_FROM_MS = 8000
const LOAD_TO_MS = 42_000
const END_MS = 44_000

/** Seconds after the beginning of the load at which the store is cut off, and at which it comes back. */
const OUTAGES = [[5, 13], [21, 29]]

/** Times of losses of power, in seconds after the beginning of the load, and the most callers that may be turned away. */
const cases: Array<[number[], number]> = [[[], 800], [[20], 2200], [[4, 18], 3900]]

describe('budgets that come to their end during outages of the store', () => {
  for (const [powerLosses, mostTurnedAway] of cases) {
    it(`turn away at most ${mostTurnedAway} callers falsely when the power of all is lost ${powerLosses.length} times`, async () => {
      const fleet = new fleets.TokenFleet(16, LOAD)
      const all = fleet.gateways.map((_gateway, index) => index)
      const events: Array<[number, () => void]> = [
        ...powerLosses.map((at): [number, () => void] => [at, () => { fleet.restartAll() }]),
        ...OUTAGES.flatMap(([from, to]): Array<[number, () => void]> => [[from, () => { fleet.cut(all, true) }], [to, () => { fleet.cut(all, false) }]])
      ]
      await fleet.clock.runUntil(LOAD_FROM_MS)
      void fleet.load(LOAD_TO_MS)
      for (const [at, happen] of events.sort(([left], [right]) => left - right)) {
        await fleet.clock.runUntil(LOAD_FROM_MS + 1000 * at)
        happen()
      }
      await fleet.clock.runUntil(END_MS)
      const { unreachable, exhausted } = fleet.outcomes
      const lost = fleet.lostTokens()
      const seen = `${unreachable} refused with 503, ${exhausted} with 402, ${lost} tokens lost, ${fleet.spent} spent`
      if (process.env.SHOW_FIGURES !== undefined) console.log(seen)
      expect(lost, seen).to.be.at.least(0)
      expect(unreachable + exhausted + lost / fleets.TRUE_TOKENS, seen).to.be.at.most(mostTurnedAway)
      for (const account of Object.keys(fleet.totals)) expect(fleet.drawn(account)).to.be.at.most(fleet.totals[account])
    })
  }
})
