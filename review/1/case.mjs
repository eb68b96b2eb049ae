import * as harness from './harness.mjs'
import * as http from 'node:http'
import * as net from 'node:net'

const CHANNELS = 8

/** Channels that a machine in touch may close without an answer. */
const TOLERATED_CLOSED_CHANNELS = 3

/** Time for which a replica works on a request, in milliseconds, and the time after the requests at which the other client leaves. */
const WORK_MS = 450
const LEAVE_DELAY_MS = 200

/** Time after the answers at which the gateway's process has ended if it ends by itself, in milliseconds. */
const EXIT_DELAY_MS = 1000

class CrashCase extends harness.ReviewCase {
  #agent = new http.Agent({ keepAlive: true, maxSockets: CHANNELS })

  async play () {
    await this.#finishAll(this.#sendOnAllChannels())
    const sent = this.#sendOnAllChannels()
    await harness.sleep(LEAVE_DELAY_MS)
    await this.#sendAndLeave()
    const results = await this.#finishAll(sent)
    const [gateway] = this.deployment.gateways
    await harness.sleep(EXIT_DELAY_MS)
    const closed = results.filter(({ attemptId, answer, isOnKeptChannel }) => answer.status === 0 && isOnKeptChannel && this.deployment.targets[0].runs.some((run) => run.attemptId === attemptId))
    this.record.write('channels', { kept: CHANNELS, closedWithoutAnswer: closed.length, hasGatewayExited: gateway.hasExited, lastLines: gateway.hasExited ? gateway.log.filter((line) => !line.startsWith('{')).slice(0, 6) : [] })
    if (closed.length <= TOLERATED_CLOSED_CHANNELS) return []
    return [`${gateway.hasExited ? 'the gateway\'s process ended by itself, and ' : ''}${closed.length} of ${CHANNELS} kept channels were closed without an answer to requests that ran`]
  }

  #sendOnAllChannels () {
    const sender = new harness.Requests(this.deployment, this.record)
    return Array.from({ length: CHANNELS }, () => sender.send(0, { path: '/certificate/1', body: 'a batch', agent: this.#agent, remainingMs: 1500 }))
  }

  async #finishAll (sent) {
    return await Promise.all(sent.map(async (request) => ({ attemptId: request.attemptId, answer: await request.answer(), isOnKeptChannel: request.isOnKeptChannel })))
  }

  /** Sends one request with a header of its own and leaves at once, as a client does that gives up. */
  async #sendAndLeave () {
    const attemptId = this.deployment.nextAttemptId()
    const ownHeader = this.hasTrouble ? 'Constructor: Worcester Cooperage' : 'Workshop: Worcester Cooperage'
    const socket = net.connect(this.deployment.gateways[0].settings.callerPort, '127.0.0.1')
    socket.on('error', () => {})
    socket.end(`GET /certificate/2 HTTP/1.1\r\nHost: ${harness.ROUTE_HOST}\r\nAttempt-Id: ${attemptId}\r\nApi-Key: ${harness.API_KEY}\r\nDeadline-Remaining-Ms: 1500\r\n${ownHeader}\r\n\r\n`, () => { socket.destroy() })
    await new Promise((resolve) => { socket.on('close', resolve) })
    this.record.write('sent-and-left', { attempt: attemptId, ownHeader })
  }
}

const configuration = harness.configuration(1, {
  routes: [harness.route({ Name: 'certificate', PathPrefix: '/certificate/', Kind: 'non_idempotent', Service: 'registry', TimeoutMs: 1500, TargetLatencyMs: 150 })],
  services: [harness.plainService('registry')],
  tenants: [{ Name: 'workshop', ApiKeys: [harness.API_KEY] }]
})

await new CrashCase(process.argv[2], (record) => new harness.Deployment(record, { gateways: 2, targets: [{ id: 'registry-1', service: 'registry', slots: 12, workMs: WORK_MS }], configuration })).run()
