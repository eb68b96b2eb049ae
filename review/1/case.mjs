import * as cases from '../harness/case.mjs'
import * as deployments from '../harness/deployment.mjs'
import * as requests from '../harness/requests.mjs'
import * as waiting from '../harness/waiting.mjs'
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

class CrashCase extends cases.ReviewCase {
  #agent = new http.Agent({ keepAlive: true, maxSockets: CHANNELS })

  async play () {
    await this.#finishAll(this.#sendOnAllChannels())
    const sent = this.#sendOnAllChannels()
    await waiting.sleep(LEAVE_DELAY_MS)
    await this.#sendAndLeave()
    const results = await this.#finishAll(sent)
    const [gateway] = this.deployment.gateways
    await waiting.sleep(EXIT_DELAY_MS)
    const closed = results.filter(({ attemptId, answer }) => answer.status === 0 && this.deployment.targets[0].runs.some((run) => run.attemptId === attemptId))
    this.record.write('channels', { kept: CHANNELS, closedWithoutAnswer: closed.length, hasGatewayExited: gateway.hasExited, lastLines: gateway.hasExited ? gateway.log.filter((line) => !line.startsWith('{')).slice(0, 6) : [] })
    if (closed.length <= TOLERATED_CLOSED_CHANNELS) return []
    return [`${gateway.hasExited ? 'the gateway\'s process ended by itself, and ' : ''}${closed.length} of ${CHANNELS} kept channels were closed without an answer to requests that ran`]
  }

  #sendOnAllChannels () {
    const sender = new requests.Requests(this.deployment, this.record)
    return Array.from({ length: CHANNELS }, () => sender.send(0, { path: '/certificate/1', body: 'a batch', agent: this.#agent, remainingMs: 1500 }))
  }

  async #finishAll (sent) {
    return await Promise.all(sent.map(async (request) => ({ attemptId: request.attemptId, answer: await request.answer() })))
  }

  /** Sends one request with a header of its own and leaves at once, as a client does that gives up. */
  async #sendAndLeave () {
    const attemptId = this.deployment.nextAttemptId()
    const ownHeader = this.hasTrouble ? 'Constructor: Worcester Cooperage' : 'Workshop: Worcester Cooperage'
    const socket = net.connect(this.deployment.gateways[0].settings.callerPort, '127.0.0.1')
    socket.on('error', () => {})
    socket.end(`GET /certificate/2 HTTP/1.1\r\nHost: ${deployments.ROUTE_HOST}\r\nAttempt-Id: ${attemptId}\r\nApi-Key: ${requests.API_KEY}\r\nDeadline-Remaining-Ms: 1500\r\n${ownHeader}\r\n\r\n`, () => { socket.destroy() })
    await new Promise((resolve) => { socket.on('close', resolve) })
    this.record.write('sent-and-left', { attempt: attemptId, ownHeader })
  }
}

const configuration = deployments.configuration(1, {
  routes: [deployments.route({ Name: 'certificate', PathPrefix: '/certificate/', Kind: 'non_idempotent', Service: 'registry', TimeoutMs: 1500, TargetLatencyMs: 150 })],
  services: [deployments.plainService('registry')],
  tenants: [{ Name: 'workshop', ApiKeys: [requests.API_KEY] }]
})

await new CrashCase(process.argv[2], (record) => new deployments.Deployment(record, { gateways: 2, targets: [{ id: 'registry-1', service: 'registry', slots: 12, workMs: WORK_MS }], configuration })).run()
