/** Seeded random numbers for arrivals and durations. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Shortest and longest duration, as a share of the mean. */
const minimumShare = 0.2
const maximumShare = 1.8

/** A stream of random numbers. */
export class RandomStream {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns a number from 0 to 1. */
  uniform (): number {
    return uniformFloat64(this.#generator)
  }

  /** Returns an exponentially distributed number. */
  exponential (mean: number): number {
    return -Math.log(1 - this.uniform()) * mean
  }

  /** Returns a number around the mean with the given relative standard deviation, cut at a fifth and nine fifths of the mean. */
  around (mean: number, deviation: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.uniform())) * Math.cos(2 * Math.PI * this.uniform())
    return mean * Math.min(maximumShare, Math.max(minimumShare, 1 + normal * deviation))
  }
}
