import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'

/** Source of chance. Injected, so that a seed repeats a run. */
export abstract class RandomSource {
  /** An integer from 0 up to and without `bound`. */
  abstract integer (bound: number): number
}

/** A seeded source of chance. */
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
