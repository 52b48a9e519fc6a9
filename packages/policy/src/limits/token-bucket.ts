/** Token bucket: https://en.wikipedia.org/wiki/Token_bucket */

const millisecondsPerSecond = 1_000

/** Token bucket with an adjustable rate. */
export class TokenBucket {
  #level: number
  #ratePerSecond: number
  #updatedAt: number

  /**
   * @param ratePerSecond units added per second
   * @param burstSeconds capacity of the bucket, in seconds of its rate
   */
  constructor (ratePerSecond: number, private readonly burstSeconds: number, now: number) {
    this.#ratePerSecond = ratePerSecond
    this.#level = ratePerSecond * burstSeconds
    this.#updatedAt = now
  }

  /** Changes the rate; keeps the current level, up to the new capacity. */
  setRate (ratePerSecond: number, now: number): void {
    this.#refill(now)
    this.#ratePerSecond = ratePerSecond
    this.#level = Math.min(this.#level, this.#capacity())
  }

  /** Returns the milliseconds until the amount can be taken; 0 if it can be taken now, Infinity if the rate is 0. */
  waitFor (amount: number, now: number): number {
    this.#refill(now)
    // An amount that exceeds the capacity is admitted when the bucket is full; the level then falls below zero.
    const needed = Math.min(amount, this.#capacity())
    if (this.#level >= needed) {
      return 0
    }
    if (this.#ratePerSecond === 0) {
      return Infinity
    }
    return Math.ceil((needed - this.#level) / this.#ratePerSecond * millisecondsPerSecond)
  }

  /** Takes the amount; the level may fall below zero. */
  take (amount: number, now: number): void {
    this.#refill(now)
    this.#level -= amount
  }

  #capacity (): number {
    return Math.max(1, this.#ratePerSecond * this.burstSeconds)
  }

  #refill (now: number): void {
    // The wall clock may be set back; nothing is added then.
    const elapsed = Math.max(0, now - this.#updatedAt)
    this.#updatedAt = now
    const added = elapsed / millisecondsPerSecond * this.#ratePerSecond
    this.#level = Math.min(this.#capacity(), this.#level + added)
  }
}
