// Targets name in their answers how many requests a second they take from all gateways together. Guards against gateways that pass over the
// limit or each use all of it, against targets that get much less than they take, and against requests that wait in vain.
import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai

const GATEWAYS = 6
const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 100_000_000 }

/** Time from the first answer with a limit until it must hold, in milliseconds. */
const REACTION_MS = 3000

/** Length of the windows in which requests are counted, and the excess over the limit that is allowed in one. */
const WINDOW_MS = 4000
const ALLOWED_FACTOR = 1.5
const ALLOWED_REQUESTS = 5

const COUNTED_MS = 9000
const PATIENCE_MS = 4000

interface Case {
  name: string
  limitPerSecond: number
  /** Engines with the limit, of four. */
  limitedEngines: number
  requestsPerSecond: number
  /** Gateways to which the requests come; all by default. */
  busyGateways?: number
  /** Least share of the requests that are served. */
  leastServed: number
  /** Least share of the limit that the engines get. */
  leastUse: number
  disturb?: (fleet: fleets.SoakFleet) => Promise<void>
}

const cases: Case[] = [
  { name: 'two of four engines take less than one request a second from each gateway', limitPerSecond: 1.5, limitedEngines: 2, requestsPerSecond: 40, leastServed: 0.95, leastUse: 0.5 },
  { name: 'a limit far below one request a second, while gateways are replaced and paused', limitPerSecond: 0.4, limitedEngines: 2, requestsPerSecond: 40, leastServed: 0.8, leastUse: 0, disturb: replaceAndPause },
  { name: 'all requests come to one of the gateways', limitPerSecond: 1.5, limitedEngines: 2, requestsPerSecond: 40, busyGateways: 1, leastServed: 0.95, leastUse: 0.5 },
  { name: 'all engines together take less than is offered', limitPerSecond: 5, limitedEngines: 4, requestsPerSecond: 40, leastServed: 0.3, leastUse: 0.7 }
]

interface Sent {
  sentAt: number
  endedAt: number
  answer: standIns.callerClient.CallerAnswer
}

describe('targets that name a limit', () => {
  for (const { name, limitPerSecond, limitedEngines, requestsPerSecond, busyGateways, leastServed, leastUse, disturb } of cases) {
    it(`get no more requests from all gateways than they take: ${name}`, async () => {
      const fleet = new fleets.SoakFleet([ACCOUNT])
      await fleet.start(GATEWAYS, () => {})
      const offer = createOffer(fleet, requestsPerSecond, busyGateways)
      await offer(1500)
      const limited = fleet.platform.targets.filter((target) => target.options.service === 'engines').slice(0, limitedEngines)
      for (const target of limited) target.limitPerSecond = limitPerSecond
      const heldFrom = performance.now() + REACTION_MS
      const [sent] = await Promise.all([offer(REACTION_MS + COUNTED_MS), fleets.sleep(REACTION_MS).then(async () => { await disturb?.(fleet) })])
      const heldUntil = performance.now()
      await fleet.stop()

      const allowed = ALLOWED_FACTOR * limitPerSecond * WINDOW_MS / 1000 + ALLOWED_REQUESTS
      for (const { arrivals, options } of limited) {
        const counted = arrivals.filter((at) => at > heldFrom)
        expect(mostInWindow(counted), `requests to ${options.id} in a window`).to.be.at.most(allowed)
        expect(counted.length, `requests to ${options.id}`).to.be.at.least(Math.floor(leastUse * limitPerSecond * (heldUntil - heldFrom) / 1000))
      }
      const counted = sent.filter(({ sentAt }) => sentAt > heldFrom)
      expect(counted.filter(({ answer }) => answer.status === 200).length / counted.length, 'share served').to.be.at.least(leastServed)
      const refused = counted.filter(({ answer }) => answer.status === 503)
      expect(refused.filter(({ answer }) => !(Number(answer.headers['retry-after']) > 0)), 'refused without Retry-After').to.deep.equal([])
      expect(refused.filter(({ sentAt, endedAt }) => endedAt - sentAt > PATIENCE_MS / 2).length, 'refused late').to.equal(0)
    })
  }

  it('get requests again as before when they name none', async () => {
    const fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(GATEWAYS, () => {})
    const offer = createOffer(fleet, 40)
    const [limited] = fleet.platform.targets
    limited.limitPerSecond = 2
    await offer(4000)
    limited.limitPerSecond = undefined
    await offer(3000)
    const endedAt = performance.now()
    await offer(3000)
    await fleet.stop()
    expect(limited.arrivals.filter((at) => at > endedAt).length).to.be.at.least(15)
  })
})

/** Returns a function that sends requests to random ones of the first gateways at a fixed rate for a time, and resolves with all answers. */
function createOffer (fleet: fleets.SoakFleet, perSecond: number, busyGateways = GATEWAYS): (milliseconds: number) => Promise<Sent[]> {
  const random = new decisions.random.SeededRandom(5)
  let sentRequests = 0
  const send = async (): Promise<Sent> => {
    sentRequests += 1
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId: `attempt-${sentRequests}`,
      apiKey: ACCOUNT.apiKey,
      remainingMs: PATIENCE_MS,
      model: { promptTokens: 90, outputTokens: 10, session: `a${random.integer(12)}` }
    })
    const sentAt = performance.now()
    const answer = await standIns.callerClient.send(fleet.hosts[random.integer(busyGateways)].callerAddress, '/plan/x', headers, '', PATIENCE_MS)
    return { sentAt, endedAt: performance.now(), answer }
  }
  return async (milliseconds) => {
    const startedAt = performance.now()
    const sent: Array<Promise<Sent>> = []
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs = performance.now() - startedAt) {
      while (sent.length < elapsedMs / 1000 * perSecond) sent.push(send())
      await fleets.sleep(5)
    }
    return await Promise.all(sent)
  }
}

function mostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length))
}

async function replaceAndPause (fleet: fleets.SoakFleet): Promise<void> {
  const [replaced, killed, paused] = fleet.hosts
  await Promise.all([
    replaced.terminate('SIGTERM').then(() => { replaced.start(() => {}) }),
    killed.terminate('SIGKILL').then(() => { killed.start(() => {}) })
  ])
  paused.pause()
  await fleets.sleep(1500)
  paused.resume()
}
