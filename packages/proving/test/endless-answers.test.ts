// Targets send bytes without end, in place of a head or in a body. Guards against a gateway that buffers them until it runs out of memory,
// holds the caller past its time limit, or passes them on as a whole answer.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as usage from '../src/process-usage.js'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { TargetFault } = standIns.targetServer

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }

/** Time limit of the routes, in milliseconds. */
const TIMEOUT_MS = 1500

/** Time after the time limit by which the caller must have its answer and the target's connection must be closed, in milliseconds. */
const END_SLACK_MS = 500

const CONCURRENT_REQUESTS = 4

/** Bytes that a gateway may hold for all requests of a case, in megabytes: a small part of the memory of the smallest hosts. */
const MAXIMUM_GROWTH_MEGABYTES = 40

/** Requests of each kind before the first case. */
const WARM_UP_REQUESTS = 100

interface RequestKind {
  name: string
  path: string
  body: string
  isModel: boolean
}

const faults = [TargetFault.endlessGarbage, TargetFault.endlessBlankLines, TargetFault.endlessHeader, TargetFault.endlessInterimResponses, TargetFault.endlessBody, TargetFault.endlessChunks]
const kinds: RequestKind[] = [
  { name: 'a request that may run once', path: '/order/', body: 'order', isModel: false },
  { name: 'a repeatable request', path: '/stock/', body: '', isModel: false },
  { name: 'a stream', path: '/plan/', body: 'plan', isModel: true }
]

describe('a target that answers without end', () => {
  let fleet: fleets.SoakFleet

  before(async () => {
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(1, () => {})
    fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
    await fleets.sleep(500)
    // The growth of a case must not include what a process allocates for its first requests.
    for (let count = 0; count < WARM_UP_REQUESTS; count++) await Promise.all(kinds.map(async (kind) => await send(`warm-up-${count}`, kind)))
  })
  after(async () => { await fleet.stop() })

  async function send (attemptId: string, { path, body, isModel }: RequestKind): Promise<standIns.callerClient.CallerAnswer> {
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId: `${attemptId}-${path}`,
      apiKey: ACCOUNT.apiKey,
      remainingMs: TIMEOUT_MS + END_SLACK_MS,
      model: isModel ? { promptTokens: 90, outputTokens: 10, session: 'a1' } : undefined
    })
    return await standIns.callerClient.send(fleet.hosts[0].callerAddress, `${path}x`, headers, body, TIMEOUT_MS + END_SLACK_MS)
  }

  for (const fault of faults) {
    for (const kind of kinds) {
      it(`is cut off in time, in flat memory and never passed on as whole: ${fault} for ${kind.name}`, async () => {
        const { targets } = fleet.platform
        for (const target of targets) target.fault = fault
        const pid = fleet.hosts[0].pid
        const megabytesBefore = usage.readUsage(pid).residentMegabytes
        let mostMegabytes = 0
        const sampler = setInterval(() => { mostMegabytes = Math.max(mostMegabytes, usage.readUsage(pid).residentMegabytes) }, 50)
        const startedAt = performance.now()
        const requests = Array.from({ length: CONCURRENT_REQUESTS }, async (_value, index) => {
          return await send(`${fault}-${index}`, kind)
        })
        const answers = await Promise.all(requests)
        const elapsedMs = performance.now() - startedAt
        clearInterval(sampler)
        for (const target of targets) target.fault = TargetFault.none
        await fleets.sleep(END_SLACK_MS)

        for (const answer of answers) {
          expect(answer.body).to.not.equal('gave up')
          expect(answer.status === 200 && answer.isWhole, 'passed on as whole').to.equal(false)
        }
        expect(elapsedMs).to.be.below(TIMEOUT_MS + END_SLACK_MS)
        expect(targets.filter((target) => target.endlessAnswers > 0)).to.deep.equal([])
        expect(mostMegabytes - megabytesBefore).to.be.below(MAXIMUM_GROWTH_MEGABYTES)
      })
    }
  }
})
