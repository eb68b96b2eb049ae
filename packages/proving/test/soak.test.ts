import * as chai from 'chai'
import * as soaks from '../src/soak.js'

/** Seeds that broke a promise once, and one that never did. */
const cases: Array<{ seed: number, cause: string }> = [
  { seed: 1, cause: 'none; the short run of every change' },
  { seed: 5, cause: 'a gateway did not draw from the page for 10 ms a gateway after any other draw, and refused with 503' }
]

describe('the soak over real gateways', () => {
  for (const { seed, cause } of cases) {
    it(`breaks no promise with seed ${seed} (${cause})`, async () => {
      const report = await soaks.soak({ seed, gateways: 4, faultyMs: 5000 })
      chai.expect(report.breaches).to.deep.equal([])
      chai.expect(report.served).to.be.greaterThan(100)
    })
  }
})
