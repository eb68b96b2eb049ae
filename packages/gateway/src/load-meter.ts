import type * as decisions from '@acaciaweir/decisions'

const LOAD_WINDOW_MS = 1000

/** Measures this process's processor time as a share of the time that it may use. */
export class LoadMeter {
  readonly #clock: decisions.clock.Clock
  /** Processor time that the process may use, as a share of one core. */
  readonly #processorShare: number
  #windowStartedAt: number
  #usageAtWindowStart = process.cpuUsage()
  #load = 0

  constructor (clock: decisions.clock.Clock, processorShare: number) {
    this.#clock = clock
    this.#processorShare = processorShare
    this.#windowStartedAt = clock.now()
  }

  /** Returns the load over the last complete window, from 0 to about 1. */
  load (): number {
    const elapsedMs = this.#clock.now() - this.#windowStartedAt
    if (elapsedMs < LOAD_WINDOW_MS) return this.#load
    const windowUsage = process.cpuUsage(this.#usageAtWindowStart)
    this.#load = (windowUsage.user + windowUsage.system) / 1000 / elapsedMs / this.#processorShare
    this.#usageAtWindowStart = process.cpuUsage()
    this.#windowStartedAt += elapsedMs
    return this.#load
  }
}
