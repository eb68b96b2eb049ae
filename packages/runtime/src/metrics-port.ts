import * as metrics from 'prom-client'
import * as httpServer from './http-server.js'

/** A process's metrics and the port on which they are read. */
export class MetricsPort {
  readonly registry = new metrics.Registry()
  readonly #server = new httpServer.HttpServer(async (_request, response) => {
    response.writeHead(200, { 'content-type': this.registry.contentType })
    response.end(await this.registry.metrics())
  })

  /** Adds a gauge that is read when the metrics are asked for. */
  gauge (name: string, help: string, read: () => number): void {
    const gauge: metrics.Gauge = new metrics.Gauge({ name, help, registers: [this.registry], collect: () => { gauge.set(read()) } })
  }

  /** Adds a gauge with a value for each label. */
  labelledGauge (name: string, help: string, label: string, read: () => Record<string, number>): void {
    const gauge: metrics.Gauge = new metrics.Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => { for (const [key, value] of Object.entries(read())) gauge.set({ [label]: key }, value) }
    })
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.closeNow()
  }
}
