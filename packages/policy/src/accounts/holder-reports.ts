/** What holders report to a new owner of the requests that others granted them, and what of it those others have not reported themselves. */
import { setLatest } from '../util/latest-entries.js'
import { fromEntry } from './allowance-messages.js'
import type { UsageReport } from './allowance-messages.js'
import { bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'
import type { BucketCounts } from './charge-window.js'

/** Number of accounts that are remembered. */
const maximumAccounts = 10_000
/**
 * Buckets by which the owner and the holder of a slot may differ on the time of its grant: the way of the grant, the way of either report, and
 * rounding. Without it, an account with many requests would count some of them twice.
 */
const toleranceBuckets = 2

/** Keeps the newest report of each holder by account and owner. */
export class HolderReports {
  /** Counts by account, owner and holder. */
  readonly #accounts = new Map<string, Map<string, Map<string, BucketCounts>>>()
  /** Requests that owners have not reported, by account; left out if they have to be computed. */
  readonly #unreported = new Map<string, ChargeWindow>()

  /** @param countsOf returns what an owner has reported of an account */
  constructor (private readonly windowMilliseconds: number, private readonly countsOf: (owner: string, account: string, now: number) => BucketCounts) {}

  /** Applies a report of a holder. */
  apply (holder: string, { owners, entries }: UsageReport, now: number): void {
    const newest = bucketOf(now)
    for (const entry of entries) {
      const { account, waiting: index, counts } = fromEntry(entry)
      const owner = owners[index]
      if (owner === undefined) {
        continue
      }
      const granters = this.#accounts.get(account) ?? new Map<string, Map<string, BucketCounts>>()
      const holders = granters.get(owner) ?? new Map<string, BucketCounts>()
      granters.set(owner, holders)
      holders.set(holder, counts.map(([bucketsAgo, count]) => [newest - bucketsAgo, count] as const))
      this.#unreported.delete(account)
      this.#unreported.delete(setLatest(this.#accounts, account, granters, maximumAccounts) ?? '')
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
  unreportedCountsOf (account: string, now: number): BucketCounts {
    return [...this.#windowOf(account, now)?.entries() ?? []]
  }

  /** Forgets reports that no longer count. */
  sweep (now: number): void {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    for (const [account, granters] of this.#accounts) {
      for (const [owner, holders] of granters) {
        for (const [holder, counts] of holders) {
          if (counts.every(([bucket]) => bucket < oldest)) {
            holders.delete(holder)
          }
        }
        if (holders.size === 0) {
          granters.delete(owner)
        }
      }
      if (granters.size === 0) {
        this.#accounts.delete(account)
        this.#unreported.delete(account)
      }
    }
  }

  #windowOf (account: string, now: number): ChargeWindow | null {
    const granters = this.#accounts.get(account)
    if (granters === undefined) {
      return null
    }
    const known = this.#unreported.get(account)
    if (known !== undefined) {
      return known
    }
    const window = new ChargeWindow()
    for (const [owner, holders] of granters) {
      this.#addUnreported(window, [...holders.values()].flat(), this.countsOf(owner, account, now), now)
    }
    this.#unreported.set(account, window)
    return window
  }

  /**
   * Compares running sums from the oldest bucket on. A request that only holders have reported makes their sum the greater one from then on; one that
   * only the owner has reported may stand for it later, so that the sum of both is the greater of them.
   */
  #addUnreported (window: ChargeWindow, held: BucketCounts, reported: BucketCounts, now: number): void {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    const newest = bucketOf(now)
    const heldBy = sumsByBucket(held)
    const reportedBy = sumsByBucket(reported)
    let heldSum = 0
    // The owner may have counted the first requests of the holders' sum one bucket earlier.
    const isBefore = (bucket: number): boolean => bucket > oldest && bucket < oldest + toleranceBuckets * 2
    let reportedSum = reported.reduce((sum, [bucket, count]) => isBefore(bucket) ? sum + count : sum, 0)
    let greatest = 0
    for (let bucket = oldest + toleranceBuckets; bucket <= newest; bucket += 1) {
      heldSum += heldBy.get(bucket) ?? 0
      reportedSum += reportedBy.get(bucket + toleranceBuckets) ?? 0
      const excess = heldSum - reportedSum
      if (excess > greatest) {
        window.add(bucket, excess - greatest)
        greatest = excess
      }
    }
  }
}

function sumsByBucket (counts: BucketCounts): ReadonlyMap<number, number> {
  const sums = new Map<number, number>()
  for (const [bucket, count] of counts) {
    sums.set(bucket, (sums.get(bucket) ?? 0) + count)
  }
  return sums
}
