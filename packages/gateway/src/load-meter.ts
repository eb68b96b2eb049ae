import type * as decisions from '@acaciaweir/decisions'

/** Time over which the load is measured, in milliseconds. */
const WINDOW_MS = 1000

/** Measures the share of its processor time that this process uses. */
export class LoadMeter {
  readonly #clock: decisions.clock.Clock
  /** Processor time that the process may use, as a share of one core. */
  readonly #processorShare: number
  #startedAt: number
  #usage = process.cpuUsage()
  #load = 0

  constructor (clock: decisions.clock.Clock, processorShare: number) {
    this.#clock = clock
    this.#processorShare = processorShare
    this.#startedAt = clock.now()
  }

  /** Load of the last whole window, 0 to about 1. */
  load (): number {
    const elapsedMs = this.#clock.now() - this.#startedAt
    if (elapsedMs < WINDOW_MS) return this.#load
    const used = process.cpuUsage(this.#usage)
    this.#load = (used.user + used.system) / 1000 / elapsedMs / this.#processorShare
    this.#usage = process.cpuUsage()
    this.#startedAt += elapsedMs
    return this.#load
  }
}
