import * as metrics from 'prom-client'
import * as httpServer from './http-server.js'

/** Holds the metrics of a process and serves them over HTTP in the Prometheus format. */
export class MetricsServer {
  readonly registry = new metrics.Registry()
  readonly #server = new httpServer.HttpServer(async (_request, response) => {
    response.writeHead(200, { 'content-type': this.registry.contentType })
    response.end(await this.registry.metrics())
  })

  /** Adds a gauge whose value is read whenever the metrics are scraped. */
  addGauge (name: string, help: string, read: () => number): void {
    const gauge: metrics.Gauge = new metrics.Gauge({ name, help, registers: [this.registry], collect: () => { gauge.set(read()) } })
  }

  /** Adds a gauge with one value per label value. `read` returns the values by label value. */
  addLabelledGauge (name: string, help: string, label: string, read: () => Record<string, number>): void {
    const gauge: metrics.Gauge = new metrics.Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => {
        // A value whose label is gone would be exported for ever.
        gauge.reset()
        for (const [labelValue, value] of Object.entries(read())) gauge.set({ [label]: labelValue }, value)
      }
    })
  }

  /** Starts listening and resolves with the port; port 0 selects a free one. */
  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.closeNow()
  }
}
