/** What holders report to a new owner of the requests that others granted them, and what of it those others have not reported themselves. */
import { setLatest } from '../util/latest-entries.js'
import { fromEntry } from './allowance-messages.js'
import type { UsageReport } from './allowance-messages.js'
import { bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'

/** Number of accounts that are remembered. */
const maximumAccounts = 10_000
/**
 * Buckets by which the owner and the holder of a slot may differ on the time of its grant: the way of the grant, the way of either report, and
 * rounding. Without it, an account with many requests would count some of them twice.
 */
const toleranceBuckets = 2

/** Keeps the newest report of each holder by account. */
export class HolderReports {
  readonly #accounts = new Map<string, Map<string, ReadonlyArray<readonly [bucket: number, count: number]>>>()
  /** Requests that owners have not reported, by account; left out if they have to be computed. */
  readonly #unreported = new Map<string, ChargeWindow>()
  #heardAt = -Infinity

  /** @param countsOf returns what owners have reported of an account */
  constructor (private readonly windowMilliseconds: number, private readonly countsOf: (account: string, now: number) => ReadonlyArray<readonly [bucket: number, count: number]>) {}

  /** Applies a report of a holder. */
  apply (holder: string, { entries }: UsageReport, now: number): void {
    const newest = bucketOf(now)
    this.#heardAt = now
    for (const { account, counts } of entries.map(fromEntry)) {
      const holders = this.#accounts.get(account) ?? new Map<string, ReadonlyArray<readonly [bucket: number, count: number]>>()
      holders.set(holder, counts.map(([bucketsAgo, count]) => [newest - bucketsAgo, count] as const))
      this.#unreported.delete(account)
      const forgotten = setLatest(this.#accounts, account, holders, maximumAccounts)
      this.#unreported.delete(forgotten ?? '')
    }
  }

  /** Takes note that an owner has reported other charges of an account. */
  onCharges (account: string): void {
    this.#unreported.delete(account)
  }

  /** Returns the requests of an account that only holders have reported. */
  unreportedOf (account: string, now: number): number {
    const window = this.#windowOf(account, now)
    window?.expireBefore(oldestBucketOf(this.windowMilliseconds, now))
    return window?.total ?? 0
  }

  /** Returns these requests by bucket. */
  unreportedCountsOf (account: string, now: number): ReadonlyArray<readonly [bucket: number, count: number]> {
    return [...this.#windowOf(account, now)?.entries() ?? []]
  }

  /** Whether a report of a holder counts within the window. */
  hasHeard (now: number): boolean {
    return now - this.#heardAt < this.windowMilliseconds
  }

  /** Forgets reports that no longer count. */
  sweep (now: number): void {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    for (const [account, holders] of this.#accounts) {
      for (const [holder, counts] of holders) {
        if (counts.every(([bucket]) => bucket < oldest)) {
          holders.delete(holder)
        }
      }
      if (holders.size === 0) {
        this.#forget(account)
      }
    }
  }

  #forget (account: string): void {
    this.#accounts.delete(account)
    this.#unreported.delete(account)
  }

  #windowOf (account: string, now: number): ChargeWindow | null {
    const holders = this.#accounts.get(account)
    if (holders === undefined) {
      return null
    }
    const known = this.#unreported.get(account)
    if (known !== undefined) {
      return known
    }
    const window = this.#compute(account, holders, now)
    this.#unreported.set(account, window)
    return window
  }

  /**
   * Compares running sums from the oldest bucket on. A request that only holders have reported makes their sum the greater one from then on; one that
   * only owners have reported may stand for it later, so that the window holds the greater of both.
   */
  #compute (account: string, holders: ReadonlyMap<string, ReadonlyArray<readonly [bucket: number, count: number]>>, now: number): ChargeWindow {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    const newest = bucketOf(now)
    const held = countsByBucket([...holders.values()].flat())
    const reported = countsByBucket(this.countsOf(account, now))
    const window = new ChargeWindow()
    let heldSum = 0
    // Owners may have counted the first requests of holders' sum one bucket earlier.
    const isBefore = (bucket: number): boolean => bucket > oldest && bucket < oldest + toleranceBuckets * 2
    let reportedSum = [...reported].reduce((sum, [bucket, count]) => isBefore(bucket) ? sum + count : sum, 0)
    let greatest = 0
    for (let bucket = oldest + toleranceBuckets; bucket <= newest; bucket += 1) {
      heldSum += held.get(bucket) ?? 0
      reportedSum += reported.get(bucket + toleranceBuckets) ?? 0
      const excess = heldSum - reportedSum
      if (excess > greatest) {
        window.set(bucket, excess - greatest)
        greatest = excess
      }
    }
    return window
  }
}

function countsByBucket (counts: ReadonlyArray<readonly [bucket: number, count: number]>): ReadonlyMap<number, number> {
  const sums = new Map<number, number>()
  for (const [bucket, count] of counts) {
    sums.set(bucket, (sums.get(bucket) ?? 0) + count)
  }
  return sums
}
