// Clients outside the limits hold what they can of a gateway: bodies that don't end, requests sent ahead, answers unread, silent connections.
// Guards against a process that runs out of memory or descriptors, or no longer answers others.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as usage from '../src/process-usage.js'
import * as fleets from '../src/soak-fleet.js'
import * as crowds from './crowd.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }

/** The options with which the platform starts a gateway. */
const NODE_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']

/** Memory of the host in megabytes, and the bound of what the process occupies. */
const MEMORY_MB = 160

/** Descriptors of the host, and the bound of those that the process opens. */
const MAXIMUM_DESCRIPTORS = 400

const BODY_BYTES = 4 * 1024 * 1024

/** Time for which a crowd stands before an ordinary request is sent, in milliseconds. */
const STANDING_MS = 4000

/** Interval at which memory and descriptors are read, in milliseconds. */
const SAMPLE_INTERVAL_MS = 20

/** Time limit of the routes, in milliseconds. Long, so that what is held is not freed by it. */
const TIMEOUT_MS = 30_000

interface Member extends crowds.Behaviour {
  /** The service that the members ask takes longer than the test. */
  targetIsSlow?: boolean
  answerBytes?: number
  slots?: number
}

const requestHead = (method: string, path: string, index: number, fields: string): string => {
  return `${method} ${path} HTTP/1.1\r\nHost: ${standIns.platformStandIn.ROUTE_HOST}\r\nAttempt-Id: crowd-${index}\r\nApi-Key: ${ACCOUNT.apiKey}\r\nDeadline-Remaining-Ms: ${TIMEOUT_MS}\r\n${fields}\r\n`
}
const upload = (index: number, fields: string): string => requestHead('POST', '/order/1', index, fields)
const chunked = 'Transfer-Encoding: chunked\r\n'
const nothing = { head: '', block: Buffer.alloc(0), bytes: 0, reads: false }

const cases: Array<{ name: string, connections: number, member: (index: number) => Member }> = [
  { name: 'bodies in large chunks that stop short of their end', connections: 60, member: (index) => ({ head: upload(index, chunked), block: crowds.chunkedBlock(16_384), bytes: BODY_BYTES - 70_000, reads: true }) },
  { name: 'bodies in very small chunks that stop short of their end', connections: 60, member: (index) => ({ head: upload(index, chunked), block: crowds.chunkedBlock(16), bytes: 1_300_000, reads: true }) },
  { name: 'bodies of an announced length that stop short of it', connections: 60, member: (index) => ({ head: upload(index, `Content-Length: ${BODY_BYTES}\r\n`), block: Buffer.alloc(65_536, 'x'), bytes: BODY_BYTES - 70_000, reads: true }) },
  { name: 'bodies that are announced over the limit', connections: 60, member: (index) => ({ head: upload(index, 'Content-Length: 1000000000\r\n'), block: Buffer.alloc(65_536, 'x'), bytes: 40_000_000, reads: false }) },
  { name: 'bodies over the limit that are just sent', connections: 60, member: (index) => ({ head: upload(index, chunked), block: crowds.chunkedBlock(16_384), bytes: 40_000_000, reads: false }) },
  { name: 'requests sent ahead to a slow service', connections: 4, member: (index) => ({ ...nothing, block: crowds.repeatedBlock(requestHead('GET', '/stock/1', index, '')), bytes: 12_000_000, targetIsSlow: true }) },
  { name: 'requests sent ahead without the usual headers, answers unread', connections: 8, member: () => ({ ...nothing, block: crowds.repeatedBlock('GET /a HTTP/1.1\r\nHost: a\r\n\r\n'), bytes: 12_000_000 }) },
  { name: 'requests sent ahead without a host, answers unread', connections: 8, member: () => ({ ...nothing, block: crowds.repeatedBlock('GET /a HTTP/1.1\r\n\r\n'), bytes: 12_000_000 }) },
  { name: 'heads without an end', connections: 150, member: () => ({ head: 'GET /stock/1 HTTP/1.1\r\nA: ', block: Buffer.alloc(1000, 'x'), bytes: 60_000, reads: true }) },
  { name: 'heads with thousands of fields', connections: 150, member: () => ({ head: 'GET /stock/1 HTTP/1.1\r\n', block: Buffer.from('a:\r\n'.repeat(250)), bytes: 60_000, reads: true }) },
  { name: 'answers unread in their middle', connections: 100, member: (index) => ({ ...nothing, head: requestHead('GET', '/stock/1', index, ''), answerBytes: 6_000_000 }) },
  { name: 'answers unread to many requests sent ahead', connections: 20, member: (index) => ({ ...nothing, head: requestHead('GET', '/stock/1', index, '').repeat(60), answerBytes: 250_000, slots: 1200 }) },
  { name: 'connections that say nothing', connections: 600, member: () => nothing }
]

describe('a gateway process whose clients hold what they can', () => {
  let fleet: fleets.SoakFleet
  let crowd: crowds.Crowd
  let exits: Array<number | undefined>

  beforeEach(async () => {
    exits = []
    crowd = new crowds.Crowd()
    fleet = new fleets.SoakFleet([ACCOUNT], { memoryMb: MEMORY_MB, maximumDescriptors: MAXIMUM_DESCRIPTORS, nodeOptions: NODE_OPTIONS })
    await fleet.start(1, (_host, code) => { exits.push(code) })
    fleet.platform.configure({ timeoutMs: TIMEOUT_MS, bodyBytes: BODY_BYTES })
    await fleets.sleep(500)
  })
  afterEach(async () => {
    crowd.leave()
    await fleet.stop()
  })

  async function ask (attemptId: string): Promise<standIns.callerClient.CallerAnswer> {
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId, apiKey: ACCOUNT.apiKey, remainingMs: TIMEOUT_MS })
    return await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/order/1', headers, 'order', TIMEOUT_MS)
  }

  for (const { name, connections, member } of cases) {
    it(`lives within its limits and answers others: ${name}`, async () => {
      const { callerAddress, pid } = fleet.hosts[0]
      const { targetIsSlow = false, answerBytes = 0, slots = 32 } = member(0)
      for (const target of fleet.platform.targets) Object.assign(target.options, { answerBytes, slots, workMs: targetIsSlow ? TIMEOUT_MS : 5 })
      let mostMegabytes = 0
      let mostDescriptors = 0
      const sampler = setInterval(() => {
        if (exits.length > 0) return
        mostMegabytes = Math.max(mostMegabytes, usage.readUsage(pid).residentMegabytes)
        mostDescriptors = Math.max(mostDescriptors, usage.openDescriptors(pid))
      }, SAMPLE_INTERVAL_MS)
      try {
        crowd.join(callerAddress, connections, member)
        await fleets.sleep(STANDING_MS)
        for (const target of fleet.platform.targets) Object.assign(target.options, { answerBytes: 0, workMs: 5 })
        const answer = await ask('ordinary')
        expect(exits, 'the process has ended').to.deep.equal([])
        expect(answer.status, answer.body).to.equal(200)
      } finally {
        clearInterval(sampler)
        console.log(`        at most ${Math.round(mostMegabytes)} MB and ${mostDescriptors} descriptors`)
      }
      expect(mostMegabytes, 'megabytes').to.be.below(MEMORY_MB)
      expect(mostDescriptors, 'descriptors').to.be.at.most(MAXIMUM_DESCRIPTORS)
    })
  }
})
