// Guards against a replay that accepts wrong bills. A bill of unknown outcome charges the whole reservation, so accepting one
// whose outcome the router could know would hide overcharging, most easily when a kill interrupts a run.
import * as chai from 'chai'
import * as billCheck from '../src/bill-check.js'
import * as callers from '../src/trace-caller.js'

const RESERVED_TOKENS = 83

interface Case {
  title: string
  outcome: 'complete' | 'partial' | 'unknown'
  billedTokens: number
  run: billCheck.ServedRun | undefined
  caller: callers.CallerOutcome
  isCorrect: boolean
}

const { whole, failed } = callers.CallerOutcome

const cases: Case[] = [
  { title: 'accepts a bill equal to the tokens served', outcome: 'complete', billedTokens: 22, run: { tokens: 22, cutByKill: false }, caller: whole, isCorrect: true },
  { title: 'rejects a bill above the tokens served', outcome: 'complete', billedTokens: 23, run: { tokens: 22, cutByKill: false }, caller: whole, isCorrect: false },
  { title: 'rejects a bill below the tokens served', outcome: 'partial', billedTokens: 21, run: { tokens: 22, cutByKill: false }, caller: failed, isCorrect: false },
  { title: 'accepts an unknown outcome if the target recorded no run', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: undefined, caller: failed, isCorrect: true },
  { title: 'rejects a complete outcome if the target recorded no run', outcome: 'complete', billedTokens: 22, run: undefined, caller: whole, isCorrect: false },
  { title: 'accepts a bill for the whole reservation if the target was killed during the run', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: failed, isCorrect: true },
  { title: 'rejects an unknown outcome billed below the reservation if the target was killed during the run', outcome: 'unknown', billedTokens: 60, run: { tokens: 22, cutByKill: true }, caller: failed, isCorrect: false },
  { title: 'rejects an unknown outcome if the target was not killed or was killed after the run', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: false }, caller: failed, isCorrect: false },
  { title: 'rejects an unknown outcome if the caller got the whole answer', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: whole, isCorrect: false },
  { title: 'rejects a partial outcome billed unlike the tokens served, even if the target was killed during the run', outcome: 'partial', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: failed, isCorrect: false }
]

describe('isCorrectBill', () => {
  for (const example of cases) {
    it(example.title, () => {
      const bill = { requestId: 'r', account: 'a', budget: 'b', target: 't', key: 'k', promptTokens: 10, completionTokens: example.billedTokens - 10, outcome: example.outcome }
      chai.expect(billCheck.isCorrectBill(bill, example.run, { outcome: example.caller, tokens: RESERVED_TOKENS })).to.equal(example.isCorrect)
    })
  }
})
