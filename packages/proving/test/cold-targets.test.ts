// A target that has just started, or became cold again, takes few requests from all gateways together and crashes under more. Guards against
// gateways that each send what one may, and against cold targets that never get work again.
import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 100_000_000 }
const REQUESTS_PER_SECOND = 100
const PATIENCE_MS = 4000
const COLD = { milliseconds: 4000, perSecond: 4 }

/** Most requests to a cold target in one second: one and a half times its rate, and five more. */
const ALLOWED_IN_A_SECOND = 11

type Platform = standIns.platformStandIn.PlatformStandIn

const cases: Array<{ name: string, gateways: number, chill: (platform: Platform) => Promise<void> }> = [
  { name: 'two gateways, one target is added', gateways: 2, chill: addTargets(1) },
  { name: 'eight gateways, a whole zone of targets comes back', gateways: 8, chill: addTargets(3) },
  { name: 'eight gateways, two running targets become cold', gateways: 8, chill: async (platform) => { for (const target of platform.targets.slice(0, 2)) platform.makeCold(target, COLD) } }
]

describe('targets that are cold', () => {
  for (const { name, gateways, chill } of cases) {
    it(`get no more requests than they take, and as many as others when they are warm: ${name}`, async () => {
      const fleet = new fleets.SoakFleet([ACCOUNT])
      await fleet.start(gateways, () => {})
      fleet.platform.configure({ coldStart: { seconds: COLD.milliseconds / 1000, perSecond: COLD.perSecond } })
      await offer(fleet, 1500)
      const coldFrom = performance.now()
      await chill(fleet.platform)
      const warmFrom = coldFrom + COLD.milliseconds
      const cold = fleet.platform.targets.filter((target) => target.coldRemainingMs > 0)
      await offer(fleet, COLD.milliseconds + 2000)
      await fleet.stop()
      for (const { arrivals, hasCrashed, options } of cold) {
        const counted = arrivals.filter((at) => at > coldFrom && at < warmFrom)
        expect(mostInASecond(counted), `requests to ${options.id} in a second`).to.be.at.most(ALLOWED_IN_A_SECOND)
        expect(hasCrashed, `${options.id} has crashed`).to.equal(false)
        expect(arrivals.some((at) => at > warmFrom), `${options.id} gets requests when it is warm`).to.equal(true)
      }
    })
  }
})

function addTargets (count: number): (platform: Platform) => Promise<void> {
  return async (platform) => {
    for (let index = 0; index < count; index++) await platform.addTarget('engines', `engines-new-${index}`, {}, COLD)
  }
}

/** Sends requests to random gateways at a fixed rate for a time, and resolves when all are answered. */
async function offer (fleet: fleets.SoakFleet, milliseconds: number): Promise<void> {
  const random = new decisions.random.SeededRandom(5)
  const startedAt = performance.now()
  const sent: Array<Promise<unknown>> = []
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs = performance.now() - startedAt) {
    while (sent.length < elapsedMs / 1000 * REQUESTS_PER_SECOND) {
      const headers = standIns.callerClient.callerHeaders({
        host: standIns.platformStandIn.ROUTE_HOST,
        attemptId: `attempt-${startedAt}-${sent.length}`,
        apiKey: ACCOUNT.apiKey,
        remainingMs: PATIENCE_MS,
        model: { promptTokens: 90, outputTokens: 10, session: `a${random.integer(50)}` }
      })
      sent.push(standIns.callerClient.send(fleet.hosts[random.integer(fleet.hosts.length)].callerAddress, '/plan/x', headers, '', PATIENCE_MS))
    }
    await fleets.sleep(5)
  }
  await Promise.all(sent)
}

function mostInASecond (times: readonly number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1000).length))
}
