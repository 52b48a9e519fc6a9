/** A budget that keeps retries to a share of first tries. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly share: number
  /** Retries that may be saved up, and are there at the start. */
  readonly reserve: number
  /**
   * Part of the requests in flight that may be retried at once besides. A target that dies
   * takes all of its streams with it, and moving each once is no storm.
   */
  readonly inFlightShare: number
}

export const defaultRetryBudget: RetryBudgetOptions = {
  share: 0.1,
  reserve: 10,
  inFlightShare: 1
}

/** Counts first tries and grants retries. */
export class RetryBudget {
  #balance: number
  #inFlight = 0

  constructor (private readonly options = defaultRetryBudget) {
    this.#balance = options.reserve
  }

  /** A request begins with its first try. */
  onBegin (): void {
    this.#inFlight += 1
    this.#earn(this.options.share + this.options.inFlightShare)
  }

  /** A request ended; what its flight had earned goes with it. */
  onEnd (): void {
    this.#inFlight -= 1
    this.#balance = Math.min(this.#balance, this.#ceiling)
  }

  /** Takes one retry out of the budget, if there is one. */
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
