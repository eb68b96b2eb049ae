// Guards against a target that runs another path or query than the caller sent, and against paths that leave the area of the route they were judged by.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as net from 'node:net'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }

const REMAINING_MS = 4000

const DRAWN_PATHS = 60

/** Request targets in the order's area, byte for byte. */
const forwarded = [
  '/order/2f/../3a',
  '/order/./3a',
  '/order/../stock/3a',
  '/order/%2e%2e/stock/3a',
  '/order/%2E%2E%2fstock/3a',
  '/order/..',
  '/order/by-name?name=O\'Brien',
  '/order/O\'Brien',
  '/order/a"b<c>`{d}|^',
  '/order//3a',
  '/order//other.example/3a',
  '/order/a\\..\\b',
  '/order/3a;v=1;w',
  '/order/3a?',
  '/order/3a??a=1?b=/../c',
  '/order/3a?a=%27&a=%2e%2e&b=+',
  '/order/%C3%A9t%c3%a9',
  '/order/%',
  '/order/%zz%00',
  '/order/3a#part'
]

/** Request targets that are no path of a route, or that HTTP does not allow. */
const refused = ['/order/\u00e9\u00ff', '/order/3a?name=\u00e9', '/order/\u0080', '//order/3a', '/./order/3a', '/x/../order/3a', '/%6frder/3a', '\\order\\3a', 'http://plans.example/order/3a', '*']

const segment = fastCheck.string({ unit: fastCheck.constantFrom(...'.%2eE/\\;?&=\'"+~!$()*,:@-_aZ09|^`{}[]<>'), maxLength: 24 })

describe('an odd request target', () => {
  let fleet: fleets.SoakFleet
  let sentRequests = 0

  before(async () => {
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(1, () => {})
    for (const target of fleet.platform.targets) target.options.workMs = 0
  })
  after(async () => { await fleet.stop() })

  /** Sends a request whose target is written as it is. Resolves with the status and the targets that the stand-ins received. */
  async function send (method: string, requestTarget: string): Promise<{ status: number, received: string[] }> {
    sentRequests += 1
    const attemptId = `request-${sentRequests}`
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId, apiKey: ACCOUNT.apiKey, remainingMs: REMAINING_MS })
    const lines = Object.entries({ ...headers, connection: 'close', 'content-length': '0' }).map(([name, value]) => `${name}: ${value}\r\n`)
    const socket = net.connect(fleet.hosts[0].settings.callerPort, '127.0.0.1')
    socket.write(Buffer.from(`${method} ${requestTarget} HTTP/1.1\r\n${lines.join('')}\r\n`, 'latin1'))
    const chunks: Buffer[] = await socket.toArray()
    const status = Number(Buffer.concat(chunks).toString('latin1').split(' ')[1])
    return { status, received: fleet.platform.runs().filter((run) => run.attemptId === attemptId).map((run) => run.path) }
  }

  for (const method of ['GET', 'POST']) {
    for (const requestTarget of forwarded) {
      it(`reaches the target as it came: ${method} ${requestTarget}`, async () => {
        expect(await send(method, requestTarget)).to.deep.equal({ status: 200, received: [requestTarget] })
      })
    }
  }

  for (const requestTarget of refused) {
    it(`is refused and not run: ${requestTarget}`, async () => {
      const { status, received } = await send('GET', requestTarget)
      expect(status).to.be.within(400, 499)
      expect(received).to.have.length(0)
    })
  }

  it('reaches the target as it came: drawn ones', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(segment, async (rest) => {
      const requestTarget = `/order/${rest}`
      expect(await send('POST', requestTarget)).to.deep.equal({ status: 200, received: [requestTarget] })
    }), { numRuns: DRAWN_PATHS })
  })
})
