/** The charges of other owners, as they report them. */
import { bucketMilliseconds, bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'
import { setLatest } from '../util/latest-entries.js'
import { fromEntry, nameOfOwner } from './allowance-messages.js'
import type { BucketCounts } from './charge-window.js'
import type { ChargesReport, OwnerProcess } from './allowance-messages.js'

interface Source {
  readonly address: string
  /** Time of this process's clock less that of the sender, for the datagram that took least. */
  offset: number
  /** Time by which the offset has last grown at once, and when: the sender's clock had stood still, or has been set back. */
  jump: { readonly by: number, readonly at: number }
  heardAt: number
  readonly accounts: Map<string, SourceAccount>
}

interface SourceAccount {
  readonly window: ChargeWindow
  waiting: number
  heardAt: number
}

/** Number of owners, and of accounts of each, that are remembered. */
const maximumSources = 64
const maximumAccounts = 10_000
/** A clock that differs by more than this from what was known has been stopped or replaced: datagrams are not that late. */
const maximumDelayMilliseconds = 1_000
/** Time for which a jump is told to its sender, which may ask only after it has reported by the clock that stood still. */
const jumpMilliseconds = 1_000
/** Time by which the known offset may fall behind with each report, so that it follows a clock that runs faster. */
const offsetDriftMilliseconds = 1
/** Time for which a number of waiting requests is taken for valid; it is repeated three times as often. */
const waitingValidMilliseconds = 900

/** Counts by owner, account and bucket of that owner's clock, since a count that is sent again must replace the former one. */
export class PeerCharges {
  /** By name of the owner. */
  readonly #sources = new Map<string, Source>()

  constructor (private readonly windowMilliseconds: number) {}

  /** Applies a report; returns the accounts in it. */
  apply (address: string, report: ChargesReport, now: number): readonly string[] {
    const source = this.#sourceOf({ address, incarnation: report.incarnation }, now - report.at, now)
    const newest = bucketOf(report.at)
    const charges = report.entries.map(fromEntry)
    for (const { account, waiting, counts } of charges) {
      const known = source.accounts.get(account) ?? { window: new ChargeWindow(), waiting: 0, heardAt: now }
      known.waiting = waiting
      known.heardAt = now
      for (const [bucketsAgo, count] of counts) {
        known.window.set(newest - bucketsAgo, count)
      }
      setLatest(source.accounts, account, known, maximumAccounts)
    }
    return charges.map(({ account }) => account)
  }

  /** Whether the last report of an owner came so late that this process may have been stopped; the ages of its counts are then uncertain until the next one. */
  isLate (owner: OwnerProcess, now: number): boolean {
    const jump = this.#sources.get(nameOfOwner(owner))?.jump
    return jump !== undefined && jump.by > 0 && jump.at === now
  }

  /** Forgets the waiting requests of owners that are not seen: their holders ask other owners, where they would count a second time. */
  forgetWaitingOfUnseen (seen: ReadonlySet<string>): void {
    for (const { address, accounts } of this.#sources.values()) {
      if (!seen.has(address)) {
        accounts.forEach(account => { account.waiting = 0 })
      }
    }
  }

  /** Returns the milliseconds by which the clock of an owner has stood still since its last report, as one at which its process was stopped does; 0 if unknown. */
  lagOf (owner: OwnerProcess, at: number, now: number): number {
    const known = this.#sources.get(nameOfOwner(owner))
    if (known === undefined) {
      return 0
    }
    const { by, at: jumpedAt } = known.jump
    return Math.max(0, now - at - known.offset) + (now - jumpedAt < jumpMilliseconds ? by : 0)
  }

  /** Returns the requests of an account that other owners have granted within the window. */
  grantedTo (account: string, now: number): number {
    let granted = 0
    for (const { offset, accounts } of this.#sources.values()) {
      const window = accounts.get(account)?.window
      window?.expireBefore(oldestBucketOf(this.windowMilliseconds, now - offset))
      granted += window?.total ?? 0
    }
    return granted
  }

  /** Returns the requests of an account that wait at other owners. */
  waitingOf (account: string, now: number): number {
    return [...this.#sources.values()].reduce((sum, { accounts }) => {
      const known = accounts.get(account)
      return known !== undefined && now - known.heardAt < waitingValidMilliseconds ? sum + known.waiting : sum
    }, 0)
  }

  /** Returns the counts of an account at an owner by bucket of this process's clock. */
  countsOf (owner: string, account: string, now: number): BucketCounts {
    const source = this.#sources.get(owner)
    const window = source?.accounts.get(account)?.window
    if (source === undefined || window === undefined) {
      return []
    }
    window.expireBefore(oldestBucketOf(this.windowMilliseconds, now - source.offset))
    return [...window.entries()].map(([bucket, count]) => [bucket + Math.round(source.offset / bucketMilliseconds), count] as const)
  }

  /** Returns the counts of an account at all owners by bucket of this process's clock. */
  allCountsOf (account: string, now: number): BucketCounts {
    return [...this.#sources.keys()].flatMap(owner => this.countsOf(owner, account, now))
  }

  /** Whether a report of an owner counts within the window. */
  hasHeard (now: number): boolean {
    return [...this.#sources.values()].some(({ heardAt }) => now - heardAt < this.windowMilliseconds)
  }

  /** Forgets owners that have reported nothing for two windows, and accounts without a count. */
  sweep (now: number): void {
    for (const [owner, { heardAt, offset, accounts }] of this.#sources) {
      if (now - heardAt > 2 * this.windowMilliseconds) {
        this.#sources.delete(owner)
        continue
      }
      for (const [account, { window, heardAt: accountHeardAt }] of accounts) {
        window.expireBefore(oldestBucketOf(this.windowMilliseconds, now - offset))
        if (window.total === 0 && now - accountHeardAt > waitingValidMilliseconds) {
          accounts.delete(account)
        }
      }
    }
  }

  #sourceOf (process: OwnerProcess, offset: number, now: number): Source {
    const owner = nameOfOwner(process)
    const known = this.#sources.get(owner)
    if (known === undefined) {
      const source: Source = { address: process.address, offset, jump: { by: 0, at: -Infinity }, heardAt: now, accounts: new Map<string, SourceAccount>() }
      setLatest(this.#sources, owner, source, maximumSources)
      return source
    }
    known.heardAt = now
    if (Math.abs(offset - known.offset) > maximumDelayMilliseconds) {
      known.jump = { by: Math.max(0, offset - known.offset), at: now }
      known.offset = offset
    } else {
      known.offset = Math.min(offset, known.offset + offsetDriftMilliseconds)
    }
    return known
  }
}
