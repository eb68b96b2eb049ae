import type * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as metrics from 'prom-client'

/** Values read when the metrics are asked for. */
export interface GaugeSource {
  requestsInProgress: () => number
  agreementVersion: () => number
  livePeers: () => number
  freeTokens: () => Record<string, number>
  storeCalls: () => platform.objectStore.StoreCallCounts
  droppedLogLines: () => number
}

/** Bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.3, 0.6, 0.91, 1.5, 3, 6, 15]

/** A gateway's counters and latency histograms, and the port on which they are read. */
export class GatewayMetrics {
  readonly #registry = new metrics.Registry()
  readonly #requests: metrics.Counter
  readonly #latency: metrics.Histogram
  readonly #firstEvent: metrics.Histogram
  readonly #server = new runtime.httpServer.HttpServer(async (_request, response) => {
    response.writeHead(200, { 'content-type': this.#registry.contentType })
    response.end(await this.#registry.metrics())
  })

  constructor (source: GaugeSource) {
    const registers = [this.#registry]
    const buckets = LATENCY_BUCKETS_SECONDS
    this.#requests = new metrics.Counter({ name: 'acaciaweir_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers })
    this.#latency = new metrics.Histogram({ name: 'acaciaweir_request_seconds', help: 'Time to the end of the answer', buckets, registers })
    this.#firstEvent = new metrics.Histogram({ name: 'acaciaweir_first_event_seconds', help: 'Time to the first event of a stream', buckets, registers })
    this.#gauge('acaciaweir_requests_in_progress', 'Requests in progress', source.requestsInProgress)
    this.#gauge('acaciaweir_agreement_version', 'Version of the agreement in force', source.agreementVersion)
    this.#gauge('acaciaweir_live_peers', 'Other gateways heard lately', source.livePeers)
    this.#gauge('acaciaweir_dropped_log_lines', 'Log lines that no reader took in time', source.droppedLogLines)
    this.#labelled('acaciaweir_free_tokens', 'Free tokens in the pool', 'account', source.freeTokens)
    this.#labelled('acaciaweir_store_calls', 'Calls to the store since the start', 'kind', source.storeCalls)
  }

  request (route: string, outcome: string, seconds: number): void {
    this.#requests.inc({ route, outcome })
    this.#latency.observe(seconds)
  }

  firstEvent (seconds: number): void {
    this.#firstEvent.observe(seconds)
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.closeNow()
  }

  #gauge (name: string, help: string, read: () => number): void {
    const gauge: metrics.Gauge = new metrics.Gauge({ name, help, registers: [this.#registry], collect: () => { gauge.set(read()) } })
  }

  #labelled (name: string, help: string, label: string, read: () => Record<string, number>): void {
    const gauge: metrics.Gauge = new metrics.Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.#registry],
      collect: () => { for (const [key, value] of Object.entries(read())) gauge.set({ [label]: key }, value) }
    })
  }
}
