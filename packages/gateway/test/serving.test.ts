// Runs a gateway on loopback against targets that fail or misbehave. The tests guard against a request that runs twice because it
// is repeated where that is not safe, an answer that reaches the wrong request or looks complete though the stream broke off,
// a caller's key that reaches a target, and requests that are lost while a gateway or a target leaves.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from './fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

describe('a leaving gateway', () => {
  it('completes the streams in progress, and still serves new requests', async () => {
    const fleet = await fleets.TestFleet.start({ gateways: 1, engines: 1, plainTargets: 1, engineOptions: { events: 40, eventIntervalMs: 20 } })
    const stream = fleet.callModel(0, '/plan/1', 100, 50)
    await fleets.eventually(() => fleet.platform.runs().length === 1)
    void fleet.gateways[0].shutDown()
    const late = await fleet.call(0, '/order/1', {}, 'order')
    expect(late.status).to.equal(200)
    expect(late.headers.connection).to.equal('close')
    const answer = await stream
    expect(answer.isWhole).to.equal(true)
    expect(answer.body.match(/^id: \d+$/gm)).to.have.length(40)
    fleet.stop()
  })
})

describe('a gateway that serves callers', () => {
  let fleet: fleets.TestFleet

  beforeEach(async () => { fleet = await fleets.TestFleet.start({ gateways: 1, engines: 2, plainTargets: 2 }) })
  afterEach(() => { fleet.stop() })

  it('streams a complete answer, with the target\'s headers', async () => {
    const answer = await fleet.callModel(0, '/plan/day', 100, 50)
    expect(answer.status).to.equal(200)
    expect(answer.isWhole).to.equal(true)
    expect(answer.headers['replica-seal']).to.match(/^seal-engines-/)
    expect(answer.body.match(/^id: \d+$/gm)).to.deep.equal(['id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5', 'id: 6'])
  })

  it('forwards the account and the deadline, but not the key', async () => {
    await fleet.call(0, '/order/7', { tenant: 'somebody-else', hold: 'h1', 'kv-from': '10.0.0.1:1/x' }, 'body')
    const [run] = fleet.targets.flatMap((target) => target.runs)
    expect(run.account).to.equal('depot')
    expect(run.wasKeyForwarded).to.equal(false)
    expect(run.remainingMs).to.be.within(3000, 4000)
  })

  const refusals: Array<{ name: string, path: string, headers: Record<string, string>, body?: string, status: number }> = [
    { name: 'an unknown route', path: '/nowhere/', headers: {}, status: 404 },
    { name: 'an unknown host', path: '/order/1', headers: { host: 'other.example' }, status: 404 },
    { name: 'an unknown key', path: '/order/1', headers: { 'api-key': 'guess' }, status: 401 },
    { name: 'a model request without token counts', path: '/plan/day', headers: {}, status: 400 },
    { name: 'bad token counts', path: '/plan/day', headers: { 'token-counts': '12' }, status: 400 },
    { name: 'a bad prompt prefix', path: '/plan/day', headers: { 'token-counts': '12,1', 'prompt-prefix': 'zz' }, status: 400 },
    { name: 'a bad deadline', path: '/order/1', headers: { 'deadline-remaining-ms': 'soon' }, status: 400 },
    { name: 'a deadline that has passed', path: '/order/1', headers: { 'deadline-remaining-ms': '5' }, status: 503 },
    { name: 'headers over the limit', path: '/order/1', headers: { filler: 'x'.repeat(17_000) }, status: 431 },
    { name: 'a body over the limit', path: '/order/1', headers: {}, body: 'x'.repeat(70_000), status: 413 }
  ]
  for (const { name, path, headers, body, status } of refusals) {
    it(`refuses ${name} with ${status}, and sends nothing to a target`, async () => {
      const answer = await fleet.call(0, path, headers, body)
      expect(answer.status).to.equal(status)
      expect(fleet.targets.flatMap((target) => target.runs)).to.have.length(0)
    })
  }

  const failures: Array<{ name: string, path: string, fault: standIns.targetServer.TargetFault, status: number, maximumRuns: number }> = [
    { name: 'repeats a repeatable request whose answer was lost', path: '/stock/1', fault: TargetFault.loseAnswers, status: 200, maximumRuns: 2 },
    { name: 'repeats a repeatable request that failed', path: '/stock/1', fault: TargetFault.failing, status: 200, maximumRuns: 2 },
    { name: 'repeats a repeatable request that received the answer to another request', path: '/stock/1', fault: TargetFault.foreignAnswers, status: 200, maximumRuns: 2 },
    { name: 'does not repeat an at-most-once request whose answer was lost', path: '/order/1', fault: TargetFault.loseAnswers, status: 502, maximumRuns: 1 },
    { name: 'forwards the failure of an at-most-once request', path: '/order/1', fault: TargetFault.failing, status: 500, maximumRuns: 1 },
    { name: 'sends an at-most-once request to another target where the first is full', path: '/order/1', fault: TargetFault.full, status: 200, maximumRuns: 1 }
  ]
  for (const { name, path, fault, status, maximumRuns: maxRuns } of failures) {
    it(name, async () => {
      const plainTargets = fleet.targets.filter((target) => target.options.service === 'orders')
      plainTargets[0].fault = fault
      for (let count = 0; count < 6; count++) {
        const answer = await fleet.call(0, path, { 'attempt-id': `request-${count}` }, path === '/order/1' ? 'order' : '')
        const runs = plainTargets.flatMap((target) => target.runs).filter((run) => run.attemptId === `request-${count}`)
        const hitFault = runs.some((run) => plainTargets[0].runs.includes(run)) || fault === TargetFault.full
        expect(runs.length).to.be.at.most(maxRuns)
        if (hitFault) expect(answer.status).to.equal(status)
        else expect(answer.status).to.equal(200)
      }
      expect(plainTargets[0].receivedRequests).to.be.greaterThan(0)
    })
  }

  it('does not read excess bytes after an answer as the next answer', async () => {
    for (const target of fleet.targets) target.fault = TargetFault.extraBytes
    for (let count = 0; count < 8; count++) {
      const answer = await fleet.call(0, `/order/${count}`, {}, 'order')
      expect(answer.status).to.equal(200)
      expect(answer.body).to.contain(`ran /order/${count}`)
    }
  })

  it('forwards an answer that is too large to be held back', async () => {
    for (const target of fleet.targets) target.options.answerBytes = 1_000_000
    const answer = await fleet.call(0, '/order/1', {}, 'order')
    expect(answer.isWhole).to.equal(true)
    expect(answer.body).to.have.length(1_000_000)
    expect(answer.headers['replica-seal']).to.match(/^seal-orders-/)
  })

  it('resumes a broken resumable stream at another target, with each event once', async () => {
    await fleet.callModel(0, '/reply/1', 100, 50)
    const first = fleet.targets.find((target) => target.runs.length > 0)
    const other = fleet.targets.find((target) => target.runs.length === 0 && target.options.service === 'engines')
    if (first === undefined) throw new Error('no target ran the request')
    first.fault = TargetFault.cutStreams
    const answer = await fleet.callModel(0, '/reply/1', 100, 50)
    expect(answer.isWhole).to.equal(true)
    expect(answer.body.match(/^id: \d+$/gm)).to.deep.equal(['id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5', 'id: 6'])
    expect(answer.headers['replica-seal']).to.equal(`seal-${first.options.id}`)
    expect(other?.runs.map((run) => run.lastEventId)).to.deep.equal([3])
  })

  const closeDelimited: Array<{ name: string, path: string, fault: standIns.targetServer.TargetFault, isWhole: boolean, isResumed: boolean }> = [
    { name: 'forwards a stream as whole that ends with its connection', path: '/plan/1', fault: TargetFault.closeDelimited, isWhole: true, isResumed: false },
    { name: 'leaves a stream incomplete whose connection ends inside an event', path: '/plan/1', fault: TargetFault.closeInsideEvent, isWhole: false, isResumed: false },
    { name: 'leaves a stream incomplete whose connection is reset between two events', path: '/plan/1', fault: TargetFault.resetBetweenEvents, isWhole: false, isResumed: false },
    { name: 'resumes a stream whose connection ends inside an event', path: '/reply/1', fault: TargetFault.closeInsideEvent, isWhole: true, isResumed: true },
    { name: 'resumes a stream whose connection is reset between two events', path: '/reply/1', fault: TargetFault.resetBetweenEvents, isWhole: true, isResumed: true }
  ]
  for (const { name, path, fault, isWhole, isResumed } of closeDelimited) {
    it(`${name}, with neither length nor chunks`, async () => {
      await fleet.callModel(0, path, 100, 50)
      const first = fleet.targets.find((target) => target.runs.length > 0)
      if (first === undefined) throw new Error('no target ran the request')
      first.fault = fault
      const answer = await fleet.callModel(0, path, 100, 50)
      expect(answer.isWhole).to.equal(isWhole)
      expect(answer.body.match(/^id: \d+$/gm)).to.deep.equal(Array.from({ length: isWhole ? 6 : 3 }, (_value, index) => `id: ${index + 1}`))
      const resumedAfter = fleet.platform.runs().map((run) => run.lastEventId).filter((id) => id !== undefined)
      expect(resumedAfter).to.deep.equal(isResumed ? [3] : [])
    })
  }

  it('forwards an answer of a plain service that ends with its connection', async () => {
    for (const target of fleet.targets) target.fault = TargetFault.closeDelimited
    const answer = await fleet.call(0, '/order/1', {}, 'order')
    expect(answer.isWhole).to.equal(true)
    expect(answer.body).to.contain('ran /order/1')
  })

  it('leaves a broken stream that is not resumable incomplete', async () => {
    for (const target of fleet.targets) target.fault = TargetFault.cutStreams
    const answer = await fleet.callModel(0, '/plan/1', 100, 50)
    expect(answer.isWhole).to.equal(false)
    expect(fleet.targets.flatMap((target) => target.runs)).to.have.length(1)
  })

  it('answers 504 once the route\'s timeout has passed', async () => {
    fleet.platform.configure({ timeoutMs: 400 })
    await fleets.eventually(async () => (await fleet.call(0, '/stock/1')).status === 200)
    for (const target of fleet.targets) target.fault = TargetFault.mute
    const startedAt = performance.now()
    const answer = await fleet.call(0, '/order/1', {}, 'order')
    expect(answer.status).to.equal(504)
    expect(performance.now() - startedAt).to.be.within(300, 800)
  })

  it('sends no requests to a target that is draining', async () => {
    const [leaving] = fleet.targets
    fleet.store.putObject('servers', leaving.options.id, leaving.registryEntry('draining'))
    await new Promise<void>((resolve) => { setTimeout(resolve, 300) })
    const before = leaving.receivedRequests
    for (let count = 0; count < 8; count++) await fleet.callModel(0, '/plan/1', 50, 10)
    expect(leaving.receivedRequests).to.equal(before)
  })

  it('lists its address in the directory until it is leaving', async () => {
    const resolve = async (): Promise<string> => (await standIns.callerClient.get(`http://${fleet.settings[0].directoryListen}/resolve?Name=${standIns.platformStandIn.ROUTE_HOST}&Region=region&Zone=zone-a`)).body
    expect(JSON.parse(await resolve())).to.deep.equal({ Addresses: [fleet.settings[0].callerListen], TtlS: 2 })
    void fleet.gateways[0].shutDown()
    await fleets.eventually(async () => (await standIns.callerClient.get(`http://${fleet.settings[0].readyListen}/ready`)).status === 503)
    expect(JSON.parse(await resolve()).Addresses).to.deep.equal([])
  })
})
