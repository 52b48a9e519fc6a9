/** Keeps the longest of the recent durations. */

/** The longest of some durations. */
export interface RecentDurations {
  readonly count: number
  readonly longestMilliseconds: number
}

/** A duration counts for this long at least and twice as long at most. */
const periodMilliseconds = 30_000
const none: RecentDurations = { count: 0, longestMilliseconds: 0 }

/** Adds durations to the current period, and forgets them with the period after the next. */
export class LongestDuration {
  #current = none
  #previous = none
  #startedAt = -Infinity

  add (durationMilliseconds: number, now: number): void {
    this.#advance(now)
    this.#current = { count: this.#current.count + 1, longestMilliseconds: Math.max(this.#current.longestMilliseconds, durationMilliseconds) }
  }

  recent (now: number): RecentDurations {
    this.#advance(now)
    return {
      count: this.#current.count + this.#previous.count,
      longestMilliseconds: Math.max(this.#current.longestMilliseconds, this.#previous.longestMilliseconds)
    }
  }

  #advance (now: number): void {
    const periods = Math.floor((now - this.#startedAt) / periodMilliseconds)
    if (periods < 1) {
      return
    }
    this.#previous = periods === 1 ? this.#current : none
    this.#current = none
    this.#startedAt = Number.isFinite(periods) ? this.#startedAt + periods * periodMilliseconds : now
  }
}
