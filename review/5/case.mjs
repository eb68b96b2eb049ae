import * as cases from '../harness/case.mjs'
import * as deployments from '../harness/deployment.mjs'
import * as requests from '../harness/requests.mjs'
import * as waiting from '../harness/waiting.mjs'

const MODEL = { promptTokens: 600, outputTokens: 384 }
const GATEWAYS = 8

/** Channels that each replica accepts from all gateways together. */
const MAXIMUM_CONNECTIONS = 110

/** The 12 channels that one of eight gateways opens to a replica, for two replicas, and half as many requests again that wait for a channel. */
const REQUESTS = 36
const CHANNELS_PER_REPLICA = 12

/** DrainMs of the settings. */
const DRAIN_MS = 2000

/** Time for which the replica serves after its report, in milliseconds: DrainMs and a little longer. */
const REPLICA_EXIT_DELAY_MS = 2500

/** Longest gap before a piece after which a client abandons a stream with an objective of 600 ms, in milliseconds. */
const CLIENT_PATIENCE_MS = 2400

class DrainCase extends cases.ReviewCase {
  async play () {
    const sender = new requests.Requests(this.deployment, this.record)
    const [leaving] = this.deployment.targets
    const burst = Array.from({ length: REQUESTS }, () => sender.send(0, { path: '/plan/1', model: MODEL, patienceMs: CLIENT_PATIENCE_MS }))
    await waiting.until(() => leaving.runs.length >= CHANNELS_PER_REPLICA, 'the replica runs requests on all channels')
    this.record.write('running', { target: leaving.options.id, requests: leaving.runs.length })
    const acknowledgedAt = performance.now()
    if (this.hasTrouble) {
      this.deployment.store.putObject('servers', leaving.options.id, leaving.registryEntry('draining'))
      this.record.write('draining', { target: leaving.options.id })
      setTimeout(() => {
        this.record.write('exit', { target: leaving.options.id })
        leaving.crash()
      }, REPLICA_EXIT_DELAY_MS)
    }
    const answers = await Promise.all(burst.map(async (request) => ({ attemptId: request.attemptId, ...await request.answer() })))
    const lateRuns = leaving.runs.filter(({ startedAt }) => startedAt > acknowledgedAt + DRAIN_MS)
    for (const run of lateRuns) this.record.write('late-run', { attempt: run.attemptId, afterAcknowledgementMs: Math.round(run.startedAt - acknowledgedAt) })
    if (!this.hasTrouble || lateRuns.length === 0) return []
    const lost = lateRuns.filter(({ attemptId }) => answers.some((answer) => answer.attemptId === attemptId && !answer.isWhole && !answer.hasGivenUp))
    return [`${lateRuns.length} requests reached the replica later than ${DRAIN_MS} ms after the store had acknowledged that it is draining; ${lost.length} of them were cut off by its exit`]
  }
}

const configuration = deployments.configuration(1, {
  routes: [deployments.route({ Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', Service: 'engines', Sticky: true, GapTargetMs: 250 })],
  services: [{ ...deployments.engineService('engines'), MaxConnections: MAXIMUM_CONNECTIONS }],
  tenants: [{ Name: 'depot', ApiKeys: [requests.API_KEY], Prepaid: 10_000_000 }]
})

await new DrainCase(process.argv[2], (record) => new deployments.Deployment(record, {
  gateways: GATEWAYS,
  targets: [1, 2].map((number) => ({ id: `engines-${number}`, service: 'engines', events: 64, eventIntervalMs: 34 })),
  configuration
})).run()
