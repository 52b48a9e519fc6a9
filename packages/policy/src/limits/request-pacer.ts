/** Generic cell rate algorithm: https://en.wikipedia.org/wiki/Generic_cell_rate_algorithm */

const millisecondsPerSecond = 1_000
/** Time by which requests may be ahead of the rate, beside one request: they are decided on in steps, and none of the rate is lost between these. */
const toleranceMilliseconds = 250
/** Greatest time by which requests that others sent may defer the next one. */
const maximumDebtMilliseconds = 4_000

/**
 * Spreads requests evenly at a rate of r a second: no more than 2 + r (t + 0.25) in any t seconds. It begins with nothing to spare, since requests
 * may have been sent before.
 */
export class RequestPacer {
  #intervalMilliseconds: number
  /** Time at which the next request is due at the rate, in milliseconds since the epoch. */
  #dueAt: number
  /** Latest time that a call has named. */
  #latest: number

  /** @param requestsPerSecond greater than 0 */
  constructor (requestsPerSecond: number, now: number) {
    this.#intervalMilliseconds = millisecondsPerSecond / requestsPerSecond
    this.#dueAt = now + this.#intervalMilliseconds + this.#tolerance
    this.#latest = now
  }

  /** Changes the rate; what may be sent at once, or was sent beyond the rate, stays the same number of requests. */
  setRate (requestsPerSecond: number, now: number): void {
    const spare = this.#spare(now)
    this.#intervalMilliseconds = millisecondsPerSecond / requestsPerSecond
    this.#dueAt = now + this.#tolerance - spare * this.#intervalMilliseconds
  }

  /** Returns the number of requests that may be sent at once. */
  allowance (now: number): number {
    const spare = this.#spare(now)
    return spare < 0 ? 0 : Math.floor(spare) + 1
  }

  /** The greatest number of requests that may ever be sent at once. */
  get greatestAllowance (): number {
    return Math.floor(this.#tolerance / this.#intervalMilliseconds) + 1
  }

  /** Returns the milliseconds until a request may be sent. */
  waitFor (now: number): number {
    this.#advance(now)
    return Math.max(0, this.#dueAt - this.#tolerance - now)
  }

  /** Counts a request, whether the rate allowed it or not. */
  take (now: number): void {
    this.#advance(now)
    this.#dueAt = Math.max(this.#dueAt, now) + this.#intervalMilliseconds
  }

  /** Returns the number of requests that may be sent beside the next one; negative if that one has to wait. */
  #spare (now: number): number {
    this.#advance(now)
    return (now + this.#tolerance - Math.max(this.#dueAt, now)) / this.#intervalMilliseconds
  }

  get #tolerance (): number {
    return this.#intervalMilliseconds + toleranceMilliseconds
  }

  /** Follows the wall clock: one that is set back must not defer the next request, nor must any number of requests that others have sent. */
  #advance (now: number): void {
    this.#dueAt -= Math.max(0, this.#latest - now)
    this.#latest = now
    this.#dueAt = Math.min(this.#dueAt, now + Math.max(this.#intervalMilliseconds + this.#tolerance, maximumDebtMilliseconds))
  }
}
