import * as decisions from '@acaciaweir/decisions'

/** Faults of a stand-in store that otherwise serves calls. */
export interface StoreFaults {
  /** Latency added to each call, in milliseconds. */
  delayMs: number
  /** Share of writes, from 0 to 1, whose answer is lost after the write took effect. */
  lostAnswerShare: number
  /** Waiting watches return only at their timeout, also if an object changes before. */
  watchGap: boolean
  /** Delay until a change shows in the list of hosts and targets, in milliseconds. */
  hostListLagMs: number
}

/** Holds the faults of one store, with the seeded random source that selects lost answers. */
export class StoreFaultInjector {
  readonly faults: StoreFaults = { delayMs: 0, lostAnswerShare: 0, watchGap: false, hostListLagMs: 0 }
  readonly #random: decisions.random.RandomSource

  constructor (seed: number) {
    this.#random = new decisions.random.SeededRandom(seed)
  }

  /** Decides whether the answer to a write is lost; true for `lostAnswerShare` of the calls. */
  shouldLoseAnswer (): boolean {
    if (this.faults.lostAnswerShare === 0) return false
    return this.#random.integer(1000) < this.faults.lostAnswerShare * 1000
  }
}
