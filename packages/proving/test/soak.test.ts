// Runs random load and faults (killed, paused and replaced gateways, store outages, failing targets) against real gateway
// processes. Guards against breaches of the guarantees that only show when faults overlap, such as a budget overspent, a request
// that ran twice, or a gateway that does not serve again after the faults. A seed that once failed stays in the table.

import * as chai from 'chai'
import * as soaks from '../src/soak.js'

/** One seed that never failed, as a short run for every change, and those that once failed, with the cause. */
const cases: Array<{ seed: number, cause: string }> = [
  { seed: 1, cause: 'never failed' },
  { seed: 5, cause: 'after any other draw from the token page, a gateway drew none for 10 ms per gateway of the fleet, and refused with 503' }
]

describe('soak of gateway processes', () => {
  for (const { seed, cause } of cases) {
    it(`keeps all guarantees under random faults with seed ${seed} (${cause})`, async () => {
      const report = await soaks.runSoak({ seed, gateways: 4, faultyMs: 5000 })
      chai.expect(report.breaches).to.deep.equal([])
      chai.expect(report.served).to.be.greaterThan(100)
    })
  }
})
