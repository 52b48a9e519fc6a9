/** Rate limits of targets at a holder whose owner does not keep them, as owners of builds before the limits do not. */
import type { TargetRateLimits } from './target-rate-limits.js'
import { setLatest } from '../util/latest-entries.js'

interface ToldLimit {
  readonly born: number
  /** Time at which the owner was first told, in milliseconds since the epoch. */
  toldAt: number
  /** Whether the owner has granted a slot since as if it had not been told. */
  isUnpaced: boolean
}

const millisecondsPerSecond = 1_000
/** Time after which an owner that was told of a limit knows it: more than a message and a grant take. */
const tellMilliseconds = 500
/** Number of owners that are remembered, and of targets; the ones told or used first are forgotten. */
const maximumOwners = 100
const maximumTargets = 1_000
/** Requests a second that all holders together send to a target however low its limit is: only an answer tells that the limit is over. */
const minimumRequestsPerSecond = 0.25

/**
 * Keeps a holder within an even share of a target's limit, while the owner of its slots grants them without knowing the limit though the holder has told it.
 * Holders of n instances that all do so send no more than n + r t requests in t seconds at a limit of r a second.
 */
export class HolderPacing {
  /** Limits that owners were told, by address of the owner and id of the target. */
  readonly #told = new Map<string, Map<string, ToldLimit>>()
  /** Times at which slots were last used that an owner granted without knowing the limit, by target, in milliseconds since the epoch. */
  readonly #usedAt = new Map<string, number>()

  constructor (private readonly limits: TargetRateLimits) {}

  /** Takes note that an owner was told of the limit of a target which started at this time, after it had granted a slot without knowing any. */
  onTold (owner: string, target: string, born: number, now: number): void {
    const told = this.#told.get(owner) ?? new Map<string, ToldLimit>()
    setLatest(this.#told, owner, told, maximumOwners)
    if (told.get(target)?.born !== born) {
      setLatest(told, target, { born, toldAt: now, isUnpaced: false }, maximumTargets)
      setLatest(this.#usedAt, target, now, maximumTargets)
    }
  }

  /**
   * Whether the holder may use a slot that it was granted; counts it then.
   *
   * @param granted limit that the owner knew, null if it knew that there is none, undefined if it knew nothing
   * @param members number of instances that share the limit
   */
  admits (owner: string, target: string, born: number, granted: number | null | undefined, members: number, now: number): boolean {
    if (granted !== undefined) {
      // It keeps limits, and so those of other targets too.
      this.#told.delete(owner)
      return true
    }
    if (this.limits.limitOf(target, born) === null) {
      this.#told.get(owner)?.delete(target)
      return true
    }
    const told = this.#told.get(owner)?.get(target)
    if (told?.born === born) {
      // The wall clock may have been set back.
      told.toldAt = Math.min(told.toldAt, now)
      told.isUnpaced ||= now - told.toldAt >= tellMilliseconds
      if (told.isUnpaced && this.waitFor(target, born, members, now) > 0) {
        return false
      }
    }
    setLatest(this.#usedAt, target, now, maximumTargets)
    return true
  }

  /** Returns the targets whose slots the holder may not use at present if this owner grants them. */
  exhausted (owner: string, members: number, now: number): readonly string[] {
    const told = [...this.#told.get(owner) ?? []]
    return told.filter(([target, { born, isUnpaced }]) => isUnpaced && this.waitFor(target, born, members, now) > 0).map(([target]) => target)
  }

  /** Returns the milliseconds until the holder may use a slot of a target within its share of the limit; 0 without a limit. */
  waitFor (target: string, born: number, members: number, now: number): number {
    const limit = this.limits.limitOf(target, born)
    const usedAt = this.#usedAt.get(target)
    if (limit === null || usedAt === undefined) {
      return 0
    }
    const last = Math.min(usedAt, now)
    this.#usedAt.set(target, last)
    return Math.max(0, last + members * millisecondsPerSecond / Math.max(limit, minimumRequestsPerSecond) - now)
  }
}
