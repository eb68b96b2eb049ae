import * as hdr from 'hdr-histogram-js'

/** Microseconds in a millisecond: histograms count whole microseconds. */
const MICROSECONDS_PER_MS = 1000

/** Quantiles of times. Unit: milliseconds. */
export interface Quantiles {
  count: number
  p50: number
  p95: number
  p99: number
}

/** Collects times and tells their quantiles. */
export class TimeHistogram {
  readonly #histogram = hdr.build({ numberOfSignificantValueDigits: 3 })

  add (milliseconds: number): void {
    if (Number.isNaN(milliseconds)) return
    this.#histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MS)))
  }

  quantiles (): Quantiles {
    const at = (percentile: number): number => this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    return { count: this.#histogram.totalCount, p50: at(50), p95: at(95), p99: at(99) }
  }
}
