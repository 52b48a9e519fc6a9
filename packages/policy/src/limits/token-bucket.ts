/** Token bucket: https://en.wikipedia.org/wiki/Token_bucket */

const millisecondsPerSecond = 1_000

/** A bucket whose rate may change. */
export class TokenBucket {
  #level: number
  #ratePerSecond: number
  #updatedAt: number

  /**
   * @param ratePerSecond units earned each second
   * @param burstSeconds seconds of earnings that the bucket holds
   */
  constructor (ratePerSecond: number, private readonly burstSeconds: number, now: number) {
    this.#ratePerSecond = ratePerSecond
    this.#level = ratePerSecond * burstSeconds
    this.#updatedAt = now
  }

  /** Changes the rate; what was earned before stays, up to the new burst. */
  setRate (ratePerSecond: number, now: number): void {
    this.#refill(now)
    this.#ratePerSecond = ratePerSecond
    this.#level = Math.min(this.#level, this.#capacity())
  }

  /** Milliseconds until the amount can be taken; 0 if it can be taken now. */
  waitFor (amount: number, now: number): number {
    this.#refill(now)
    // A request larger than the bucket is let through a full bucket and paid back after.
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
    // The wall clock may step back; the bucket then just earns nothing.
    const elapsed = Math.max(0, now - this.#updatedAt)
    this.#updatedAt = now
    const earned = elapsed / millisecondsPerSecond * this.#ratePerSecond
    this.#level = Math.min(this.#capacity(), this.#level + earned)
  }
}
