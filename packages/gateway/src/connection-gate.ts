import type * as decisions from '@acaciaweir/decisions'
import type * as runtime from '@acaciaweir/runtime'
import type * as metrics from './gateway-metrics.js'

/** Interval at which the end of a saturation is looked for, in milliseconds. */
const END_CHECK_INTERVAL_MS = 250

export interface ConnectionGateOptions {
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  metrics: metrics.GatewayMetrics
  admission: decisions.connectionAdmission.ConnectionAdmission
  /** Requests that have been read and not started. */
  waitingRequests: () => number
}

/** Shuts the port for callers for moments in which this gateway has no processor time for more connections and others have. */
export class ConnectionGate {
  readonly #options: ConnectionGateOptions
  readonly #listener: runtime.reopenListener.PausableListener
  #endCheck: NodeJS.Timeout | undefined
  #staysOpen = false
  #isPauseDue = false

  constructor (options: ConnectionGateOptions, listener: runtime.reopenListener.PausableListener) {
    this.#options = options
    this.#listener = listener
  }

  /** Takes the time for which a request has waited to be read, in milliseconds. */
  recordReadDelay (readDelayMs: number): void {
    if (this.#staysOpen) return
    const pauseMs = this.#options.admission.recordReadDelay(readDelayMs, this.#options.clock.now())
    if (pauseMs === 0) return
    this.#isPauseDue = true
    // Connections that the event loop has found with this request are still taken.
    setImmediate(() => {
      this.#isPauseDue = false
      if (!this.#staysOpen) this.#listener.pause(pauseMs)
    })
    this.#options.metrics.countConnectionPause(pauseMs / 1000)
    if (this.#endCheck === undefined) this.#recordStart()
  }

  /** Call it for each new connection. */
  recordConnection (): void {
    if (!this.#isPauseDue) this.#options.admission.recordConnection(this.#options.clock.now())
  }

  /** Takes connections from now on, however little time there is. */
  stayOpen (): void {
    this.#staysOpen = true
    this.#listener.resume()
    clearInterval(this.#endCheck)
  }

  #recordStart (): void {
    const { saturation } = this.#options.admission
    this.#options.logger.warn({ event: 'connections-paused', readDelayMs: Math.round(saturation?.readDelayMs ?? 0), waitingRequests: this.#options.waitingRequests(), othersLoad: saturation?.othersLoad })
    this.#endCheck = setInterval(() => { this.#checkEnd() }, END_CHECK_INTERVAL_MS)
    this.#endCheck.unref()
  }

  #checkEnd (): void {
    const now = this.#options.clock.now()
    const ended = this.#options.admission.takeEnded(now)
    if (ended === undefined) return
    clearInterval(this.#endCheck)
    this.#endCheck = undefined
    this.#options.logger.info({
      event: 'connections-resumed',
      milliseconds: Math.round(now - ended.startedAt),
      pauses: ended.pauses,
      pausedMs: Math.round(ended.pausedMs),
      waitingRequests: this.#options.waitingRequests()
    })
  }
}
