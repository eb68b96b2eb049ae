// More requests come than a gateway may open connections, so that some wait. Guards against requests that are sent to a target which began to leave
// or to rest, or whose entry was removed, while they waited, and against requests that wait for a full target while another has room.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

type TargetServer = standIns.targetServer.TargetServer

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

/** Connections that each target accepts, of which the only gateway uses twelve. */
const MAXIMUM_CONNECTIONS = 14
const CONNECTIONS_PER_TARGET = 12

/** Requests that wait, for each target. */
const WAITING_PER_TARGET = 6

/** Time by which a gateway must send nothing more to a target that leaves, in milliseconds. */
const LEAVING_MS = 2000

/** Time from the start to the end of a request at a target, in milliseconds. It begins before the target leaves and ends after the bound. */
const WORK_MS = 2400

/** Time of the new target, which has room, until requests that wait are sent to it, in milliseconds. */
const ROOM_MS = 500

/** Time for which a target rests, as it says, in seconds, and after which it must get no more requests, in milliseconds. */
const REST_SECONDS = 5
const REST_REACTION_MS = 500
const MAXIMUM_REQUESTS_IN_REST = 2

interface Service {
  name: string
  service: 'engines' | 'orders'
  path: string
  isModel: boolean
}

const services: Service[] = [
  { name: 'streams', service: 'engines', path: '/plan/1', isModel: true },
  { name: 'plain requests', service: 'orders', path: '/order/1', isModel: false }
]

describe('requests that wait for a connection', () => {
  let fleet: fleets.SoakFleet
  let sentRequests = 0

  beforeEach(async () => {
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(1, () => {})
    fleet.platform.configure({ timeoutMs: 15_000, maximumConnections: MAXIMUM_CONNECTIONS })
    for (const target of fleet.platform.targets) setWork(target)
    await fleets.sleep(500)
  })
  afterEach(async () => { await fleet.stop() })

  function setWork (target: TargetServer): void {
    Object.assign(target.options, target.options.service === 'engines' ? { events: 24, eventIntervalMs: WORK_MS / 24 } : { workMs: WORK_MS })
  }

  async function send ({ path, isModel }: Service): Promise<standIns.callerClient.CallerAnswer> {
    sentRequests += 1
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId: `request-${sentRequests}`,
      apiKey: ACCOUNT.apiKey,
      remainingMs: 14_000,
      model: isModel ? { promptTokens: 90, outputTokens: 100, session: 'a1' } : undefined
    })
    return await standIns.callerClient.send(fleet.hosts[0].callerAddress, path, headers, isModel ? '' : 'order')
  }

  /** Sends as many requests as use all connections, and those that wait. Resolves with the targets and the answers to come once all are sent on. */
  async function occupy (service: Service): Promise<{ targets: TargetServer[], answers: Promise<standIns.callerClient.CallerAnswer[]> }> {
    const targets = fleet.platform.targets.filter((target) => target.options.service === service.service)
    const answers = Promise.all(Array.from({ length: targets.length * (CONNECTIONS_PER_TARGET + WAITING_PER_TARGET) }, async () => await send(service)))
    while (targets.some((target) => target.runs.length < CONNECTIONS_PER_TARGET)) await fleets.sleep(10)
    return { targets, answers }
  }

  const departures: Array<{ name: string, depart: (target: TargetServer) => void }> = [
    { name: 'reports that it is draining', depart: (target) => { fleet.platform.store.putObject('servers', target.options.id, target.registryEntry('draining')) } },
    { name: 'is removed from the list', depart: (target) => { fleet.platform.store.removeObject('servers', target.options.id) } }
  ]
  for (const service of services) {
    for (const { name, depart } of departures) {
      it(`go to a target with room once another ${name}: ${service.name}`, async () => {
        const { targets: [leaving], answers } = await occupy(service)
        const successor = await fleet.platform.addTarget(service.service, 'successor', { ...leaving.options, id: 'successor' })
        depart(leaving)
        const departedAt = performance.now()
        await fleets.sleep(ROOM_MS)
        expect(successor.runs.length, 'requests at the new target').to.be.at.least(CONNECTIONS_PER_TARGET)
        const outcomes = await answers
        expect(leaving.runs.filter((run) => run.startedAt > departedAt + LEAVING_MS), 'late requests').to.have.length(0)
        expect(outcomes.filter((answer) => !answer.isWhole || answer.status !== 200), 'requests not served').to.have.length(0)
      })
    }

    it(`are not sent to a target that wants nothing for a while: ${service.name}`, async () => {
      const { targets: [resting], answers } = await occupy(service)
      resting.fault = TargetFault.full
      resting.retryAfter = String(REST_SECONDS)
      while (resting.receivedRequests === CONNECTIONS_PER_TARGET) await fleets.sleep(10)
      const saidAt = resting.arrivals[CONNECTIONS_PER_TARGET]
      const outcomes = await answers
      const inRest = resting.arrivals.filter((at) => at > saidAt + REST_REACTION_MS && at < saidAt + REST_SECONDS * 1000)
      expect(inRest.length, 'requests in its rest').to.be.at.most(MAXIMUM_REQUESTS_IN_REST)
      expect(outcomes.filter((answer) => !answer.isWhole || answer.status !== 200), 'requests not served').to.have.length(0)
    })
  }
})
