/**
 * The least service that each client account gets, whatever its rank and share. Load: an overload of 10 s and more in which accounts of higher
 * ranks, or accounts that have used less of their share, ask for all slots, so that others would get none.
 */

/**
 * Share of the ratio served / asked of all accounts that each account gets at least. The external bound is a quarter over 10 s; the rest covers the
 * time until an account is known to be behind.
 */
const floorShare = 0.3
/** Time in which an account whose last request was served is owed the next one, if it asks; half of the 10 s of the external bound. */
const restoringMilliseconds = 5_000
/** Time constant with which what is owed to an account, and the counts of all accounts, are forgotten. */
const forgettingMilliseconds = 3_000
/** Below this, an account's credit is taken for none. */
const negligibleCredit = 0.01

/** Requests that an account is owed (above 0), or has been served beyond its floor (below 0). */
interface Credit {
  amount: number
  /** Time of the latest change, in milliseconds since the epoch. */
  changedAt: number
}

/** Counts the requests that accounts ask for and are served, and tells which of them are owed a request. */
export class ServiceFloor {
  readonly #credits = new Map<string, Credit>()
  /** Requests that were asked and served lately. */
  #asked = 0
  #served = 0
  #countedAt = 0

  /** Records a new request of an account. */
  recordAsked (account: string, now: number): void {
    this.#forget(now)
    this.#asked += 1
    const credit = this.#creditOf(account, now)
    credit.amount += floorShare * Math.min(1, this.#served / this.#asked)
    this.#credits.set(account, credit)
  }

  /** Records that a request of an account got a slot. */
  recordServed (account: string, now: number): void {
    this.#forget(now)
    this.#served += 1
    const credit = this.#creditOf(account, now)
    // What an account gets beyond its floor while slots suffice must not count against it for long in the overload that follows.
    credit.amount = Math.max(-1, credit.amount - 1)
    this.#credits.set(account, credit)
  }

  /** Returns the number of requests that an account is owed; 0 or less if it has had its floor. */
  creditOf (account: string, now: number): number {
    return this.#creditOf(account, now).amount
  }

  /** Removes the accounts whose credits have become negligible. */
  prune (now: number): void {
    for (const account of this.#credits.keys()) {
      if (Math.abs(this.creditOf(account, now)) < negligibleCredit) {
        this.#credits.delete(account)
      }
    }
  }

  /** Returns the credit as of now, in an object of its own. */
  #creditOf (account: string, now: number): Credit {
    const known = this.#credits.get(account)
    if (known === undefined) {
      return { amount: 0, changedAt: now }
    }
    // The wall clock may have been set back.
    const elapsed = Math.max(0, now - known.changedAt)
    const amount = known.amount < 0
      ? Math.min(0, known.amount + elapsed / restoringMilliseconds)
      : known.amount * Math.exp(-elapsed / forgettingMilliseconds)
    return { amount, changedAt: now }
  }

  #forget (now: number): void {
    const kept = Math.exp(-Math.max(0, now - this.#countedAt) / forgettingMilliseconds)
    this.#countedAt = now
    this.#asked *= kept
    this.#served *= kept
  }
}
