/** Seeded pseudo-random numbers. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Pseudo-random generator; the same seed gives the same sequence. */
export class Random {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer between two bounds, both inclusive. */
  between (minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum)
  }

  /**
   * Returns one of the values.
   * @throws {RangeError} if there are none.
   */
  pick<T> (values: readonly T[]): T {
    const value = values[this.between(0, values.length - 1)]
    if (value === undefined) {
      throw new RangeError('cannot pick a value from an empty list')
    }
    return value
  }
}
