/** Requests by client account, as a bounded number of metric series. */

/** Accounts with series of their own. */
const maximumAccounts = 20
/** Account under which the others are counted; names of accounts may be the same, which then count with them. */
const others = 'others'
/** Share by which an account must exceed the smallest one that has a series before it takes the place; series would change often without it. */
const replacementFactor = 1.1
/** Accounts that are counted at all; those that come later count under the others. */
const maximumCounted = 5_000

/** How requests ended, for the caller. */
export const AccountOutcome = {
  /** Answered with a status below 400. */
  Served: 'served',
  /** Answered with 408, 429 or 503. */
  Refused: 'refused',
  /** Answered with another status from 400 to 499. */
  ClientError: 'client_error',
  /** Answered with another status from 500 on. */
  ServerError: 'server_error',
  /** Broken off: the client left, or the response could not be ended. */
  BrokenOff: 'broken_off'
} as const
export type AccountOutcome = typeof AccountOutcome[keyof typeof AccountOutcome]

/** One series. */
export interface AccountSeries {
  readonly account: string
  readonly outcome: AccountOutcome
  readonly count: number
}

type Counts = Map<AccountOutcome, number>

const refusedStatuses: ReadonlySet<number> = new Set([408, 429, 503])
const firstClientErrorStatus = 400
const firstServerErrorStatus = 500

/**
 * Counts requests. The 20 accounts with the most requests so far have series, and the others one together. The series of an account that another
 * one displaces is added to that of the others, so that the sum of all series is the number of requests.
 */
export class AccountCounts {
  /** Requests of each account so far. */
  readonly #totals = new Map<string, number>()
  readonly #series = new Map<string, Counts>([[others, new Map()]])

  /** @param status status of the response, or null if it was broken off */
  record (account: string, status: number | null): void {
    const name = this.#totals.has(account) || this.#totals.size < maximumCounted ? account : others
    const total = (this.#totals.get(name) ?? 0) + 1
    this.#totals.set(name, total)
    add(this.#seriesOf(name, total), outcomeOf(status), 1)
  }

  series (): readonly AccountSeries[] {
    return [...this.#series].flatMap(([account, counts]) => [...counts].map(([outcome, count]) => ({ account, outcome, count })))
  }

  /** Returns the counts to which a request belongs; an account may get series of its own by it. */
  #seriesOf (account: string, total: number): Counts {
    const rest = this.#series.get(others) ?? new Map<AccountOutcome, number>()
    const own = this.#series.get(account)
    if (own !== undefined) {
      return own
    }
    if (this.#series.size > maximumAccounts) {
      const smallest = this.#smallest()
      if (total <= (this.#totals.get(smallest) ?? 0) * replacementFactor) {
        return rest
      }
      this.#series.get(smallest)?.forEach((count, outcome) => { add(rest, outcome, count) })
      this.#series.delete(smallest)
    }
    const counts: Counts = new Map()
    this.#series.set(account, counts)
    return counts
  }

  /** Returns the account with the fewest requests of those that have series. */
  #smallest (): string {
    const names = [...this.#series.keys()].filter(name => name !== others)
    return names.reduce((smallest, name) => (this.#totals.get(name) ?? 0) < (this.#totals.get(smallest) ?? 0) ? name : smallest, names[0] ?? others)
  }
}

function add (counts: Counts, outcome: AccountOutcome, count: number): void {
  counts.set(outcome, (counts.get(outcome) ?? 0) + count)
}

function outcomeOf (status: number | null): AccountOutcome {
  if (status === null) {
    return AccountOutcome.BrokenOff
  }
  if (refusedStatuses.has(status)) {
    return AccountOutcome.Refused
  }
  if (status >= firstServerErrorStatus) {
    return AccountOutcome.ServerError
  }
  return status >= firstClientErrorStatus ? AccountOutcome.ClientError : AccountOutcome.Served
}
