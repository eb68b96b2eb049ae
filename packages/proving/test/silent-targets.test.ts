// Guards against streams that a gateway cuts because their target is silent for a while, though nothing better is in hand, and against
// a leaving gateway that does not continue a stream in progress at another target.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

type TargetServer = standIns.targetServer.TargetServer
type Fault = standIns.targetServer.TargetFault

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

/** A stream takes two seconds if no target falls silent. */
const STREAM = { events: 20, eventIntervalMs: 100 }

/** Silence, in milliseconds, after which another target is asked: a resumable stream waits three latency objectives of 500 ms. */
const SILENCE_MS = 2500

/** Time after the start of a stream at which targets change, in milliseconds. */
const FAULT_AFTER_MS = 500

const REMAINING_MS = 14_000

/** Time without an event after which the caller of a stream gives up, in milliseconds. */
const CALLER_PATIENCE_MS = 3000

interface Case {
  name: string
  /** Fault of the target that runs the stream, and whether it ends. */
  fault: Fault
  isFaultLasting: boolean
  otherFault: Fault
  isLeaving: boolean
  runs: number
}

const cases: Case[] = [
  { name: 'waits for a silent target while the other one is full', fault: TargetFault.silent, isFaultLasting: false, otherFault: TargetFault.full, isLeaving: false, runs: 1 },
  { name: 'waits for a silent target while the other one is silent too', fault: TargetFault.silent, isFaultLasting: false, otherFault: TargetFault.silent, isLeaving: false, runs: 2 },
  { name: 'waits for a silent target while the gateway is leaving and the other one is full', fault: TargetFault.silent, isFaultLasting: false, otherFault: TargetFault.full, isLeaving: true, runs: 1 },
  { name: 'goes on at another target if its own stays silent', fault: TargetFault.silent, isFaultLasting: true, otherFault: TargetFault.none, isLeaving: false, runs: 2 },
  { name: 'goes on at another target if its own stays silent while the gateway is leaving', fault: TargetFault.silent, isFaultLasting: true, otherFault: TargetFault.none, isLeaving: true, runs: 2 },
  { name: 'goes on at another target if its own breaks off while the gateway is leaving', fault: TargetFault.closeInsideEvent, isFaultLasting: true, otherFault: TargetFault.none, isLeaving: true, runs: 2 }
]

describe('a resumable stream or repeatable request', () => {
  let fleet: fleets.SoakFleet
  let engines: TargetServer[]

  beforeEach(async () => {
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(2, () => {})
    fleet.platform.configure({ timeoutMs: 15_000 })
    for (const target of fleet.platform.targets) Object.assign(target.options, STREAM)
    engines = fleet.platform.targets.filter((target) => target.options.service === 'engines')
    await fleets.sleep(500)
  })
  afterEach(async () => { await fleet.stop() })

  async function send (path: string): Promise<standIns.callerClient.CallerAnswer> {
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId: 'request-1',
      apiKey: ACCOUNT.apiKey,
      remainingMs: REMAINING_MS,
      model: { promptTokens: 90, outputTokens: 100, session: 'a1' }
    })
    return await standIns.callerClient.send(fleet.hosts[0].callerAddress, path, headers)
  }

  for (const { name, fault, isFaultLasting, otherFault, isLeaving, runs } of cases) {
    it(name, async () => {
      const answer = send('/reply/1')
      await fleets.sleep(FAULT_AFTER_MS)
      const exited = isLeaving ? fleet.hosts[0].terminate('SIGTERM') : undefined
      for (const engine of engines) engine.fault = engine.runs.length > 0 ? fault : otherFault
      if (!isFaultLasting) {
        await fleets.sleep(SILENCE_MS)
        for (const engine of engines) engine.fault = TargetFault.none
      }
      const { status, isWhole, body } = await answer
      const pieces = [...body.matchAll(/^id: (\d+)\ndata: piece \1 of request-1\n\n/gm)].map((match) => Number(match[1]))
      expect({ status, isWhole, pieces }).to.deep.equal({ status: 200, isWhole: true, pieces: Array.from({ length: STREAM.events }, (_value, index) => index + 1) })
      expect(fleet.platform.runs(), 'runs').to.have.length(runs)
      if (isLeaving) expect(await exited).to.equal(0)
    })
  }

  it('ends the run at the silent target once another one answers', async () => {
    const answer = send('/reply/1')
    await fleets.sleep(FAULT_AFTER_MS)
    const silent = engines.find((engine) => engine.runs.length > 0)
    if (silent === undefined) throw new Error('no engine runs the stream')
    silent.fault = TargetFault.silent
    expect((await answer).isWhole).to.equal(true)
    expect(silent.runs.map((run) => run.wasCancelled)).to.deep.equal([true])
  })

  it('gets the failure of another target if its own breaks off, rather than to one of the gateway', async () => {
    const orders = fleet.platform.targets.filter((target) => target.options.service === 'orders')
    for (const order of orders) order.fault = TargetFault.silent
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: 'request-3', apiKey: ACCOUNT.apiKey, remainingMs: CALLER_PATIENCE_MS })
    const answer = standIns.callerClient.send(fleet.hosts[0].callerAddress, '/stock/1', headers)
    while (orders.every((order) => order.runs.length === 0)) await fleets.sleep(10)
    const [silent, failing] = orders[0].runs.length > 0 ? orders : [orders[1], orders[0]]
    failing.fault = TargetFault.failing
    while (failing.runs.length === 0) await fleets.sleep(10)
    await fleets.sleep(100)
    silent.fault = TargetFault.loseAnswers
    const { status, isWhole } = await answer
    expect({ status, isWhole }).to.deep.equal({ status: 500, isWhole: true })
  })

  it('is not kept from its caller by a silence that never ends', async () => {
    const startedAt = performance.now()
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST, attemptId: 'request-2', apiKey: ACCOUNT.apiKey, remainingMs: CALLER_PATIENCE_MS, model: { promptTokens: 90, outputTokens: 100, session: 'a1' }
    })
    for (const engine of engines) engine.fault = TargetFault.silent
    const { status, isWhole } = await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/reply/1', headers)
    expect({ status, isWhole }).to.deep.equal({ status: 504, isWhole: true })
    expect(performance.now() - startedAt).to.be.below(CALLER_PATIENCE_MS + 500)
  })
})
