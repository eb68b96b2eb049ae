import * as harness from './harness.mjs'

const MODEL = { promptTokens: 600, outputTokens: 384 }
const GATEWAYS = 8
const REPLICAS = 3

/** Channels that each replica accepts from all gateways together. */
const MAXIMUM_CONNECTIONS = 110

/** The 12 channels that one of eight gateways opens to a replica, for each replica, and half as many requests again that wait for a channel. */
const CHANNELS_PER_REPLICA = 12
const REQUESTS = REPLICAS * CHANNELS_PER_REPLICA * 1.5

/** DrainMs of the settings. */
const DRAIN_MS = 2000

/** Time for which the replica serves after its report, in milliseconds: DrainMs and a little longer. */
const REPLICA_EXIT_DELAY_MS = 2500

/** Longest gap before a piece after which a client abandons a stream with an objective of 600 ms, in milliseconds. */
const CLIENT_PATIENCE_MS = 2400

const STREAM = { service: 'engines', events: 64, eventIntervalMs: 33 }

/** One replica of three is replaced: the new one starts first, the old one drains. */
class DrainCase extends harness.ReviewCase {
  async play () {
    const sender = new harness.Requests(this.deployment, this.record)
    const [leaving] = this.deployment.targets
    const sent = Array.from({ length: REQUESTS }, () => sender.send(0, { path: '/plan/1', model: MODEL, patienceMs: CLIENT_PATIENCE_MS }))
    await harness.until(() => leaving.runs.length >= CHANNELS_PER_REPLICA, 'the replica runs requests on all channels')
    const acknowledgedAt = this.hasTrouble ? await this.#replace(leaving) : Infinity
    const answers = await Promise.all(sent.map(async (request) => ({ attemptId: request.attemptId, ...await request.answer() })))
    const lateRuns = leaving.runs.filter(({ startedAt }) => startedAt > acknowledgedAt + DRAIN_MS)
    for (const run of lateRuns) this.record.write('late-run', { attempt: run.attemptId, afterAcknowledgementMs: Math.round(run.startedAt - acknowledgedAt) })
    if (lateRuns.length === 0) return []
    const lost = lateRuns.filter(({ attemptId }) => answers.some((answer) => answer.attemptId === attemptId && !answer.isWhole && !answer.hasGivenUp))
    return [`${lateRuns.length} requests reached the replica later than ${DRAIN_MS} ms after the store had acknowledged that it is draining; ${lost.length} of them were cut off by its exit`]
  }

  /** Resolves with the time at which the store acknowledged the report of the leaving replica. */
  async #replace (leaving) {
    const successor = await this.deployment.addTarget({ ...STREAM, id: 'engines-next' })
    this.record.write('started', { target: successor.options.id })
    this.deployment.store.putObject('servers', leaving.options.id, leaving.registryEntry('draining'))
    const acknowledgedAt = performance.now()
    this.record.write('draining', { target: leaving.options.id })
    setTimeout(() => {
      this.record.write('exit', { target: leaving.options.id })
      leaving.crash()
    }, REPLICA_EXIT_DELAY_MS)
    return acknowledgedAt
  }
}

const configuration = harness.configuration(1, {
  routes: [harness.route({ Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', Service: 'engines', Sticky: true, GapTargetMs: 250 })],
  services: [{ ...harness.engineService('engines'), MaxConnections: MAXIMUM_CONNECTIONS }],
  tenants: [{ Name: 'depot', ApiKeys: [harness.API_KEY], Prepaid: 10_000_000 }]
})

await new DrainCase(process.argv[2], (record) => new harness.Deployment(record, {
  gateways: GATEWAYS,
  targets: Array.from({ length: REPLICAS }, (_value, index) => ({ ...STREAM, id: `engines-${index + 1}` })),
  configuration
})).run()
