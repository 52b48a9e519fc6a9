/** Rate limits that targets name in their answers: the requests a second that a target takes from all instances together. */

/** What the head of an answer said about the rate limit of its target. Times are ages, since the clocks of instances differ. */
export interface RateLimitReport {
  readonly service: string
  readonly target: string
  /** Start of the target in milliseconds since the epoch. */
  readonly born: number
  /** Requests a second; null if the answer named no limit. */
  readonly requestsPerSecond: number | null
  /** Milliseconds since the request was sent. */
  readonly sentAgo: number
  /** Milliseconds since the head arrived. */
  readonly heardAgo: number
}

/** A change of the limit of a target; null stands for no limit. */
export interface RateLimitChange {
  readonly target: string
  readonly previous: number | null
  readonly current: number | null
}

interface KnownLimit {
  readonly service: string
  readonly born: number
  readonly requestsPerSecond: number | null
  /** Time at which the head arrived that told this, in milliseconds since the epoch. */
  readonly heardAt: number
}

/** Number of targets that are remembered; the ones heard of first are forgotten. */
const maximumTargets = 1_000
/** Time by which a target may have started later than now by the clock of this instance. */
const maximumClockDifferenceMilliseconds = 86_400_000

/**
 * Remembers the newest limit of each target, by id and by the time of its start: a successor under the id has none. A limit holds until an answer
 * names another one, or an answer whose request was sent after the limit was heard names none.
 */
export class TargetRateLimits {
  readonly #known = new Map<string, KnownLimit>()

  /** Applies a report unless a newer one is known; returns the change that it makes, or null if it makes none. */
  observe (report: RateLimitReport, now: number): RateLimitChange | null {
    const { target, born, requestsPerSecond, sentAgo, heardAgo } = report
    const known = this.#knownOf(target, now)
    if ((known !== null && known.born > born) || born > now + maximumClockDifferenceMilliseconds) {
      return null
    }
    const same = known?.born === born ? known : null
    const previous = known?.requestsPerSecond ?? null
    const heardAt = now - heardAgo
    if (requestsPerSecond === null && (previous === null || now - sentAgo <= (same?.heardAt ?? -Infinity))) {
      return null
    }
    if (heardAt < (same?.heardAt ?? -Infinity)) {
      return null
    }
    this.#set(report, heardAt)
    return previous === requestsPerSecond ? null : { target, previous, current: requestsPerSecond }
  }

  /** Returns the limit of the target that started at this time, in requests a second, or null if it has none. */
  limitOf (target: string, born: number): number | null {
    const known = this.#known.get(target)
    return known?.born === born ? known.requestsPerSecond : null
  }

  /** Whether anything was heard of the limits of the target that started at this time, be it that one is over. */
  isKnown (target: string, born: number): boolean {
    return this.#known.get(target)?.born === born
  }

  /** Returns the limit in force of the target that started at this time, for an instance that may not know it; null if it has none. */
  reportOf (target: string, born: number, now: number): RateLimitReport | null {
    const known = this.#known.get(target)
    if (known?.born !== born || known.requestsPerSecond === null) {
      return null
    }
    const ago = Math.max(0, now - known.heardAt)
    return { service: known.service, target, born, requestsPerSecond: known.requestsPerSecond, sentAgo: ago, heardAgo: ago }
  }

  #set ({ service, target, born, requestsPerSecond }: RateLimitReport, heardAt: number): void {
    this.#known.delete(target)
    this.#known.set(target, { service, born, requestsPerSecond, heardAt })
    const [oldest] = this.#known.keys()
    if (this.#known.size > maximumTargets && oldest !== undefined) {
      this.#known.delete(oldest)
    }
  }

  /** Returns what is known of a target. The wall clock may have been set back since it was heard; that then counts as heard now. */
  #knownOf (target: string, now: number): KnownLimit | null {
    const known = this.#known.get(target)
    if (known === undefined || known.heardAt <= now) {
      return known ?? null
    }
    const heardNow = { ...known, heardAt: now }
    this.#known.set(target, heardNow)
    return heardNow
  }
}
