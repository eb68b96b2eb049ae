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
  isRight: boolean
}

const { whole, failed } = callers.CallerOutcome

const cases: Case[] = [
  { title: 'accepts a bill that equals what was served', outcome: 'complete', billedTokens: 22, run: { tokens: 22, cutByKill: false }, caller: whole, isRight: true },
  { title: 'rejects a bill above what was served', outcome: 'complete', billedTokens: 23, run: { tokens: 22, cutByKill: false }, caller: whole, isRight: false },
  { title: 'rejects a bill below what was served', outcome: 'partial', billedTokens: 21, run: { tokens: 22, cutByKill: false }, caller: failed, isRight: false },
  { title: 'accepts an unknown outcome of a call that left no run', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: undefined, caller: failed, isRight: true },
  { title: 'rejects a complete answer that left no run', outcome: 'complete', billedTokens: 22, run: undefined, caller: whole, isRight: false },
  { title: 'accepts the whole reservation where the target was killed in the middle', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: failed, isRight: true },
  { title: 'rejects less than the reservation where the target was killed', outcome: 'unknown', billedTokens: 60, run: { tokens: 22, cutByKill: true }, caller: failed, isRight: false },
  { title: 'rejects an unknown outcome where the target lived, or was killed after the end', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: false }, caller: failed, isRight: false },
  { title: 'rejects an unknown outcome of an answer that the caller got whole', outcome: 'unknown', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: whole, isRight: false },
  { title: 'rejects a partial bill that differs, also where the target was killed', outcome: 'partial', billedTokens: RESERVED_TOKENS, run: { tokens: 22, cutByKill: true }, caller: failed, isRight: false }
]

describe('the check of bills', () => {
  for (const example of cases) {
    it(example.title, () => {
      const bill = { requestId: 'r', account: 'a', budget: 'b', target: 't', key: 'k', promptTokens: 10, completionTokens: example.billedTokens - 10, outcome: example.outcome }
      chai.expect(billCheck.isRightBill(bill, example.run, { outcome: example.caller, tokens: RESERVED_TOKENS })).to.equal(example.isRight)
    })
  }
})
