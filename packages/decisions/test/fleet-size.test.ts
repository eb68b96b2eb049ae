// A gateway that has just started has heard few others. Guards against gateways of a large fleet that act as in a small one then: each would
// write the token page and watch the store, hundreds of times in the first seconds.
import * as chai from 'chai'
import * as fleetSize from '../src/fleet-size.js'

const { expect } = chai

const cases: Array<{ name: string, discovery: fleetSize.Discovery, isLarge: boolean, isKnown: boolean }> = [
  { name: 'a gateway that has just started and knows the addresses of a large fleet', discovery: { uptimeMs: 200, addresses: 194, heard: 3, live: 3 }, isLarge: true, isKnown: false },
  { name: 'a gateway that has heard half of a large fleet', discovery: { uptimeMs: 1500, addresses: 194, heard: 97, live: 97 }, isLarge: true, isKnown: false },
  { name: 'a gateway that has heard most of a large fleet', discovery: { uptimeMs: 1500, addresses: 194, heard: 170, live: 170 }, isLarge: true, isKnown: true },
  { name: 'a gateway that is cut off from half of a large fleet for long', discovery: { uptimeMs: 6000, addresses: 194, heard: 97, live: 97 }, isLarge: true, isKnown: true },
  { name: 'a gateway of a small fleet', discovery: { uptimeMs: 1500, addresses: 7, heard: 7, live: 7 }, isLarge: false, isKnown: true },
  { name: 'a gateway of a small fleet all of whose hosts were replaced lately', discovery: { uptimeMs: 60_000, addresses: 18, heard: 18, live: 9 }, isLarge: false, isKnown: true }
]

describe('fleet size', () => {
  for (const { name, discovery, isLarge, isKnown } of cases) {
    it(`is ${isLarge ? 'large' : 'small'} and ${isKnown ? 'known' : 'not known'} for ${name}`, () => {
      expect(fleetSize.isLargeFleet(discovery)).to.equal(isLarge)
      expect(fleetSize.isFleetKnown(discovery)).to.equal(isKnown)
    })
  }
})
