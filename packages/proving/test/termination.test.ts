// Gateways are told to stop while callers that keep an old address send them work. Guards against work that is taken and then cut off.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

/** Time limit of the routes, in milliseconds. */
const TIMEOUT_MS = 15_000

/** A stream takes five seconds. */
const STREAM = { events: 64, eventIntervalMs: 78 }

/** Time in which a refusal must come, in milliseconds. */
const REFUSAL_MS = 300

interface Work {
  name: string
  path: string
  isModel: boolean
  /** Time after SIGTERM at which the request is sent, in milliseconds. */
  sentAfterMs: number
  remainingMs: number
  status: number
}

const works: Work[] = [
  { name: 'a long stream, at once', path: '/plan/1', isModel: true, sentAfterMs: 100, remainingMs: TIMEOUT_MS, status: 503 },
  { name: 'a long stream, after 3.5 s', path: '/plan/1', isModel: true, sentAfterMs: 3500, remainingMs: TIMEOUT_MS, status: 503 },
  { name: 'a long stream, after 4 s', path: '/plan/1', isModel: true, sentAfterMs: 4000, remainingMs: TIMEOUT_MS, status: 503 },
  { name: 'a long resumable stream, after 4.3 s', path: '/reply/1', isModel: true, sentAfterMs: 4300, remainingMs: TIMEOUT_MS, status: 503 },
  { name: 'a plain request with a long time limit, after 4 s', path: '/order/1', isModel: false, sentAfterMs: 4000, remainingMs: TIMEOUT_MS, status: 503 },
  { name: 'a plain request with a short time limit, after 4 s', path: '/order/1', isModel: false, sentAfterMs: 4000, remainingMs: 3000, status: 200 },
  { name: 'a plain request with a short time limit, after 1 s', path: '/stock/1', isModel: false, sentAfterMs: 1000, remainingMs: 3000, status: 200 }
]

interface Sent {
  attemptId: string
  answer: standIns.callerClient.CallerAnswer
  milliseconds: number
}

/** A gateway in a process of its own, and requests to it. */
class Termination {
  readonly fleet = new fleets.SoakFleet([ACCOUNT])
  #sentRequests = 0

  async start (): Promise<void> {
    await this.fleet.start(2, () => {})
    this.fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
    for (const target of this.fleet.platform.targets) Object.assign(target.options, STREAM)
    await fleets.sleep(500)
  }

  async send (path: string, isModel: boolean, remainingMs: number): Promise<Sent> {
    this.#sentRequests += 1
    const attemptId = `request-${this.#sentRequests}`
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId,
      apiKey: ACCOUNT.apiKey,
      remainingMs,
      model: isModel ? { promptTokens: 90, outputTokens: 100, session: 'a1' } : undefined
    })
    const sentAt = performance.now()
    const answer = await standIns.callerClient.send(this.fleet.hosts[0].callerAddress, path, headers, path.startsWith('/order') ? 'order' : '')
    return { attemptId, answer, milliseconds: performance.now() - sentAt }
  }

  hasRun ({ attemptId }: Sent): boolean {
    return this.fleet.platform.runs().some((run) => run.attemptId === attemptId)
  }
}

describe('a gateway process after SIGTERM', () => {
  let termination: Termination

  beforeEach(async () => {
    termination = new Termination()
    await termination.start()
  })
  afterEach(async () => { await termination.fleet.stop() })

  it('serves what it takes to its end, and refuses at once what could outlast it', async () => {
    const exited = termination.fleet.hosts[0].terminate('SIGTERM')
    const sent = await Promise.all(works.map(async ({ path, isModel, sentAfterMs, remainingMs }) => {
      await fleets.sleep(sentAfterMs)
      return await termination.send(path, isModel, remainingMs)
    }))
    expect(await exited).to.equal(0)
    const outcomes = works.map(({ name }, index) => ({ name, status: sent[index].answer.status, isWhole: sent[index].answer.isWhole, hasRun: termination.hasRun(sent[index]) }))
    expect(outcomes).to.deep.equal(works.map(({ name, status }) => ({ name, status, isWhole: true, hasRun: status === 200 })))
    for (const { answer, milliseconds } of sent.filter(({ answer }) => answer.status === 503)) {
      expect(Number(answer.headers['retry-after'])).to.be.within(0, 1)
      expect(milliseconds).to.be.below(REFUSAL_MS)
    }
  })

  it('completes a stream that began before', async () => {
    const stream = termination.send('/plan/1', true, TIMEOUT_MS)
    await fleets.sleep(300)
    const exited = termination.fleet.hosts[0].terminate('SIGTERM')
    expect((await stream).answer.isWhole).to.equal(true)
    expect(await exited).to.equal(0)
  })

  it('answers a request whose target is silent until the gateway stops', async () => {
    for (const target of termination.fleet.platform.targets) target.fault = TargetFault.mute
    const request = termination.send('/order/1', false, TIMEOUT_MS)
    await fleets.sleep(300)
    const exited = termination.fleet.hosts[0].terminate('SIGTERM')
    const { answer } = await request
    expect(answer.status).to.equal(502)
    expect(answer.isWhole).to.equal(true)
    expect(await exited).to.equal(0)
  })
})
