/** The requests of accounts that a holder was granted in its last window, by the owner that granted them, for owners that take over. */
import { nameOfOwner, splitToDatagrams } from './allowance-messages.js'
import type { OwnerProcess, UsageReport } from './allowance-messages.js'
import { setLatest } from '../util/latest-entries.js'
import { bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'

/** Number of accounts that an owner is told of, those with the latest grants. */
const maximumAccounts = 1_000

interface GrantedPermit {
  readonly window: ChargeWindow
  readonly bucket: number
}

/** Counts grants by account and owner. */
export class GrantedUsage {
  readonly #accounts = new Map<string, Map<string, ChargeWindow>>()
  readonly #permits = new Map<string, GrantedPermit>()

  constructor (private readonly windowMilliseconds: number) {}

  /** Counts a slot that an owner has granted. */
  add (permit: string, account: string, owner: OwnerProcess, now: number): void {
    const owners = this.#accounts.get(account) ?? new Map<string, ChargeWindow>()
    setLatest(this.#accounts, account, owners, maximumAccounts)
    const name = nameOfOwner(owner)
    const window = owners.get(name) ?? new ChargeWindow()
    owners.set(name, window)
    const bucket = bucketOf(now)
    window.add(bucket, 1)
    this.#permits.set(permit, { window, bucket })
    this.#forgetPermits(now)
  }

  /** Takes a grant back whose request has not run. */
  refund (permit: string): void {
    const granted = this.#permits.get(permit)
    if (granted !== undefined) {
      this.#permits.delete(permit)
      granted.window.add(granted.bucket, -1)
    }
  }

  /** Returns what processes other than the receiver have granted within the window, in reports that fit into a datagram each; at least one. */
  reportsFor (receiver: OwnerProcess, now: number): readonly UsageReport[] {
    const owners: string[] = []
    const entries = this.#windows(now).filter(({ owner }) => owner !== nameOfOwner(receiver)).map(({ account, owner, window }) => {
      const index = owners.indexOf(owner)
      const counts = [...window.entries()].flatMap(([bucket, count]) => [bucketOf(now) - bucket, count])
      return [account, index < 0 ? owners.push(owner) - 1 : index, ...counts] as const
    })
    return splitToDatagrams(entries).map(part => ({ owners, entries: part }))
  }

  /** Returns the counts within the window that are not empty, and forgets the others. */
  #windows (now: number): ReadonlyArray<{ readonly account: string, readonly owner: string, readonly window: ChargeWindow }> {
    const oldest = oldestBucketOf(this.windowMilliseconds, now)
    const windows = []
    for (const [account, owners] of this.#accounts) {
      for (const [owner, window] of owners) {
        window.expireBefore(oldest)
        if (window.total === 0) {
          owners.delete(owner)
        } else {
          windows.push({ account, owner, window })
        }
      }
      if (owners.size === 0) {
        this.#accounts.delete(account)
      }
    }
    return windows
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
