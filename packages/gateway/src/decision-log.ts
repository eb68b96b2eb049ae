import type * as decisions from '@acaciaweir/decisions'
import type * as runtime from '@acaciaweir/runtime'

const MAXIMUM_LINES_PER_SECOND = 400

/** Logs one line per request outcome, at most 400 a second. Counts the lines above that and logs only their number. */
export class DecisionLog {
  readonly #logger: runtime.logging.Logger
  readonly #clock: decisions.clock.Clock
  #secondStartedAt = -Infinity
  #writtenLines = 0
  #suppressedLines = 0

  constructor (logger: runtime.logging.Logger, clock: decisions.clock.Clock) {
    this.#logger = logger
    this.#clock = clock
  }

  write (line: Record<string, unknown>): void {
    const now = this.#clock.now()
    if (now - this.#secondStartedAt >= 1000) this.#startSecond(now)
    if (this.#writtenLines >= MAXIMUM_LINES_PER_SECOND) {
      this.#suppressedLines += 1
      return
    }
    this.#writtenLines += 1
    this.#logger.info(line)
  }

  #startSecond (now: number): void {
    if (this.#suppressedLines > 0) this.#logger.warn({ event: 'lines-suppressed', count: this.#suppressedLines })
    this.#secondStartedAt = now
    this.#writtenLines = 0
    this.#suppressedLines = 0
  }
}
