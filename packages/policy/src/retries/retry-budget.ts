/** Retry budget that limits retries to a fraction of the requests. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  readonly share: number
  /** Initial number of retries, and the maximum that is kept while no request is in flight. */
  readonly reserve: number
  /**
   * Additional retries for each request in flight. When a target fails, all of its streams fail at once, and retrying each
   * of them once causes no retry storm.
   */
  readonly inFlightShare: number
}

export const defaultRetryBudget: RetryBudgetOptions = {
  share: 0.1,
  reserve: 10,
  inFlightShare: 1
}

/** Counts requests and grants retries. */
export class RetryBudget {
  #balance: number
  #inFlight = 0

  constructor (private readonly options = defaultRetryBudget) {
    this.#balance = options.reserve
  }

  /** Records the first attempt of a request. */
  onBegin (): void {
    this.#inFlight += 1
    this.#earn(this.options.share + this.options.inFlightShare)
  }

  /** Records the end of a request, which lowers the maximum of the budget. */
  onEnd (): void {
    this.#inFlight -= 1
    this.#balance = Math.min(this.#balance, this.#ceiling)
  }

  /** Takes one retry from the budget; returns false if there is none. */
  tryRetry (): boolean {
    if (this.#balance < 1) {
      return false
    }
    this.#balance -= 1
    return true
  }

  get #ceiling (): number {
    return this.options.reserve + this.#inFlight * this.options.inFlightShare
  }

  #earn (retries: number): void {
    this.#balance = Math.min(this.#ceiling, this.#balance + retries)
  }
}
