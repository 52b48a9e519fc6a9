/** Checks the requests of accounts that reached targets against the bound on them. */
import type { Account, AllowanceOptions } from '@arbutusloft/policy'
import { allowanceOf, marginOf } from '@arbutusloft/policy'

/** Returns the greatest number of times within any window, from a time on. */
export function mostInWindow (times: readonly number[], windowMilliseconds: number, from = -Infinity, until = Infinity): number {
  const counted = times.filter(at => at >= from && at < until)
  let first = 0
  let most = 0
  for (const [index, at] of counted.entries()) {
    while ((counted[first] ?? at) <= at - windowMilliseconds) {
      first += 1
    }
    most = Math.max(most, index - first + 1)
  }
  return most
}

/** Returns the requests of an account that may reach targets in any window. */
export function boundOf (account: Account, options: AllowanceOptions): number {
  const allowance = allowanceOf(account, options)
  return allowance + marginOf(allowance, options)
}
