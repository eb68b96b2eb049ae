import type * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as metrics from 'prom-client'

/** Gauge values, read at each scrape. */
export interface GaugeSource {
  requestsInProgress: () => number
  agreementVersion: () => number
  livePeers: () => number
  heldPromptParts: () => number
  heldBytes: () => Record<string, number>
  waitingBodies: () => number
  callerConnections: () => number
  limitedTargets: () => number
  coldTargets: () => number
  evacuatedZones: () => number
  freeTokens: () => Record<string, number>
  targetRequests: () => Record<string, number>
  targetRoom: () => Record<string, number>
  accountRequests: () => Record<string, number>
  storeCalls: () => platform.objectStore.StoreCallCounts
  droppedLogLines: () => number
}

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.3, 0.6, 0.91, 1.5, 3, 6, 15]

/** A gateway's counters, gauges and latency histograms, and the port that serves them to Prometheus. */
export class GatewayMetrics {
  readonly #server = new runtime.metricsServer.MetricsServer()
  readonly #requests: metrics.Counter
  readonly #requestSeconds: metrics.Histogram
  readonly #firstEventSeconds: metrics.Histogram
  readonly #readDelaySeconds: metrics.Histogram
  readonly #connectionDrops: metrics.Counter
  readonly #connectionPauses: metrics.Counter
  readonly #connectionPauseSeconds: metrics.Counter
  readonly #permits: metrics.Counter
  readonly #closedConnections: metrics.Counter
  readonly #choices: metrics.Counter
  readonly #budgetRefusals: metrics.Counter
  readonly #fullServices: metrics.Counter

  constructor (source: GaugeSource) {
    const registers = [this.#server.registry]
    const buckets = LATENCY_BUCKETS_SECONDS
    this.#requests = new metrics.Counter({ name: 'acaciaweir_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers })
    this.#requestSeconds = new metrics.Histogram({ name: 'acaciaweir_request_seconds', help: 'Time to the end of the answer', buckets, registers })
    this.#firstEventSeconds = new metrics.Histogram({ name: 'acaciaweir_first_event_seconds', help: 'Time to the first event of a stream', buckets, registers })
    this.#readDelaySeconds = new metrics.Histogram({ name: 'acaciaweir_read_delay_seconds', help: 'Longest time for which a request can have waited to be read', buckets, registers })
    this.#connectionDrops = new metrics.Counter({ name: 'acaciaweir_connection_drops_total', help: 'Times that the connections waiting to be accepted were dropped', registers })
    this.#connectionPauses = new metrics.Counter({ name: 'acaciaweir_connection_pauses_total', help: 'Times that no new connections were taken for want of processor time', registers })
    this.#connectionPauseSeconds = new metrics.Counter({ name: 'acaciaweir_connection_pause_seconds_total', help: 'Time for which no new connections were taken for want of processor time', registers })
    this.#permits = new metrics.Counter({ name: 'acaciaweir_target_permits_total', help: 'Permits asked for, for targets that name a limit or are cold', labelNames: ['outcome'], registers })
    this.#closedConnections = new metrics.Counter({ name: 'acaciaweir_closed_connections_total', help: 'Connections of callers that were closed to bound what they hold', labelNames: ['reason'], registers })
    this.#server.addLabelledGauge('acaciaweir_held_bytes', 'Memory that is held for callers', 'part', source.heldBytes)
    this.#server.addGauge('acaciaweir_waiting_bodies', 'Request bodies that are not read on for want of memory', source.waitingBodies)
    this.#server.addGauge('acaciaweir_caller_connections', 'Open connections of callers', source.callerConnections)
    this.#choices = new metrics.Counter({ name: 'acaciaweir_target_choices_total', help: 'Choices of a target by reason', labelNames: ['reason'], registers })
    this.#server.addLabelledGauge('acaciaweir_target_requests', 'Requests in flight at a target from all gateways, as estimated', 'target', source.targetRequests)
    this.#server.addLabelledGauge('acaciaweir_target_room', 'Free slots of a target, as estimated; negative if requests queue there', 'target', source.targetRoom)
    this.#budgetRefusals = new metrics.Counter({ name: 'acaciaweir_budget_refusals_total', help: 'Requests refused for their prepaid budget, by whether it had tokens left as far as known', labelNames: ['outcome', 'budget_left'], registers })
    this.#fullServices = new metrics.Counter({ name: 'acaciaweir_full_service_total', help: 'Requests that a full service made wait or be refused, by rank', labelNames: ['verdict', 'rank'], registers })
    this.#server.addLabelledGauge('acaciaweir_account_requests', 'Requests in progress and waiting for room, of the largest accounts', 'account', source.accountRequests)
    this.#server.addGauge('acaciaweir_limited_targets', 'Targets that name a limit', source.limitedTargets)
    this.#server.addGauge('acaciaweir_cold_targets', 'Targets that are cold', source.coldTargets)
    this.#server.addGauge('acaciaweir_evacuated_zones', 'Zones that an operator has evacuated', source.evacuatedZones)
    this.#server.addGauge('acaciaweir_requests_in_progress', 'Requests in progress', source.requestsInProgress)
    this.#server.addGauge('acaciaweir_agreement_version', 'Version of the agreement in force', source.agreementVersion)
    this.#server.addGauge('acaciaweir_live_peers', 'Other gateways heard lately', source.livePeers)
    this.#server.addGauge('acaciaweir_held_prompt_parts', 'Prompt parts held back because targets crash under them', source.heldPromptParts)
    this.#server.addGauge('acaciaweir_dropped_log_lines', 'Log lines that no reader took in time', source.droppedLogLines)
    this.#server.addLabelledGauge('acaciaweir_free_tokens', 'Free tokens in the pool', 'account', source.freeTokens)
    this.#server.addLabelledGauge('acaciaweir_store_calls', 'Calls to the store since the start', 'kind', source.storeCalls)
  }

  observeRequest (route: string, outcome: string, seconds: number): void {
    this.#requests.inc({ route, outcome })
    this.#requestSeconds.observe(seconds)
  }

  observeFirstEvent (seconds: number): void {
    this.#firstEventSeconds.observe(seconds)
  }

  countChoice (reason: string): void {
    this.#choices.inc({ reason })
  }

  observeReadDelay (seconds: number): void {
    this.#readDelaySeconds.observe(seconds)
  }

  countConnectionDrop (): void {
    this.#connectionDrops.inc()
  }

  countConnectionPause (seconds: number): void {
    this.#connectionPauses.inc()
    this.#connectionPauseSeconds.inc(seconds)
  }

  countClosedConnection (reason: string): void {
    this.#closedConnections.inc({ reason })
  }

  countPermit (outcome: string): void {
    this.#permits.inc({ outcome })
  }

  countBudgetRefusal (outcome: string, isBudgetLeft: boolean): void {
    this.#budgetRefusals.inc({ outcome, budget_left: String(isBudgetLeft) })
  }

  countFullService (verdict: string, rank: number): void {
    this.#fullServices.inc({ verdict, rank: String(rank) })
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.close()
  }
}
