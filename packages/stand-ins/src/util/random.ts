/** Seeded random choices. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Choices that a seed determines. */
export class Random {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** A whole number within bounds, both included. */
  between (least: number, greatest: number): number {
    return uniformInt(this.#generator, least, greatest)
  }

  /** One of the values. */
  pick<T> (values: readonly T[]): T {
    const value = values[this.between(0, values.length - 1)]
    if (value === undefined) {
      throw new RangeError('there is nothing to pick from')
    }
    return value
  }
}
