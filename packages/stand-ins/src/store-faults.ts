import * as decisions from '@acaciaweir/decisions'

/** Faults of the stand-in store that go beside its usual service. */
export interface StoreFaults {
  /** Added to each call, in milliseconds. */
  delayMs: number
  /** Share of writes, from 0 to 1, whose answer is dropped after the write took effect. */
  lostAnswerShare: number
  /** Watches wake only when their time is over. */
  watchGap: boolean
  /** How far the list of hosts and targets lags behind, in milliseconds. */
  hostListLagMs: number
}

/** Faults of one store, with the chance that they need. */
export class StoreFaultSwitch {
  readonly faults: StoreFaults = { delayMs: 0, lostAnswerShare: 0, watchGap: false, hostListLagMs: 0 }
  readonly #random: decisions.random.RandomSource

  constructor (seed: number) {
    this.#random = new decisions.random.SeededRandom(seed)
  }

  /** True for the share of answers that the faults say are lost. */
  losesAnswer (): boolean {
    if (this.faults.lostAnswerShare === 0) return false
    return this.#random.integer(1000) < this.faults.lostAnswerShare * 1000
  }
}
