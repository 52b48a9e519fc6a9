/** Decides which requests an instance that stops still serves. */
import { LongestDuration } from './longest-duration.js'

/** Times for which a request may take. */
export interface RequestDemand {
  /** Kind of the request, such as the name of its route; requests of a kind take similar times. */
  readonly kind: string
  /** Milliseconds until the request is over in any case: its deadline or the timeout of its route. */
  readonly limitMilliseconds: number
}

/** Multiple of the longest recent duration that another request may take, by the least number of recent requests; the more there are, the less it varies. */
const durationFactors = [{ requests: 30, factor: 2 }, { requests: 5, factor: 3 }] as const

/**
 * Observes how long requests take. Once the instance stops, it admits a request only if that will have ended when the instance
 * must end: within its own limit, or going by the longest of the recent requests of its kind. Another instance can serve the others.
 */
export class DrainAdmission {
  readonly #longest = new Map<string, LongestDuration>()
  #endAt = Infinity

  /** @param endAt time at which the instance breaks off what is still in flight, in milliseconds since the epoch */
  begin (endAt: number): void {
    this.#endAt = endAt
  }

  /** Records the duration of a request that has ended, however it ended. */
  observe (kind: string, durationMilliseconds: number, now: number): void {
    const longest = this.#longest.get(kind) ?? new LongestDuration()
    this.#longest.set(kind, longest)
    longest.add(durationMilliseconds, now)
  }

  admits ({ kind, limitMilliseconds }: RequestDemand, now: number): boolean {
    if (this.#endAt === Infinity) {
      return true
    }
    return now + Math.min(this.#expectedMilliseconds(kind, now), limitMilliseconds) <= this.#endAt
  }

  #expectedMilliseconds (kind: string, now: number): number {
    const recent = this.#longest.get(kind)?.recent(now)
    const known = durationFactors.find(({ requests }) => recent !== undefined && recent.count >= requests)
    return recent === undefined || known === undefined ? Infinity : recent.longestMilliseconds * known.factor
  }
}
