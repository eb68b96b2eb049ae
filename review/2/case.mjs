import * as harness from './harness.mjs'

const MODEL = { promptTokens: 600, outputTokens: 384 }
const EVENTS = 64

/** A stream takes 5 s. Its gaps are far below the 250 ms for which a stream is still on time. */
const EVENT_INTERVAL_MS = 78

/** Times after SIGTERM at which clients open new channels, in milliseconds. */
const SEND_TIMES_MS = [3500, 4000, 4300]

/** Some clients keep the directory's answer for three times its lifetime. */
const KEPT_LIFETIMES = 3

/** Longest gap before a piece after which a client abandons a stream with an objective of 600 ms, in milliseconds. */
const CLIENT_PATIENCE_MS = 2400

class TerminationCase extends harness.ReviewCase {
  async play () {
    const sender = new harness.Requests(this.deployment, this.record)
    const [gateway] = this.deployment.gateways
    const directory = await gateway.resolve()
    if (!directory.Addresses.includes(gateway.callerAddress) || directory.TtlS * KEPT_LIFETIMES * 1000 < SEND_TIMES_MS.at(-1)) throw new harness.CaseError('no client would know the address for so long')
    if (this.hasTrouble) gateway.signal('SIGTERM')
    const startedAt = performance.now()
    const sent = []
    for (const sendTimeMs of SEND_TIMES_MS) {
      await harness.sleep(sendTimeMs - (performance.now() - startedAt))
      sent.push({ sendTimeMs, request: sender.send(0, { path: '/plan/1', model: MODEL, patienceMs: CLIENT_PATIENCE_MS }) })
    }
    const breaches = []
    for (const { sendTimeMs, request } of sent) {
      const answer = await request.answer()
      const run = this.deployment.targets[0].runs.find(({ attemptId }) => attemptId === request.attemptId)
      const events = harness.countEvents(answer.body)
      this.record.write('run', { attempt: request.attemptId, hasRun: run !== undefined, wasCancelled: run?.wasCancelled, receivedEvents: events })
      if (answer.hasGivenUp) throw new harness.CaseError('the client gave up')
      if (run?.wasCancelled === true && !(answer.isWhole && events === EVENTS)) breaches.push(`a request sent ${sendTimeMs} ms after SIGTERM was passed on to a replica, and its channel ended after ${events} of ${EVENTS} events`)
    }
    return breaches
  }
}

const configuration = harness.configuration(1, {
  routes: [harness.route({ Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', Service: 'engines', Sticky: true, GapTargetMs: 250 })],
  services: [harness.engineService('engines')],
  tenants: [{ Name: 'depot', ApiKeys: [harness.API_KEY], Prepaid: 1_000_000 }]
})

await new TerminationCase(process.argv[2], (record) => new harness.Deployment(record, {
  gateways: 3,
  targets: [{ id: 'engines-1', service: 'engines', events: EVENTS, eventIntervalMs: EVENT_INTERVAL_MS }],
  configuration
})).run()
