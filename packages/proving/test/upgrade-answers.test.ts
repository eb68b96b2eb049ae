// Guards against requests that are never answered because their target answers 101, or ends its answer before the final status.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

/** Time-out of all routes, and the longest time after it until the final answer, in milliseconds. */
const TIMEOUT_MS = 1500
const ANSWER_SLACK_MS = 500

/** Time for which the callers wait, in milliseconds. */
const PATIENCE_MS = 4000

const REQUESTS = 6

const faults = [TargetFault.unaskedUpgrade, TargetFault.bareUpgrade, TargetFault.interimThenClose, TargetFault.mute, TargetFault.endlessInterimResponses]

const services = [
  { name: 'plain request that may run once', service: 'orders', path: '/order/1', isModel: false, maximumRuns: 1 },
  { name: 'plain request', service: 'orders', path: '/stock/1', isModel: false, maximumRuns: Infinity },
  { name: 'stream', service: 'engines', path: '/plan/1', isModel: true, maximumRuns: Infinity }
]

describe('a target answers without a final status', () => {
  let fleet: fleets.SoakFleet
  let sentRequests = 0

  before(async () => {
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(1, () => {})
    fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
    await fleets.sleep(500)
  })
  after(async () => { await fleet.stop() })

  for (const { name, service, path, isModel, maximumRuns } of services) {
    for (const fault of faults) {
      it(`its caller has a final answer in time: ${name}, ${fault}`, async () => {
        const targets = fleet.platform.targets.filter((target) => target.options.service === service)
        for (const target of targets) target.fault = fault
        const requests = await Promise.all(Array.from({ length: REQUESTS }, async () => {
          sentRequests += 1
          const attemptId = `request-${sentRequests}`
          const headers = standIns.callerClient.callerHeaders({
            host: standIns.platformStandIn.ROUTE_HOST,
            attemptId,
            apiKey: ACCOUNT.apiKey,
            remainingMs: PATIENCE_MS,
            model: isModel ? { promptTokens: 90, outputTokens: 100, session: 'a1' } : undefined
          })
          const startedAt = performance.now()
          const answer = await standIns.callerClient.send(fleet.hosts[0].callerAddress, path, headers, isModel ? '' : 'order', PATIENCE_MS)
          return { attemptId, status: answer.status, milliseconds: performance.now() - startedAt }
        }))
        for (const target of targets) target.fault = TargetFault.none
        for (const { attemptId, status, milliseconds } of requests) {
          expect(status, 'status').to.be.within(500, 599)
          expect(milliseconds, 'time to the answer').to.be.below(TIMEOUT_MS + ANSWER_SLACK_MS)
          const runs = fleet.platform.runs().filter((run) => run.attemptId === attemptId)
          expect(runs.length, 'runs').to.be.within(1, maximumRuns)
        }
      })
    }
  }
})
