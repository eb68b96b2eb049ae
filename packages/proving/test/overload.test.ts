// Offers a gateway process several times the requests that its processor time suffices for, each on a new connection, by callers that
// give up. Guards against requests that wait unread until their callers have gone, and are sent to targets all the same.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as throttles from '../src/processor-throttle.js'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000_000 }

/** Time limit of the routes, in milliseconds. */
const TIMEOUT_MS = 1000

/** Time after the time limit by which a request must have ended, in milliseconds. */
const END_SLACK_MS = 500

/** Time after which callers close their connections, in milliseconds. */
const PATIENCE_MS = TIMEOUT_MS + END_SLACK_MS

interface OfferedRequest {
  attemptId: string
  sentAt: number
  endedAt: number
  answer: standIns.callerClient.CallerAnswer
}

const cases: Array<{ name: string, coreShare: number, requestsPerSecond: number, path: string, model: boolean }> = [
  { name: 'requests of a plain service at three times what the gateway can serve', coreShare: 0.2, requestsPerSecond: 200, path: '/order/', model: false },
  { name: 'model requests at three times what the gateway can serve', coreShare: 0.2, requestsPerSecond: 200, path: '/plan/', model: true }
]

describe('a gateway without enough processor time', () => {
  for (const { name, coreShare, requestsPerSecond, path, model } of cases) {
    it(`answers or rejects in time, and sends nothing for callers that left: ${name}`, async () => {
      const fleet = new fleets.SoakFleet([ACCOUNT])
      await fleet.start(1, () => {})
      fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
      await fleets.sleep(500)
      const offer = createOffer(fleet, path, model)
      await offerRequests(offer, 150, 2000)
      const throttle = new throttles.ProcessorThrottle(fleet.hosts[0].pid, coreShare)
      const requests = await offerRequests(offer, requestsPerSecond, 5000)
      await fleets.sleep(2000)
      await throttle.stop()
      await fleet.stop()

      const unansweredAtTimeout = requests.filter((request) => request.endedAt - request.sentAt > TIMEOUT_MS)
      const heldOn = unansweredAtTimeout.filter((request) => request.answer.body === 'gave up')
      expect(heldOn.length, 'requests held past their time limit').to.be.at.most(Math.max(7, unansweredAtTimeout.length / 4))
      const endedAt = new Map(requests.map((request) => [request.attemptId, request.endedAt]))
      const sentLate = fleet.platform.runs().filter((run) => run.startedAt > (endedAt.get(run.attemptId) ?? Infinity) + END_SLACK_MS)
      expect(sentLate.length, 'requests sent to targets after their callers had left').to.be.at.most(3)
      expect(requests.filter((request) => request.answer.status === 200).length, 'served').to.be.greaterThan(50)
    })
  }
})

/** Returns a function that sends one request to the only gateway of a fleet, as a caller that gives up. */
function createOffer (fleet: fleets.SoakFleet, path: string, isModel: boolean): (attemptId: string) => Promise<OfferedRequest> {
  return async (attemptId) => {
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId,
      apiKey: ACCOUNT.apiKey,
      remainingMs: PATIENCE_MS,
      model: isModel ? { promptTokens: 90, outputTokens: 10, session: 'a1' } : undefined
    })
    const sentAt = performance.now()
    const answer = await standIns.callerClient.send(fleet.hosts[0].callerAddress, `${path}${attemptId}`, headers, 'order', PATIENCE_MS)
    return { attemptId, sentAt, endedAt: performance.now(), answer }
  }
}

/** Sends requests at a fixed rate, however late the answers are. */
async function offerRequests (offer: (attemptId: string) => Promise<OfferedRequest>, perSecond: number, milliseconds: number): Promise<OfferedRequest[]> {
  const startedAt = performance.now()
  const offered: Array<Promise<OfferedRequest>> = []
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs = performance.now() - startedAt) {
    while (offered.length < elapsedMs / 1000 * perSecond) offered.push(offer(`${perSecond}-${offered.length}`))
    await fleets.sleep(2)
  }
  return await Promise.all(offered)
}
