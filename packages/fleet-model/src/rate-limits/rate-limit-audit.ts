/** Checks what targets got against the bound on requests beyond a rate limit. */
import type { RateLimitedLoad, RateLimitedOutcome } from './rate-limited-load.js'

const millisecondsPerSecond = 1_000
/** Any time of this length may bring the product of the share and what the limit allows, and a few requests more. */
const windowMilliseconds = 4_000
const allowedShare = 1.5
const allowedRequests = 5
/** Time from the first answer that names a limit until the bound applies. */
const noticeMilliseconds = 3_000

/** The window in which a target got most beyond, or least below, what is allowed. */
export interface WorstWindow {
  readonly target: number
  readonly from: number
  readonly requests: number
  readonly allowed: number
}

/** Returns the requests that a target allows in a time by its limits; Infinity if it names none at some moment of it. */
export function requestsAllowed ({ limits }: Pick<RateLimitedLoad, 'limits'>, target: number, from: number, to: number): number {
  const steps = limits.filter(({ targets: [first, end] }) => target >= first && target < end)
  const periods = [{ at: -Infinity, requestsPerSecond: null }, ...steps].map(({ at, requestsPerSecond }, index) => {
    return { overlap: Math.min(steps[index]?.at ?? Infinity, to) - Math.max(at, from), requestsPerSecond }
  })
  return periods.filter(({ overlap }) => overlap > 0).reduce((sum, { overlap, requestsPerSecond }) => {
    return sum + (requestsPerSecond === null ? Infinity : overlap * requestsPerSecond / millisecondsPerSecond)
  }, 0)
}

/**
 * Returns the window that comes closest to the bound, or goes furthest beyond it; null if no target named a limit for long enough.
 *
 * @param isCounted whether the requests of a holder count
 */
export function worstWindowOf (load: RateLimitedLoad, { arrivals, firstNamedAt }: RateLimitedOutcome, isCounted: (holder: number) => boolean = () => true): WorstWindow | null {
  let worst: WorstWindow | null = null
  for (const [target, list] of arrivals.entries()) {
    const times = list.filter(({ holder }) => isCounted(holder)).map(({ at }) => at)
    const appliesFrom = (firstNamedAt[target] ?? Infinity) + noticeMilliseconds
    // The count is greatest in a window that begins with a request or ends with one.
    for (const from of times.flatMap(at => [at, at - windowMilliseconds])) {
      if (from < appliesFrom) {
        continue
      }
      const requests = times.filter(at => at >= from && at <= from + windowMilliseconds).length
      const allowed = requestsAllowed(load, target, from, from + windowMilliseconds) * allowedShare + allowedRequests
      if (Number.isFinite(allowed) && (worst === null || requests - allowed > worst.requests - worst.allowed)) {
        worst = { target, from, requests, allowed }
      }
    }
  }
  return worst
}

/** Returns the share that was used in a time of what all targets together allow. All of them have to name limits for the whole of it. */
export function usedShare (load: RateLimitedLoad, { arrivals }: Pick<RateLimitedOutcome, 'arrivals'>, from: number, to: number): number {
  const used = arrivals.reduce((sum, list) => sum + list.filter(({ at }) => at >= from && at < to).length, 0)
  return used / arrivals.reduce((sum, _, target) => sum + requestsAllowed(load, target, from, to), 0)
}
