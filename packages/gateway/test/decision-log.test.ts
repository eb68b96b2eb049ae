// Guards against the lines of cut answers being dropped in a second in which many requests are refused.
import type * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as logs from '../src/decision-log.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai
const { LineKind } = logs

type Line = Record<string, unknown>

const refusal: Line = { event: 'request-refused' }
const cutAnswer: Line = { event: 'request-ended', outcome: 'broken-off' }

const REFUSALS = 2000
const REFUSAL_LINES = 400
const MAXIMUM_CUT_LINES = 200

describe('the decision log', () => {
  const cases = [
    { name: 'keeps the lines of three cut answers among 2000 refusals', cutAnswers: 3, logged: 3 },
    { name: 'bounds the lines of cut answers as well', cutAnswers: 1000, logged: MAXIMUM_CUT_LINES }
  ]
  for (const { name, cutAnswers, logged } of cases) {
    it(name, async () => {
      const clock = new virtualClocks.VirtualClock()
      const lines: Line[] = []
      const logger = { info: (line: Line) => { lines.push(line) }, warn: (line: Line) => { lines.push(line) } } as unknown as runtime.logging.Logger
      const log = new logs.DecisionLog(logger, clock)
      for (let index = 0; index < REFUSALS; index++) log.write(refusal)
      for (let index = 0; index < cutAnswers; index++) log.write(cutAnswer, LineKind.lostAnswer)
      expect(lines.filter((line) => line === cutAnswer)).to.have.length(logged)
      expect(lines.filter((line) => line === refusal)).to.have.length(REFUSAL_LINES)
      await clock.runUntil(1000)
      log.write(refusal)
      expect(lines).to.deep.include({ event: 'lines-suppressed', kind: LineKind.ordinary, count: REFUSALS - REFUSAL_LINES })
    })
  }
})
