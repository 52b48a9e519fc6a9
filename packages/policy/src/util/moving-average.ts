/** Exponentially weighted moving average. */
export class MovingAverage {
  #value: number

  /**
   * @param initial value before the first sample
   * @param sampleWeight weight of a new sample, from 0 to 1
   */
  constructor (initial: number, private readonly sampleWeight: number) {
    this.#value = initial
  }

  /** Adds a sample. */
  add (sample: number): void {
    this.#value += this.sampleWeight * (sample - this.#value)
  }

  get value (): number {
    return this.#value
  }
}
