/** The requests of accounts that a holder was granted in its last window, by the owner that granted them, for owners that take over. */
import { toEntry } from './allowance-messages.js'
import type { AccountEntry } from './allowance-messages.js'
import { setLatest } from '../util/latest-entries.js'
import { bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'

/** Number of accounts that an owner is told of, those with the latest grants. */
const maximumAccounts = 1_000

interface GrantedPermit {
  readonly account: string
  readonly owner: string
  readonly bucket: number
}

/** Counts grants by account and owner. */
export class GrantedUsage {
  readonly #accounts = new Map<string, Map<string, ChargeWindow>>()
  readonly #permits = new Map<string, GrantedPermit>()

  constructor (private readonly windowMilliseconds: number) {}

  /** Counts a slot that an owner has granted. */
  add (permit: string, account: string, owner: string, now: number): void {
    const owners = this.#accounts.get(account) ?? new Map<string, ChargeWindow>()
    setLatest(this.#accounts, account, owners, maximumAccounts)
    const window = owners.get(owner) ?? new ChargeWindow()
    owners.set(owner, window)
    const bucket = bucketOf(now)
    window.add(bucket, 1)
    this.#permits.set(permit, { account, owner, bucket })
    this.#forgetPermits(now)
  }

  /** Takes a grant back whose request has not run. */
  refund (permit: string): void {
    const granted = this.#permits.get(permit)
    if (granted !== undefined) {
      this.#permits.delete(permit)
      this.#accounts.get(granted.account)?.get(granted.owner)?.add(granted.bucket, -1)
    }
  }

  /** Returns what owners other than the given one have granted within the window. */
  usageFor (receiver: string, now: number): readonly AccountEntry[] {
    const newest = bucketOf(now)
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    const usage: AccountEntry[] = []
    for (const [account, owners] of this.#accounts) {
      const counts = new Map<number, number>()
      for (const [owner, window] of owners) {
        window.expireBefore(oldest)
        if (window.total === 0) {
          owners.delete(owner)
        }
        for (const [bucket, count] of owner === receiver ? [] : window.entries()) {
          counts.set(newest - bucket, (counts.get(newest - bucket) ?? 0) + count)
        }
      }
      if (owners.size === 0) {
        this.#accounts.delete(account)
      } else if (counts.size > 0) {
        usage.push(toEntry({ account, waiting: 0, counts: [...counts] }))
      }
    }
    return usage
  }

  /** Forgets the permits whose grants count no longer; they stand in the order of their grants. */
  #forgetPermits (now: number): void {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    for (const [permit, { bucket }] of this.#permits) {
      if (bucket >= oldest) {
        return
      }
      this.#permits.delete(permit)
    }
  }
}
