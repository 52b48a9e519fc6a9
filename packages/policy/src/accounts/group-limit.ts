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
 * Returns the requests that a group grants in one window: its share of the allowance by the number of instances. A group of less than half of them gets a
 * sixteenth of the margin besides. A larger one that misses up to 16 gets up to half of the margin, so that the loss of single instances makes it
 * refuse nothing; all groups together then stay within the margin: with k instances outside, they add at most k/16 + (1 - k/16)/2 of it.
 */
export function groupLimit (allowance: number, { seen, known }: AllowanceGroup, options: AllowanceOptions): number {
  const all = Math.max(1, known, seen)
  const missing = all - seen
  const margin = marginOf(allowance, options)
  const extra = seen * 2 < all ? margin / maximumGroups : Math.max(0, 1 - missing / maximumGroups) * margin / 2
  return Math.floor(Math.min(allowance, allowance * seen / all + extra) + roundingError)
}
