/** Keeps targets within the rate limits that they name. Load: overloaded targets whose limits are a few requests a second. */
import { RequestPacer } from '../limits/request-pacer.js'
import type { TargetRateLimits } from '../limits/target-rate-limits.js'
import type { FleetTarget } from './fleet-messages.js'

/** A target by id and start. */
export type PacedTarget = Pick<FleetTarget, 'id' | 'born'>

interface Pace {
  readonly born: number
  limit: number
  /** Time at which the target was last granted a request, or named a limit for the first time, in milliseconds since the epoch. */
  grantedAt: number
  readonly pacer: RequestPacer
}

const millisecondsPerSecond = 1_000
/** Requests a second that a target gets however low its limit is: only an answer tells that the limit is over. */
const minimumRequestsPerSecond = 0.25
/** Time after the last request to a target from which the next answer is due that tells whether the limit still holds. */
const probeMilliseconds = 1_500
/** Time for which grants are counted, for logs. */
const countedMilliseconds = 4_000
/** Number of requests that are remembered as counted; more than are in flight at all targets with limits. */
const maximumCounted = 10_000

/** Paces the grants of one owner. */
export class TargetPacing {
  readonly #paces = new Map<string, Pace>()
  /** Times of the latest grants by target, in milliseconds since the epoch. */
  readonly #grants = new Map<string, number[]>()
  /** Requests that count towards a limit already, by permit and target, the oldest first: a permit may be granted again on another target. */
  readonly #counted = new Set<string>()

  constructor (private readonly limits: TargetRateLimits) {}

  /** Whether the target has named a limit that is in force, which it is kept within from then on. */
  isLimited (target: PacedTarget, now: number): boolean {
    return this.#paceOf(target, now) !== null
  }

  /** Returns the requests a millisecond that the target takes; Infinity without a limit. */
  rateOf ({ id, born }: PacedTarget): number {
    const limit = this.limits.limitOf(id, born)
    return limit === null ? Infinity : pacedRate(limit) / millisecondsPerSecond
  }

  /** Returns the number of requests that the target may get at once; Infinity without a limit. */
  allowanceOf (target: PacedTarget, now: number): number {
    return this.#paceOf(target, now)?.pacer.allowance(now) ?? Infinity
  }

  /** Returns the greatest number of requests that the target may ever get at once; Infinity without a limit. */
  greatestAllowanceOf (target: PacedTarget, now: number): number {
    return this.#paceOf(target, now)?.pacer.greatestAllowance ?? Infinity
  }

  /** Returns the milliseconds until the target may get a request; 0 without a limit. */
  waitFor (target: PacedTarget, now: number): number {
    return this.#paceOf(target, now)?.pacer.waitFor(now) ?? 0
  }

  /**
   * Whether a target with a limit has been granted no request for so long that its limit may be over: while other targets take all requests, none of its
   * answers tells.
   */
  isProbeDue (target: PacedTarget, now: number): boolean {
    const pace = this.#paceOf(target, now)
    if (pace === null) {
      return false
    }
    // The wall clock may have been set back.
    pace.grantedAt = Math.min(pace.grantedAt, now)
    return now - pace.grantedAt >= probeMilliseconds
  }

  /** Counts a request that was granted here. */
  onGranted (target: PacedTarget, permit: string, now: number): void {
    const grants = this.#grants.get(target.id) ?? []
    this.#grants.set(target.id, grants)
    grants.push(now)
    while ((grants[0] ?? now) <= now - countedMilliseconds) {
      grants.shift()
    }
    this.onGrantedElsewhere(target, permit, now)
  }

  /** Counts a request that another owner has granted, once for each permit and target. */
  onGrantedElsewhere (target: PacedTarget, permit: string, now: number): void {
    const pace = this.#paceOf(target, now)
    if (pace === null) {
      return
    }
    const key = JSON.stringify([permit, target.id])
    if (this.#counted.has(key)) {
      return
    }
    pace.pacer.take(now)
    pace.grantedAt = now
    this.#counted.add(key)
    const [oldest] = this.#counted
    if (this.#counted.size > maximumCounted && oldest !== undefined) {
      this.#counted.delete(oldest)
    }
  }

  /** Returns the number of grants on a target in the last 4 s. */
  recentGrants (target: string, now: number): number {
    return (this.#grants.get(target) ?? []).filter(at => at > now - countedMilliseconds).length
  }

  /** Forgets the targets that are not in the set. */
  retainTargets (ids: ReadonlySet<string>): void {
    for (const id of new Set([...this.#paces.keys(), ...this.#grants.keys()])) {
      if (!ids.has(id)) {
        this.#paces.delete(id)
        this.#grants.delete(id)
      }
    }
  }

  /** Returns the pace of a target with a limit, or null. */
  #paceOf ({ id, born }: PacedTarget, now: number): Pace | null {
    const limit = this.limits.limitOf(id, born)
    if (limit === null) {
      this.#paces.delete(id)
      return null
    }
    const known = this.#paces.get(id)
    if (known?.born !== born) {
      const pace = { born, limit, grantedAt: now, pacer: new RequestPacer(pacedRate(limit), now) }
      this.#paces.set(id, pace)
      return pace
    }
    if (known.limit !== limit) {
      known.limit = limit
      known.pacer.setRate(pacedRate(limit), now)
    }
    return known
  }
}

function pacedRate (limit: number): number {
  return Math.max(limit, minimumRequestsPerSecond)
}
