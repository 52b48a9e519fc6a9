/** A budget that keeps retries to a share of first tries. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly share: number
  /** Retries that may be saved up, and are there at the start. */
  readonly reserve: number
}

export const defaultRetryBudget: RetryBudgetOptions = {
  share: 0.1,
  reserve: 10
}

/** Counts first tries and grants retries. */
export class RetryBudget {
  #balance: number

  constructor (private readonly options = defaultRetryBudget) {
    this.#balance = options.reserve
  }

  /** A first try was made. */
  onFirstTry (): void {
    this.#balance = Math.min(this.options.reserve, this.#balance + this.options.share)
  }

  /** Takes one retry out of the budget, if there is one. */
  tryRetry (): boolean {
    if (this.#balance < 1) {
      return false
    }
    this.#balance -= 1
    return true
  }
}
