// Guards against gateways that know each other's requests only from heartbeats and all send to the same target, which is overrun while others
// idle; and against placement that spreads load by giving up cached prompts, or piles a popular prompt onto one target.
import * as chai from 'chai'
import * as replays from './placement-replay.js'

const { expect } = chai

/** Callers need the first event within their objective: 19 of 20 requests, wherever there is room for all. */
const MAXIMUM_LATE_SHARE = 0.05

/** A target may be over its slots while others idle only as an exception. */
const MAXIMUM_OVERRUN_SHARE = 0.05

/** Longest objective of the first event, in milliseconds. */
const LONGEST_OBJECTIVE_MS = 1219

const base = { seed: 1, slots: 12, durationMs: 6000 }

describe('placement on knowledge that is a little old', () => {
  const cases: Array<{ name: string } & Omit<replays.ReplayOptions, 'seed' | 'slots' | 'durationMs'>> = [
    { name: '8 gateways, 98 targets, 0.6 of their room', gateways: 8, targets: 98, load: 0.6 },
    { name: '8 gateways, 98 targets, 0.95 of their room', gateways: 8, targets: 98, load: 0.95 },
    { name: '16 gateways, 17 targets, 0.6 of their room', gateways: 16, targets: 17, load: 0.6 },
    { name: '16 gateways, 17 targets, 0.8 of their room', gateways: 16, targets: 17, load: 0.8 },
    { name: '16 gateways, 17 targets, 0.95 of their room', gateways: 16, targets: 17, load: 0.95 },
    { name: '16 gateways, 17 targets, half of the requests at one gateway', gateways: 16, targets: 17, load: 0.8, busyGatewayShare: 0.5 },
    { name: '16 gateways, 17 targets, a burst of 1.7 times the load', gateways: 16, targets: 17, load: 0.5, burst: 1.7 },
    { name: '16 gateways, 98 targets, 0.6 of their room', gateways: 16, targets: 98, load: 0.6 },
    { name: '16 gateways, 98 targets, 0.95 of their room', gateways: 16, targets: 98, load: 0.95 },
    { name: '91 gateways, 98 targets, 0.6 of their room', gateways: 91, targets: 98, load: 0.6 },
    { name: '91 gateways, 98 targets, 0.8 of their room', gateways: 91, targets: 98, load: 0.8 },
    { name: '91 gateways, 98 targets, 0.95 of their room', gateways: 91, targets: 98, load: 0.95 },
    { name: '16 gateways, 98 targets of which a quarter is half as fast', gateways: 16, targets: 98, load: 0.6, slowSpeed: 0.5 }
  ]
  for (const { name, ...options } of cases) {
    it(`leaves callers their objective: ${name}`, () => {
      const result = replays.replay({ ...base, ...options })
      expect(result.late, 'requests after their objective').to.be.at.most(MAXIMUM_LATE_SHARE)
      expect(result.overrunWhileIdle, 'time with a target overrun while others idle').to.be.at.most(MAXIMUM_OVERRUN_SHARE)
      expect(result.firstEventP99).to.be.at.most(LONGEST_OBJECTIVE_MS)
    })
  }

  it('does not pile a popular prompt onto one target', () => {
    const result = replays.replay({ ...base, gateways: 16, targets: 17, load: 0.8, hotSessionShare: 0.6 })
    expect(result.longestQueue).to.be.at.most(base.slots)
    expect(result.late).to.be.at.most(MAXIMUM_LATE_SHARE)
  })

  it('leaves prompts where they are cached while there is room', () => {
    const result = replays.replay({ ...base, gateways: 16, targets: 17, load: 0.4 })
    expect(result.moves).to.be.at.most(0.2)
  })
})
