/**
 * Tells callers that come back after a rejection from newcomers. A caller's timeout covers all of its attempts, so the timeout of
 * a later attempt is shorter than that of the first ones on the same route.
 */

/** Time for which timeouts are remembered at least; at most twice as long. */
const memoryMilliseconds = 30_000
/** Differences of timeouts below this do not count: they are due to delays on the way. */
const toleranceMilliseconds = 40

/** The longest timeouts of a route in the present span of time, and in the one before. */
interface RouteBudget {
  spanStartedAt: number
  longest: number
  longestBefore: number
}

/** Learns the timeouts with which callers of each route begin. */
export class CallerBudgets {
  readonly #routes = new Map<string, RouteBudget>()

  /**
   * Returns how much of its timeout a caller has spent before this attempt, in milliseconds.
   *
   * @param timeout timeout of this attempt, in milliseconds
   * @param now in milliseconds since the epoch
   */
  spentOf (route: string, timeout: number, now: number): number {
    const budget = this.#budgetOf(route, now)
    budget.longest = Math.max(budget.longest, timeout)
    const spent = Math.max(budget.longest, budget.longestBefore) - timeout
    return spent < toleranceMilliseconds ? 0 : spent
  }

  #budgetOf (route: string, now: number): RouteBudget {
    const known = this.#routes.get(route)
    if (known === undefined) {
      const budget = { spanStartedAt: now, longest: 0, longestBefore: 0 }
      this.#routes.set(route, budget)
      return budget
    }
    if (now - known.spanStartedAt > memoryMilliseconds) {
      known.longestBefore = known.longest
      known.longest = 0
      known.spanStartedAt = now
    }
    return known
  }
}
