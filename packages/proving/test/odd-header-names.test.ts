// A header may have the name of a member that all objects have. Guards against a request with such a header that ends the process and with it
// the requests of other callers, that is refused though it is valid, or that reaches a target without the header.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as examples from '../src/example-manifest.js'
import * as fleets from '../src/fleet.js'
import * as soakFleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }

/** Requests of other callers that are in progress while the odd one comes. */
const NEIGHBOURS = 8

/** Time for which a target works on a request of the neighbours, in milliseconds. */
const WORK_MS = 400

const REMAINING_MS = 4000

const headerNames = ['constructor', '__proto__', 'hasOwnProperty', 'toString', 'valueOf']

/** Returns a header as an own property, whatever its name. */
function oddHeader (name: string): Record<string, string> {
  return Object.fromEntries([[name, 'odd']])
}

/** Sends a request head and closes the connection at once. */
async function sendAndLeave (port: number, path: string, headers: Record<string, string>): Promise<void> {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  const socket = net.connect(port, '127.0.0.1')
  socket.on('error', () => {})
  socket.end(`GET ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`, () => { socket.destroy() })
  await new Promise((resolve) => { socket.on('close', resolve) })
}

describe('a request with a header that is named like a member of every object', () => {
  describe('at a gateway', () => {
    let fleet: soakFleets.SoakFleet
    let exits = 0
    let sentRequests = 0

    before(async () => {
      fleet = new soakFleets.SoakFleet([ACCOUNT])
      await fleet.start(1, () => { exits += 1 })
      for (const target of fleet.platform.targets) target.options.workMs = WORK_MS
    })
    after(async () => { await fleet.stop() })

    function headers (): Record<string, string> {
      sentRequests += 1
      return standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: `request-${sentRequests}`, apiKey: ACCOUNT.apiKey, remainingMs: REMAINING_MS })
    }

    async function sendNeighbours (): Promise<standIns.callerClient.CallerAnswer[]> {
      return await Promise.all(Array.from({ length: NEIGHBOURS }, async () => await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/order/1', headers(), 'order')))
    }

    for (const name of headerNames) {
      it(`does no harm to other requests if its caller leaves: ${name}`, async () => {
        const neighbours = sendNeighbours()
        await soakFleets.sleep(WORK_MS / 4)
        await sendAndLeave(fleet.hosts[0].settings.callerPort, '/stock/1', { ...headers(), ...oddHeader(name) })
        const answers = await neighbours
        expect(answers.map(({ status, isWhole }) => ({ status, isWhole }))).to.deep.equal(Array.from({ length: NEIGHBOURS }, () => ({ status: 200, isWhole: true })))
        expect(exits).to.equal(0)
      })

      it(`is served with the header: ${name}`, async () => {
        const own = { ...headers(), ...oddHeader(name) }
        const answer = await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/order/1', own, 'order')
        expect(answer.status).to.equal(200)
        const run = fleet.platform.runs().find(({ attemptId }) => attemptId === own['attempt-id'])
        expect(run?.headerNames).to.include(name.toLowerCase())
      })
    }
  })

  describe('at a router', () => {
    let fleet: fleets.Fleet

    before(async () => {
      fleet = new fleets.Fleet('odd-header-names', {
        availabilityZones: ['zone-a'],
        routers: 1,
        engines: 1,
        services: 0,
        accounts: 1,
        totalTokens: 1_000_000_000,
        capTokens: 1_000_000_000,
        slots: 64,
        firstTokenMs: WORK_MS,
        tokenIntervalMs: 5,
        extraBudgets: 0,
        routerSettings: { 'allotment-minimum-tokens': 1_000_000 }
      }, 1)
      await fleet.start()
    })
    after(async () => { await fleet.stop() })

    function headers (): Record<string, string> {
      return { authorization: `Bearer ${examples.exampleApiKey(fleet.accounts[0])}`, 'content-type': 'application/json' }
    }

    async function send (ownHeaders: Record<string, string>): Promise<standIns.callerClient.CallerAnswer> {
      const body = JSON.stringify({ model: 'advisor', max_tokens: 5, messages: [{ role: 'user', content: 'question' }] })
      return await standIns.callerClient.send(new URL(fleet.routers[0].callerAddress).host, '/v1/chat/completions', ownHeaders, body)
    }

    for (const name of headerNames) {
      it(`does no harm to other requests if its caller leaves, and is served if it stays: ${name}`, async () => {
        const neighbours = Promise.all(Array.from({ length: NEIGHBOURS }, async () => await send(headers())))
        await soakFleets.sleep(WORK_MS / 4)
        await sendAndLeave(Number(new URL(fleet.routers[0].callerAddress).port), '/v1/entry-hosts', { host: 'router', ...headers(), ...oddHeader(name) })
        const own = await send({ ...headers(), ...oddHeader(name) })
        const answers = await neighbours
        expect([...answers, own].map(({ status, isWhole }) => ({ status, isWhole }))).to.deep.equal(Array.from({ length: NEIGHBOURS + 1 }, () => ({ status: 200, isWhole: true })))
      })
    }
  })
})
