/** Which counts of an owner's accounts its successors have not been told yet, or not often enough. */
import { entryBytes } from './allowance-messages.js'
import type { AccountEntry } from './allowance-messages.js'

/** Times that a changed count is sent, since datagrams are lost. */
const timesSent = 3
/** Interval at which the number of waiting requests is repeated; receivers forget it after three times that. */
const waitingIntervalMilliseconds = 300

interface UnsentAccount {
  /** Changed buckets, and how often each is still to be sent. */
  readonly buckets: Map<number, number>
  sentAt: number
}

/** Records changes until they have been sent three times. */
export class UnsentCharges {
  readonly #accounts = new Map<string, UnsentAccount>()

  /** Whether there is something to send. */
  get isEmpty (): boolean {
    return this.#accounts.size === 0
  }

  /** Records that the count of a bucket has changed, or only the number of waiting requests. */
  add (account: string, bucket: number | null): void {
    const unsent = this.#accounts.get(account) ?? { buckets: new Map<number, number>(), sentAt: -Infinity }
    this.#accounts.set(account, unsent)
    if (bucket === null) {
      unsent.sentAt = -Infinity
    } else {
      unsent.buckets.set(bucket, timesSent)
    }
  }

  forget (account: string): void {
    this.#accounts.delete(account)
  }

  /**
   * Returns what to send now, the accounts first that have changes which were never sent.
   *
   * @param entryOf returns an account's entry with the given buckets
   * @param waitingOf number of an account's waiting requests; an account with any is sent again
   * @param maximumBytes upper bound of the entries' bytes; what does not fit is sent next time
   */
  take (entryOf: (account: string, buckets: readonly number[]) => AccountEntry, waitingOf: (account: string) => number, maximumBytes: number, now: number): readonly AccountEntry[] {
    const due = [...this.#accounts].filter(([, { buckets, sentAt }]) => buckets.size > 0 || now - sentAt >= waitingIntervalMilliseconds)
    const isNew = ([, { buckets, sentAt }]: readonly [string, UnsentAccount]): boolean => sentAt === -Infinity || [...buckets.values()].includes(timesSent)
    const taken: AccountEntry[] = []
    let free = maximumBytes
    for (const [account, unsent] of [...due.filter(isNew), ...due.filter(entry => !isNew(entry))]) {
      const entry = entryOf(account, [...unsent.buckets.keys()])
      free -= entryBytes(entry)
      if (free < 0 && taken.length > 0) {
        break
      }
      taken.push(entry)
      this.#onSent(account, unsent, now)
    }
    for (const [account, { buckets, sentAt }] of this.#accounts) {
      if (buckets.size === 0 && sentAt > -Infinity && waitingOf(account) === 0) {
        this.#accounts.delete(account)
      }
    }
    return taken
  }

  #onSent (account: string, unsent: UnsentAccount, now: number): void {
    // Moved to the end, so that each account has its turn.
    this.#accounts.delete(account)
    this.#accounts.set(account, unsent)
    unsent.sentAt = now
    for (const [bucket, times] of unsent.buckets) {
      if (times > 1) {
        unsent.buckets.set(bucket, times - 1)
      } else {
        unsent.buckets.delete(bucket)
      }
    }
  }
}
