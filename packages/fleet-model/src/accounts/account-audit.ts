/** Figures of what the requests of client accounts got. */
import type { AccountRequest } from './account-load.js'

/** Waiting times in milliseconds of granted requests, and the share that was granted. */
export interface WaitFigures {
  readonly requests: number
  readonly servedShare: number
  /** Share that was granted within the patience of its last attempt. */
  readonly inTimeShare: number
  readonly p50: number
  readonly p99: number
}

/** The account that got least in a window, compared with all accounts. */
export interface LeastServed {
  readonly account: string
  readonly from: number
  readonly asked: number
  readonly served: number
  /** Ratio served / asked of all accounts together. */
  readonly ratioOfAll: number
  /** Ratio of the account as a share of that of all. */
  readonly share: number
}

/** Returns the figures of the requests that arrived between two times and meet the condition. */
export function waitFigures (requests: readonly AccountRequest[], patienceMilliseconds: number, from: number, to: number, isCounted: (request: AccountRequest) => boolean): WaitFigures {
  const counted = requests.filter(request => request.arrivedAt >= from && request.arrivedAt < to && isCounted(request))
  const waits = counted.flatMap(({ grantedAt, arrivedAt }) => grantedAt === null ? [] : [grantedAt - arrivedAt]).sort((left, right) => left - right)
  const quantile = (share: number): number => waits[Math.min(waits.length - 1, Math.floor(waits.length * share))] ?? NaN
  const inTime = counted.filter(({ grantedAt, attemptedAt }) => grantedAt !== null && grantedAt - attemptedAt <= patienceMilliseconds).length
  return { requests: counted.length, servedShare: waits.length / counted.length, inTimeShare: inTime / counted.length, p50: quantile(0.5), p99: quantile(0.99) }
}

/**
 * Returns the account with the least share of the ratio of all, over all windows of a length between two times.
 *
 * @param minimumAsked requests that an account has to ask in a window to be compared
 */
export function leastServed (requests: readonly AccountRequest[], from: number, to: number, windowMilliseconds: number, stepMilliseconds: number, minimumAsked: number): LeastServed | null {
  let least: LeastServed | null = null
  for (let start = from; start + windowMilliseconds <= to; start += stepMilliseconds) {
    const inWindow = requests.filter(({ arrivedAt }) => arrivedAt >= start && arrivedAt < start + windowMilliseconds)
    const ratioOfAll = inWindow.filter(({ grantedAt }) => grantedAt !== null).length / inWindow.length
    const byAccount = new Map<string, { asked: number, served: number }>()
    for (const { account, grantedAt } of inWindow) {
      const counts = byAccount.get(account) ?? { asked: 0, served: 0 }
      byAccount.set(account, counts)
      counts.asked += 1
      counts.served += grantedAt === null ? 0 : 1
    }
    for (const [account, { asked, served }] of byAccount) {
      const share = served / asked / ratioOfAll
      if (asked >= minimumAsked && (least === null || share < least.share)) {
        least = { account, from: start, asked, served, ratioOfAll, share }
      }
    }
  }
  return least
}
