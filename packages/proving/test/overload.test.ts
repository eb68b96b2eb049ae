// Offers one process several times the requests that its processor time suffices for, each on a new connection, by callers that give up.
// Guards against requests that wait unread until their callers have gone, and are sent to targets all the same.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as examples from '../src/example-manifest.js'
import * as routerFleets from '../src/fleet.js'
import * as throttles from '../src/processor-throttle.js'
import * as gatewayFleets from '../src/soak-fleet.js'

const { expect } = chai

/** Share of a core that the process may use. */
const CORE_SHARE = 0.2

const REQUESTS_PER_SECOND = 200

/** Time limit of the requests, in milliseconds. */
const TIMEOUT_MS = 1000

/** Time after the time limit by which a request must have ended, in milliseconds. */
const END_SLACK_MS = 500

/** Time after which callers close their connections, in milliseconds. */
const PATIENCE_MS = TIMEOUT_MS + END_SLACK_MS

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000_000 }

/** A process that is offered too much, and what its targets ran. */
interface Overloaded {
  pid: number
  send: (attemptId: string) => Promise<standIns.callerClient.CallerAnswer>
  /** Runs at targets, as far as these record when they start. */
  runs: () => Array<{ attemptId: string, startedAt: number }>
  stop: () => Promise<void>
}

interface OfferedRequest {
  attemptId: string
  sentAt: number
  endedAt: number
  answer: standIns.callerClient.CallerAnswer
}

const cases: Array<{ name: string, start: () => Promise<Overloaded> }> = [
  { name: 'a gateway offered requests of a plain service', start: async () => await startGateway('/order/', false) },
  { name: 'a gateway offered model requests', start: async () => await startGateway('/plan/', true) },
  { name: 'a router offered model requests', start: startRouter }
]

describe('a process without enough processor time', () => {
  for (const { name, start } of cases) {
    it(`answers or rejects in time, and sends nothing for callers that left: ${name}`, async () => {
      const overloaded = await start()
      await offerRequests(overloaded, 'warm-up', 100, 2000)
      const throttle = new throttles.ProcessorThrottle(overloaded.pid, CORE_SHARE)
      const requests = await offerRequests(overloaded, 'request', REQUESTS_PER_SECOND, 5000)
      await gatewayFleets.sleep(2000)
      await throttle.stop()
      await overloaded.stop()

      const unansweredAtTimeout = requests.filter((request) => request.endedAt - request.sentAt > TIMEOUT_MS)
      const heldOn = unansweredAtTimeout.filter((request) => request.answer.body === 'gave up')
      expect(heldOn.length, 'requests held past their time limit').to.be.at.most(Math.max(7, unansweredAtTimeout.length / 4))
      const endedAt = new Map(requests.map((request) => [request.attemptId, request.endedAt]))
      const sentLate = overloaded.runs().filter((run) => run.startedAt > (endedAt.get(run.attemptId) ?? Infinity) + END_SLACK_MS)
      expect(sentLate.length, 'requests sent to targets after their callers had left').to.be.at.most(3)
      expect(requests.filter((request) => request.answer.status === 200).length, 'served').to.be.greaterThan(50)
    })
  }
})

async function startGateway (path: string, isModel: boolean): Promise<Overloaded> {
  const fleet = new gatewayFleets.SoakFleet([ACCOUNT])
  await fleet.start(1, () => {})
  fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
  await gatewayFleets.sleep(500)
  return {
    pid: fleet.hosts[0].pid,
    send: async (attemptId) => {
      const headers = standIns.callerClient.callerHeaders({
        host: standIns.platformStandIn.ROUTE_HOST,
        attemptId,
        apiKey: ACCOUNT.apiKey,
        remainingMs: PATIENCE_MS,
        model: isModel ? { promptTokens: 90, outputTokens: 10, session: 'a1' } : undefined
      })
      return await standIns.callerClient.send(fleet.hosts[0].callerAddress, `${path}${attemptId}`, headers, 'order', PATIENCE_MS)
    },
    runs: () => fleet.platform.runs(),
    stop: async () => { await fleet.stop() }
  }
}

async function startRouter (): Promise<Overloaded> {
  const fleet = new routerFleets.Fleet('overload', {
    availabilityZones: ['zone-a', 'zone-b'],
    routers: 2,
    engines: 2,
    services: 0,
    accounts: 1,
    totalTokens: 1_000_000_000,
    capTokens: 1_000_000_000,
    slots: 256,
    firstTokenMs: 5,
    tokenIntervalMs: 2,
    extraBudgets: 0,
    routerSettings: { 'log-level': 'info', 'allotment-minimum-tokens': 1_000_000 }
  }, 1, routerFleets.FleetPaths.direct)
  await fleet.start()
  const [router] = fleet.routers
  if (router.process?.pid === undefined) throw new Error('the router is not running')
  const headers = { authorization: `Bearer ${examples.exampleApiKey(fleet.accounts[0])}`, 'content-type': 'application/json' }
  return {
    pid: router.process.pid,
    send: async (attemptId) => {
      const body = JSON.stringify({ model: 'advisor', max_tokens: 5, user: attemptId, messages: [{ role: 'user', content: 'a short question' }] })
      return await standIns.callerClient.send(new URL(router.callerAddress).host, '/v1/chat/completions', headers, body, PATIENCE_MS)
    },
    runs: () => [],
    stop: async () => { await fleet.stop() }
  }
}

/** Sends requests at a fixed rate, however late the answers are. */
async function offerRequests (overloaded: Overloaded, name: string, perSecond: number, milliseconds: number): Promise<OfferedRequest[]> {
  const offer = async (attemptId: string): Promise<OfferedRequest> => {
    const sentAt = performance.now()
    const answer = await overloaded.send(attemptId)
    return { attemptId, sentAt, endedAt: performance.now(), answer }
  }
  const startedAt = performance.now()
  const offered: Array<Promise<OfferedRequest>> = []
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs = performance.now() - startedAt) {
    while (offered.length < elapsedMs / 1000 * perSecond) offered.push(offer(`${name}-${offered.length}`))
    await gatewayFleets.sleep(2)
  }
  return await Promise.all(offered)
}
