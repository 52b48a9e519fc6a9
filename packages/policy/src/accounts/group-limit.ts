/** The limit of an account in a group of instances that may not see all others. */
import type { Account } from './account.js'

/** Bounds on the requests of an account. */
export interface AllowanceOptions {
  /** Length of the sliding window in milliseconds. */
  readonly windowMilliseconds: number
  /** Share of the allowance by which the requests that reach targets may exceed it. */
  readonly overage: number
  /** Requests by which they may exceed it besides. */
  readonly slack: number
}

export const defaultAllowanceOptions: AllowanceOptions = { windowMilliseconds: 5_000, overage: 0, slack: 0 }

/** How many instances an owner sees, itself included, and how many it has known lately. */
export interface AllowanceGroup {
  readonly seen: number
  readonly known: number
}

const millisecondsPerSecond = 1_000
/** Groups that may each exceed their share by this part of what may be exceeded in all. */
const maximumGroups = 16
/** Requests that rounding of a sum of shares may lack. */
const roundingError = 1e-9

/** Returns the requests that an account may send in one window. */
export function allowanceOf ({ requestsPerSecond, burst }: Account, { windowMilliseconds }: AllowanceOptions): number {
  return requestsPerSecond * windowMilliseconds / millisecondsPerSecond + burst
}

/** Returns the requests by which an account's allowance may be exceeded at targets. */
export function marginOf (allowance: number, { overage, slack }: AllowanceOptions): number {
  return overage * allowance + slack
}

/**
 * Returns the requests that a group grants in one window: its share of the allowance by the number of instances, and a part of the margin, since the
 * requests of an account are never divided exactly by instances. The part is at least a sixteenth for a group of less than half of the instances, and half of the share
 * otherwise. A larger group that misses k instances, 16 at most, leaves each of these a sixteenth and takes half of the rest, so that the loss of single
 * instances makes it refuse nothing. All groups together stay within the margin if those of less than half are 16 at most.
 */
export function groupLimit (allowance: number, { seen, known }: AllowanceGroup, options: AllowanceOptions): number {
  const all = Math.max(1, known, seen)
  const missing = all - seen
  const share = seen / all
  const extra = marginOf(allowance, options) * partOfMargin(share, missing)
  return Math.floor(Math.min(allowance, allowance * share + extra) + roundingError)
}

function partOfMargin (share: number, missing: number): number {
  if (share < 1 / 2) {
    return Math.max(1 / maximumGroups, share / 2)
  }
  return missing <= maximumGroups ? (1 - missing / maximumGroups) / 2 : share / 2
}
