import type * as decisions from '@acaciaweir/decisions'
import type * as runtime from '@acaciaweir/runtime'

/** What a line reports. Each has its own share of the log, so that many refusals do not displace the few lost answers. */
export const LineKind = { ordinary: 'ordinary', lostAnswer: 'lost-answer' } as const
export type LineKind = typeof LineKind[keyof typeof LineKind]

const MAXIMUM_LINES_PER_SECOND: Record<LineKind, number> = { [LineKind.ordinary]: 400, [LineKind.lostAnswer]: 200 }

/** Logs one line per request outcome, up to a limit per second for each kind. Counts the lines above that and logs only their number. */
export class DecisionLog {
  readonly #logger: runtime.logging.Logger
  readonly #clock: decisions.clock.Clock
  #secondStartedAt = -Infinity
  #lines = new Map<LineKind, number>()

  constructor (logger: runtime.logging.Logger, clock: decisions.clock.Clock) {
    this.#logger = logger
    this.#clock = clock
  }

  write (line: Record<string, unknown>, kind: LineKind = LineKind.ordinary): void {
    const now = this.#clock.now()
    if (now - this.#secondStartedAt >= 1000) this.#startSecond(now)
    const lines = (this.#lines.get(kind) ?? 0) + 1
    this.#lines.set(kind, lines)
    if (lines <= MAXIMUM_LINES_PER_SECOND[kind]) this.#logger.info(line)
  }

  #startSecond (now: number): void {
    for (const [kind, lines] of this.#lines) {
      const count = lines - MAXIMUM_LINES_PER_SECOND[kind]
      if (count > 0) this.#logger.warn({ event: 'lines-suppressed', kind, count })
    }
    this.#secondStartedAt = now
    this.#lines = new Map()
  }
}
