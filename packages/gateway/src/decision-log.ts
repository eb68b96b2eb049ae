import type * as decisions from '@acaciaweir/decisions'
import type * as runtime from '@acaciaweir/runtime'

/** Most lines about single requests in a second; above, they are counted only. */
const LINES_A_SECOND = 400

/** Writes one line a decision about a request, and bounds their number. */
export class DecisionLog {
  readonly #logger: runtime.logging.Logger
  readonly #clock: decisions.clock.Clock
  #secondStartedAt = -Infinity
  #written = 0
  #suppressed = 0

  constructor (logger: runtime.logging.Logger, clock: decisions.clock.Clock) {
    this.#logger = logger
    this.#clock = clock
  }

  write (line: Record<string, unknown>): void {
    const now = this.#clock.now()
    if (now - this.#secondStartedAt >= 1000) this.#startSecond(now)
    if (this.#written >= LINES_A_SECOND) {
      this.#suppressed += 1
      return
    }
    this.#written += 1
    this.#logger.info(line)
  }

  #startSecond (now: number): void {
    if (this.#suppressed > 0) this.#logger.warn({ event: 'lines-suppressed', count: this.#suppressed })
    this.#secondStartedAt = now
    this.#written = 0
    this.#suppressed = 0
  }
}
