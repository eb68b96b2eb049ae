import type * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as metrics from 'prom-client'

/** Gauge values, read at each scrape. */
export interface GaugeSource {
  openReservations: () => number
  openStreams: () => number
  heldPromptParts: () => number
  witnessedRecords: () => number
  generation: () => number
  recoveringIncarnations: () => number
  unsettledRequests: () => number
  journalAgeMs: () => number
  platformCalls: () => platform.platformClient.CallCounts
}

const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.1, 0.3, 0.91, 2, 5, 15, 60]

const EVENT_LOOP_SAMPLING_INTERVAL_MS = 1000

/** A router's counters, gauges and latency histogram, and the port that serves them to Prometheus. */
export class RouterMetrics {
  readonly #server = new runtime.metricsServer.MetricsServer()
  readonly #requests: metrics.Counter
  readonly #latency: metrics.Histogram

  constructor (source: GaugeSource) {
    const registers = [this.#server.registry]
    this.#requests = new metrics.Counter({ name: 'acaciaweir_requests_total', help: 'Requests by outcome', labelNames: ['outcome'], registers })
    this.#latency = new metrics.Histogram({ name: 'acaciaweir_request_seconds', help: 'Time to the end of the answer', buckets: LATENCY_BUCKETS_SECONDS, registers })
    this.#server.addGauge('acaciaweir_open_reservations', 'Requests that hold a reservation', source.openReservations)
    this.#server.addGauge('acaciaweir_open_streams', 'Streams in progress', source.openStreams)
    this.#server.addGauge('acaciaweir_held_prompt_parts', 'Prompt parts held back because targets crash under them', source.heldPromptParts)
    this.#server.addGauge('acaciaweir_witnessed_records', 'Records that this router holds as a witness', source.witnessedRecords)
    this.#server.addGauge('acaciaweir_configuration_generation', 'Configuration generation in force', source.generation)
    this.#server.addGauge('acaciaweir_recovering_incarnations', 'Ended incarnations that this router is recovering', source.recoveringIncarnations)
    this.#server.addGauge('acaciaweir_unsettled_requests', 'Ended requests whose outcome at the target is not known yet', source.unsettledRequests)
    this.#server.addGauge('acaciaweir_journal_age_milliseconds', 'Time since the journal was last written', source.journalAgeMs)
    this.#server.addLabelledGauge('acaciaweir_platform_calls', 'Calls to the platform since the start, by kind', 'kind', source.platformCalls)
    metrics.collectDefaultMetrics({ register: this.#server.registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_INTERVAL_MS })
  }

  /** Counts a request and records its latency. The outcome is `served` or the tag of a problem. */
  observeRequest (outcome: string, seconds: number): void {
    this.#requests.inc({ outcome })
    this.#latency.observe(seconds)
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.close()
  }
}
