// Guards against a gateway without time that keeps taking connections while another one idles, that cuts what it has taken, that stays shut, or that
// shuts though no other gateway serves.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as http from 'node:http'
import * as net from 'node:net'
import * as fleets from './fleet.js'

const { expect } = chai

/** Time for which each iteration of the event loop is held up, in milliseconds: more than a share of the platform's latency objective. */
const HOLD_UP_MS = 300

const ITERATIONS = 13

describe('a gateway whose requests wait to be read', () => {
  let fleet: fleets.TestFleet

  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })

  afterEach(() => {
    agent.destroy()
    fleet.stop()
  })

  const cases: Array<{ name: string, gateways: number, isLeaving: boolean, refuses: boolean }> = [
    { name: 'takes no new connections for moments, and serves those that it has', gateways: 2, isLeaving: false, refuses: true },
    { name: 'takes connections where it is alone', gateways: 1, isLeaving: false, refuses: false },
    { name: 'takes connections while it leaves, until its time for that is over', gateways: 2, isLeaving: true, refuses: false }
  ]
  for (const { name, gateways, isLeaving, refuses } of cases) {
    it(name, async () => {
      fleet = await fleets.TestFleet.start({ gateways, plainTargets: 1, processorShare: 100 })
      const address = fleet.settings[0].callerListen
      expect(await send(address, agent)).to.equal(200)
      if (isLeaving) void fleet.gateways[0].shutDown()
      const answers: Array<Promise<number>> = []
      const connections: Array<Promise<string>> = []
      for (let iteration = 0; iteration < ITERATIONS; iteration++) {
        answers.push(send(address, agent))
        connections.push(connect(address))
        await holdUp()
      }
      expect((await Promise.all(connections)).includes('ECONNREFUSED')).to.equal(refuses)
      if (isLeaving) return
      expect(await Promise.all(answers)).not.to.include(0)
      await fleets.eventually(async () => await connect(address) === 'open')
    })
  }
})

/** Keeps the event loop of all gateways busy and lets it poll once. */
async function holdUp (): Promise<void> {
  const end = performance.now() + HOLD_UP_MS
  while (performance.now() < end);
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

function send (address: string, agent: http.Agent): Promise<number> {
  const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: String(Math.random()), apiKey: 'key-depot', remainingMs: 30_000 })
  return new Promise((resolve) => {
    const request = http.get(`http://${address}/order/1`, { headers, agent }, (response) => {
      response.resume().on('end', () => { resolve(response.statusCode ?? 0) })
    })
    request.on('error', () => { resolve(0) })
  })
}

function connect (address: string): Promise<string> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), host, () => {
      socket.destroy()
      resolve('open')
    })
    socket.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') })
  })
}
