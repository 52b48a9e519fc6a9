/** Retry budget that limits retries to a fraction of the requests. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  readonly retryRatio: number
  /** Initial number of retries, and the maximum that is kept while no request is in flight. */
  readonly reserveRetries: number
  /**
   * Additional retries for each request in flight. When a target fails, all of its streams fail at once, and retrying each
   * of them once causes no retry storm.
   */
  readonly inFlightRatio: number
}

export const defaultRetryBudgetOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  reserveRetries: 10,
  inFlightRatio: 1
}

/** Counts requests and grants retries. */
export class RetryBudget {
  #balance: number
  #inFlight = 0

  constructor (private readonly options = defaultRetryBudgetOptions) {
    this.#balance = options.reserveRetries
  }

  /** Records the start of a request, which adds to the budget. */
  onRequestStart (): void {
    this.#inFlight += 1
    this.#addRetries(this.options.retryRatio + this.options.inFlightRatio)
  }

  /** Records the end of a request, which lowers the maximum of the budget. */
  onRequestEnd (): void {
    this.#inFlight -= 1
    this.#balance = Math.min(this.#balance, this.#maximumBalance)
  }

  /** Takes one retry from the budget; returns false if there is none. */
  tryTakeRetry (): boolean {
    if (this.#balance < 1) {
      return false
    }
    this.#balance -= 1
    return true
  }

  get #maximumBalance (): number {
    return this.options.reserveRetries + this.#inFlight * this.options.inFlightRatio
  }

  #addRetries (retries: number): void {
    this.#balance = Math.min(this.#maximumBalance, this.#balance + retries)
  }
}
