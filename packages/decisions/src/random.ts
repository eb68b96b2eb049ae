import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'

/** Source of random numbers, injected so that a seed reproduces a run. */
export abstract class RandomSource {
  /** Returns an integer from 0 to `bound`, exclusive. */
  abstract integer (bound: number): number
}

/** Pseudorandom numbers from a seed (xoroshiro128+). */
export class SeededRandom extends RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro.xoroshiro128plus>

  constructor (seed: number) {
    super()
    this.#generator = xoroshiro.xoroshiro128plus(seed)
  }

  override integer (bound: number): number {
    return uniform.uniformInt(this.#generator, 0, bound - 1)
  }
}
