// Each gateway sees all others come and go. Guards against a log whose volume grows with the square of the fleet: a line for each
// other gateway at each gateway.
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as membershipLogs from '../src/membership-log.js'

const { expect } = chai

/** Logger that keeps its lines. */
function collectingLogger (lines: Array<Record<string, unknown>>): runtime.logging.Logger {
  const collect = (line: Record<string, unknown>): void => { lines.push(line) }
  return Object.assign(runtime.logging.createLogger('silent'), { info: collect, warn: collect }) as runtime.logging.Logger
}

const cases: Array<{ name: string, regained: number, silent: number, events: string[] }> = [
  { name: 'one line of each kind in a large fleet', regained: 194, silent: 60, events: ['dependency-regained', 'dependency-lost'] },
  { name: 'nothing where nothing changed', regained: 0, silent: 0, events: [] },
  { name: 'a single gateway by its name', regained: 1, silent: 0, events: ['dependency-regained'] }
]

describe('membership log', () => {
  for (const { name, regained, silent, events } of cases) {
    it(`writes ${name}`, () => {
      const lines: Array<Record<string, unknown>> = []
      const log = new membershipLogs.MembershipLog(collectingLogger(lines))
      for (let count = 0; count < regained; count++) log.recordRegained(`host-${count}-1`)
      log.write(Array.from({ length: silent }, (_value, index) => ({ incarnation: `host-${index}-1`, silentMs: 2000 + index })))
      expect(lines.map(({ event }) => event)).to.deep.equal(events)
      expect(lines.map(({ count }) => count)).to.deep.equal([regained, silent].filter((count) => count > 0))
      expect(lines.every((line) => JSON.stringify(line).length < 500)).to.equal(true)
      log.write([])
      expect(lines).to.have.length(events.length)
    })
  }
})
