import * as hdr from 'hdr-histogram-js'

/** Converts to the unit of the histograms, which count whole microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1000

/** Quantiles of recorded times, in milliseconds, and how many times were recorded. */
export interface Quantiles {
  count: number
  p50: number
  p95: number
  p99: number
}

/** Records times and computes their quantiles, with a precision of three significant digits. */
export class LatencyHistogram {
  readonly #histogram = hdr.build({ numberOfSignificantValueDigits: 3 })

  /** Records a time. Ignores NaN and counts a negative time as 0. */
  record (milliseconds: number): void {
    if (Number.isNaN(milliseconds)) return
    this.#histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)))
  }

  quantiles (): Quantiles {
    const millisecondsAt = (percentile: number): number => this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
    return { count: this.#histogram.totalCount, p50: millisecondsAt(50), p95: millisecondsAt(95), p99: millisecondsAt(99) }
  }
}
