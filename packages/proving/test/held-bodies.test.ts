// Guards against bodies below the size of large ones that together take all room, and against honest uploads that are refused for a pause of the gateway's own.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as usage from '../src/process-usage.js'
import * as fleets from '../src/soak-fleet.js'
import * as crowds from './crowd.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }
const NODE_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']
const MEMORY_MB = 160
const MAXIMUM_DESCRIPTORS = 1400
const BODY_BYTES = 4 * 1024 * 1024
const CONNECTIONS = 520
const STANDING_MS = 4000
const TIMEOUT_MS = 30_000
const UPLOADERS = 12
const PIECES = 40
const PIECE_INTERVAL_MS = 100

function requestHead (attemptId: string, bytes: number): string {
  return `POST /order/1 HTTP/1.1\r\nHost: ${standIns.platformStandIn.ROUTE_HOST}\r\nAttempt-Id: ${attemptId}\r\nApi-Key: ${ACCOUNT.apiKey}\r\nDeadline-Remaining-Ms: ${TIMEOUT_MS}\r\nContent-Length: ${bytes}\r\n\r\n`
}

/** Sends a body of 4 MB in even pieces within four seconds, and returns the first line of the answer. */
async function upload (address: string, attemptId: string): Promise<string> {
  const [host, port] = address.split(':')
  const socket = net.connect(Number(port), host)
  const received: string[] = []
  socket.on('data', (chunk) => { received.push(chunk.toString()) }).on('error', (error) => { received.push(error.message) })
  socket.write(requestHead(attemptId, BODY_BYTES))
  for (let piece = 0; piece < PIECES; piece += 1) {
    const end = Math.floor(BODY_BYTES * (piece + 1) / PIECES)
    socket.write(Buffer.alloc(end - Math.floor(BODY_BYTES * piece / PIECES), 'x'))
    await fleets.sleep(PIECE_INTERVAL_MS)
  }
  const until = Date.now() + TIMEOUT_MS
  while (received.length === 0 && Date.now() < until) await fleets.sleep(PIECE_INTERVAL_MS)
  socket.destroy()
  return received.join('').split('\r\n')[0]
}

describe('a gateway process that many bodies are sent to', () => {
  let fleet: fleets.SoakFleet
  let crowd: crowds.Crowd
  let exits: Array<number | undefined>
  let mostMegabytes: number
  let mostDescriptors: number
  let sampler: NodeJS.Timeout

  beforeEach(async () => {
    exits = []
    mostMegabytes = 0
    mostDescriptors = 0
    crowd = new crowds.Crowd()
    fleet = new fleets.SoakFleet([ACCOUNT], { memoryMb: MEMORY_MB, maximumDescriptors: MAXIMUM_DESCRIPTORS, nodeOptions: NODE_OPTIONS })
    await fleet.start(1, (_host, code) => { exits.push(code) })
    fleet.platform.configure({ timeoutMs: TIMEOUT_MS, bodyBytes: BODY_BYTES })
    await fleets.sleep(500)
    sampler = setInterval(() => {
      if (exits.length > 0) return
      mostMegabytes = Math.max(mostMegabytes, usage.readUsage(fleet.hosts[0].pid).residentMegabytes)
      mostDescriptors = Math.max(mostDescriptors, usage.openDescriptors(fleet.hosts[0].pid))
    }, 20)
  })
  afterEach(async () => {
    clearInterval(sampler)
    console.log(`        at most ${Math.round(mostMegabytes)} MB and ${mostDescriptors} descriptors`)
    crowd.leave()
    await fleet.stop()
  })

  function expectWithinLimits (): void {
    expect(exits, 'the process has ended').to.deep.equal([])
    expect(mostMegabytes, 'megabytes').to.be.below(MEMORY_MB)
    expect(mostDescriptors, 'descriptors').to.be.at.most(MAXIMUM_DESCRIPTORS)
  }

  it('lives within its limits and answers others: one byte each of ordinary bodies', async () => {
    const { callerAddress } = fleet.hosts[0]
    crowd.join(callerAddress, CONNECTIONS, (index) => ({ head: requestHead(`crowd-${index}`, 65_535), block: Buffer.from('x'), bytes: 1, reads: true }))
    await fleets.sleep(STANDING_MS)
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: 'ordinary', apiKey: ACCOUNT.apiKey, remainingMs: TIMEOUT_MS })
    const answer = await standIns.callerClient.send(callerAddress, '/order/1', headers, 'order', TIMEOUT_MS)
    expect(answer.status, answer.body).to.equal(200)
    expectWithinLimits()
  })

  it('answers all honest uploads', async () => {
    const lines = await Promise.all(Array.from({ length: UPLOADERS }, (_, index) => upload(fleet.hosts[0].callerAddress, `upload-${index}`)))
    expect(lines).to.deep.equal(Array.from({ length: UPLOADERS }, () => 'HTTP/1.1 200 OK'))
    expectWithinLimits()
  })
})
