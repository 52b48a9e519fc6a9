/**
 * Bounds the requests of each client account over all instances, for loads in which one account sends many times its usual load: an owner of slots counts
 * what it grants, and what other owners and the holders report, in a sliding window. The design is in docs/design/account-allowances.md.
 */
import { setLatest } from '../util/latest-entries.js'
import type { Account } from './account.js'
import type { AccountDirectory } from './account-directory.js'
import { toEntry } from './allowance-messages.js'
import type { AccountEntry, ChargesReport, OwnerProcess, UsageReport } from './allowance-messages.js'
import { bucketMilliseconds, bucketOf, ChargeWindow, oldestBucketOf } from './charge-window.js'
import type { BucketCounts } from './charge-window.js'
import { ChargedPermits } from './charged-permits.js'
import { ColdStart } from './cold-start.js'
import { GroupHistory } from './group-history.js'
import { allowanceOf, defaultAllowanceOptions, groupLimit } from './group-limit.js'
import type { AllowanceGroup } from './group-limit.js'
import { HolderReports } from './holder-reports.js'
import { PeerCharges } from './peer-charges.js'
import { UnsentCharges } from './unsent-charges.js'

/** A request for a slot that counts towards the allowance of its account. */
export interface AllowanceDemand {
  readonly permit: string
  readonly holder: string
  readonly account: string
}

/** Where an owner's knowledge of requests before its own comes from. */
export const AllowanceOrigin = {
  /** It has counted all of them itself. */
  Own: 'own',
  /** Another owner has reported them. */
  Owners: 'owners',
  /** Only holders have reported some of them. */
  Holders: 'holders',
  /** Nobody has; they are assumed. */
  ColdStart: 'cold-start'
} as const
export type AllowanceOrigin = typeof AllowanceOrigin[keyof typeof AllowanceOrigin]

/** State of an account at an owner. */
export interface AllowanceState {
  readonly account: string
  /** Requests in one window that this owner's group may grant; null for no limit. */
  readonly limit: number | null
  /** Requests within the window, those that wait included. */
  readonly used: number
  readonly group: AllowanceGroup
  readonly origin: AllowanceOrigin
}

/** An account has used its allowance. */
export interface AllowanceRefusal extends AllowanceState {
  readonly limit: number
  /** Milliseconds until the window has room again. */
  readonly retryAfter: number
}

interface OwnCharges {
  readonly window: ChargeWindow
  waiting: number
}

/** Number of accounts that are remembered; those whose last request is longest ago are forgotten. */
const maximumAccounts = 10_000
/** Interval at which what counts no longer is forgotten. */
const sweepMilliseconds = 1_000
/** Time after which a waiting request counts as given up if its holder has not repeated it; holders do every 600 ms. */
const waitingTimeoutMilliseconds = 2_500

/** Counts and limits the requests of all accounts. Times are those of a clock that is not set, in milliseconds. */
export class AccountAllowances {
  readonly #own = new Map<string, OwnCharges>()
  readonly #permits = new ChargedPermits()
  readonly #peers: PeerCharges
  readonly #holders: HolderReports
  readonly #unsent = new UnsentCharges()
  readonly #coldStart: ColdStart
  readonly #history: GroupHistory
  #accounts: AccountDirectory | null = null
  #group: AllowanceGroup = { seen: 1, known: 1 }
  #sweptAt = -Infinity

  /** @param startedAt start of this process */
  constructor (startedAt: number, private readonly options = defaultAllowanceOptions) {
    const { windowMilliseconds } = options
    this.#peers = new PeerCharges(windowMilliseconds)
    this.#holders = new HolderReports(windowMilliseconds, (owner, account, now) => this.#peers.countsOf(owner, account, now))
    this.#coldStart = new ColdStart(startedAt)
    this.#history = new GroupHistory(windowMilliseconds)
  }

  /** Sets the accounts of the configuration in force; null if there are none. */
  setAccounts (accounts: AccountDirectory | null): void {
    this.#accounts = accounts
  }

  /** Sets how many instances are seen and known. */
  setGroup (group: AllowanceGroup, now: number): void {
    this.#group = group
    this.#history.record(group, now)
    this.#coldStart.setKnown(group.known)
  }

  /**
   * Takes note of when another instance started. Half of them have to have been there a window before this one for it to assume no requests: they tell a
   * new owner what they were granted.
   */
  onStart (address: string, startedAt: number): void {
    this.#coldStart.observe(address, startedAt)
  }

  /**
   * Charges a request unless its permit is charged already. Returns null if it may be granted, or a refusal, which charges nothing. Once it is decided,
   * {@link onGranted} or {@link refund} has to be called; it counts as a waiting one until then.
   */
  request ({ permit, holder, account }: AllowanceDemand, now: number): AllowanceRefusal | null {
    this.#sweep(now)
    const known = this.#permits.get(permit)
    if (known !== undefined) {
      known.seenAt = now
      return null
    }
    const state = this.stateOf(account, now)
    if (state.limit !== null && state.used >= state.limit) {
      return { ...state, limit: state.limit, retryAfter: this.#untilRoom(account, state.limit, now) }
    }
    this.#permits.add(permit, account, holder, now)
    this.#ownOf(account).waiting += 1
    this.#markUnsent(account, null)
    return null
  }

  /** Records that the slot of a permit was granted. It counts from now on for one window, since its target gets it now. */
  onGranted (permit: string, now: number): void {
    const charged = this.#permits.get(permit)
    if (charged === undefined || charged.bucket !== null) {
      return
    }
    const bucket = bucketOf(now)
    this.#permits.setGranted(permit, charged, bucket, now)
    const own = this.#ownOf(charged.account)
    own.waiting = Math.max(0, own.waiting - 1)
    own.window.add(bucket, 1)
    this.#markUnsent(charged.account, bucket)
  }

  /** Takes the charge of a request back that was refused or given up, or whose slot was released unused. */
  refund (permit: string): void {
    const charged = this.#permits.get(permit)
    const own = this.#own.get(charged?.account ?? '')
    this.#permits.remove(permit)
    if (charged === undefined || own === undefined) {
      return
    }
    if (charged.bucket === null) {
      own.waiting = Math.max(0, own.waiting - 1)
      this.#markUnsent(charged.account, null)
    } else if (own.window.countOf(charged.bucket) > 0 && own.window.add(charged.bucket, -1)) {
      this.#markUnsent(charged.account, charged.bucket)
    }
  }

  /** Takes the charge of a request back if that waits. */
  withdraw (permit: string): void {
    if (this.#permits.get(permit)?.bucket === null) {
      this.refund(permit)
    }
  }

  /** Takes the charges of a failed holder's waiting requests back. */
  forgetHolder (holder: string): void {
    this.#permits.waitingWhere(charged => charged.holder === holder).forEach(permit => { this.refund(permit) })
  }

  /** Takes over what another owner reports; returns whether it came so late that the owners have to be asked for all of their charges. */
  onCharges (address: string, report: ChargesReport, now: number): boolean {
    this.#peers.apply(address, report, now).forEach(account => { this.#holders.onCharges(account) })
    return this.#peers.isLate({ address, incarnation: report.incarnation }, now)
  }

  /**
   * Forgets what waits at owners that are not seen.
   *
   * @param seen addresses of the instances that are seen, this one included
   */
  setSeen (seen: ReadonlySet<string>): void {
    this.#peers.forgetWaitingOfUnseen(seen)
  }

  /** Takes over what a holder was granted by others. */
  onUsage (holder: string, report: UsageReport, now: number): void {
    this.#holders.apply(holder, report, now)
  }

  /** Whether there are charges that other owners have not been told. */
  get hasUnsent (): boolean {
    return !this.#unsent.isEmpty
  }

  /**
   * Returns what other owners have to be told now; it is not returned again, but for repetitions.
   *
   * @param maximumBytes upper bound of the entries' bytes
   */
  takeUnsent (maximumBytes: number, now: number): readonly AccountEntry[] {
    const newest = bucketOf(now)
    const waitingOf = (account: string): number => this.#own.get(account)?.waiting ?? 0
    return this.#unsent.take((account, buckets) => {
      const window = this.#own.get(account)?.window
      return toEntry({ account, waiting: waitingOf(account), counts: buckets.map(bucket => [newest - bucket, window?.countOf(bucket) ?? 0] as const) })
    }, waitingOf, maximumBytes, now)
  }

  /** Returns all that this owner has charged within the window, for one that begins to own slots. */
  allCharges (now: number): readonly AccountEntry[] {
    const newest = bucketOf(now)
    const oldest = oldestBucketOf(this.options.windowMilliseconds, now)
    return [...this.#own].flatMap(([account, { window, waiting }]) => {
      window.expireBefore(oldest)
      const counts = [...window.entries()].map(([bucket, count]) => [newest - bucket, count] as const)
      return counts.length === 0 && waiting === 0 ? [] : [toEntry({ account, waiting, counts })]
    })
  }

  /** Returns the milliseconds by which the clock of another owner has stood still since its last report; 0 if unknown. */
  lagOf (owner: OwnerProcess, at: number, now: number): number {
    return this.#peers.lagOf(owner, at, now)
  }

  /** Returns the state of an account. */
  stateOf (account: string, now: number): AllowanceState {
    const limited = this.#limitedOf(account)
    const limit = limited === null ? null : groupLimit(allowanceOf(limited, this.options), this.#group, this.options)
    const used = this.#grantedTo(account, now) + this.#waitingOf(account, now) + this.#assumedOf(limited, now)
    return { account, limit, used, group: this.#group, origin: this.#originOf(account, now) }
  }

  /** Returns the state of the accounts that this owner has charged, those with the latest requests last. */
  states (now: number): readonly AllowanceState[] {
    return [...this.#own.keys()].map(account => this.stateOf(account, now))
  }

  /** Other owners need no counts of accounts without a limit. An account that is unknown here may have one elsewhere. */
  #markUnsent (account: string, bucket: number | null): void {
    if (this.#accounts?.findByName(account)?.requestsPerSecond !== 0) {
      this.#unsent.add(account, bucket)
    }
  }

  #limitedOf (account: string): Account | null {
    const known = this.#accounts?.findByName(account) ?? null
    return known === null || known.requestsPerSecond === 0 ? null : known
  }

  /** A group of some instances assumes the share of its limit. */
  #assumedOf (account: Account | null, now: number): number {
    const { seen, known } = this.#group
    return account === null ? 0 : this.#coldStart.assumedOf(account, this.options, now) * Math.min(1, seen / Math.max(1, known))
  }

  #originOf (account: string, now: number): AllowanceOrigin {
    if (this.#coldStart.isCold(this.options, now)) {
      return AllowanceOrigin.ColdStart
    }
    if (this.#holders.unreportedOf(account, now) > 0) {
      return AllowanceOrigin.Holders
    }
    return this.#peers.hasHeard(now) ? AllowanceOrigin.Owners : AllowanceOrigin.Own
  }

  /** Returns the requests within the window, as far as they count for the group. */
  #grantedTo (account: string, now: number): number {
    if (!this.#history.isUniform) {
      return this.#countsOf(account, now).reduce((sum, [, count]) => sum + count, 0)
    }
    const own = this.#own.get(account)?.window
    own?.expireBefore(oldestBucketOf(this.options.windowMilliseconds, now))
    return (own?.total ?? 0) + this.#peers.grantedTo(account, now) + this.#holders.unreportedOf(account, now)
  }

  /** Returns these requests by bucket. */
  #countsOf (account: string, now: number): BucketCounts {
    const oldest = oldestBucketOf(this.options.windowMilliseconds, now)
    return [
      ...this.#own.get(account)?.window.entries() ?? [],
      ...this.#peers.allCountsOf(account, now),
      ...this.#holders.unreportedCountsOf(account, now)
    ].filter(([bucket]) => bucket >= oldest).map(([bucket, count]) => [bucket, count * this.#history.weightOf(bucket)] as const)
  }

  #waitingOf (account: string, now: number): number {
    return (this.#own.get(account)?.waiting ?? 0) + this.#peers.waitingOf(account, now)
  }

  #ownOf (account: string): OwnCharges {
    const own = this.#own.get(account) ?? { window: new ChargeWindow(), waiting: 0 }
    const forgotten = setLatest(this.#own, account, own, maximumAccounts)
    if (forgotten !== null) {
      this.#unsent.forget(forgotten)
    }
    return own
  }

  /** Returns the milliseconds until enough buckets have expired; waiting requests count as if they were granted now. */
  #untilRoom (account: string, limit: number, now: number): number {
    const { windowMilliseconds } = this.options
    const limited = this.#limitedOf(account)
    const counts = [...this.#countsOf(account, now)].sort(([left], [right]) => left - right)
    let used = counts.reduce((sum, [, count]) => sum + count, this.#waitingOf(account, now))
    let expired = 0
    const newest = bucketOf(now)
    // What is granted now expires with the end of its bucket.
    const last = newest + Math.ceil(windowMilliseconds / bucketMilliseconds) + 1
    for (let bucket = newest + 1; bucket <= last; bucket += 1) {
      const at = bucket * bucketMilliseconds
      for (let next = counts[expired]; next !== undefined && next[0] < oldestBucketOf(windowMilliseconds, at); next = counts[expired]) {
        used -= next[1]
        expired += 1
      }
      if (used + this.#assumedOf(limited, at) < limit) {
        return Math.ceil(at - now)
      }
    }
    return Math.ceil(last * bucketMilliseconds - now)
  }

  #sweep (now: number): void {
    if (now - this.#sweptAt < sweepMilliseconds) {
      return
    }
    this.#sweptAt = now
    const { windowMilliseconds } = this.options
    this.#permits.waitingWhere(({ seenAt }) => now - seenAt > waitingTimeoutMilliseconds).forEach(permit => { this.refund(permit) })
    this.#permits.forgetGranted(now - 2 * windowMilliseconds)
    this.#peers.sweep(now)
    this.#holders.sweep(now)
    const oldest = oldestBucketOf(windowMilliseconds, now)
    for (const [account, { window, waiting }] of this.#own) {
      window.expireBefore(oldest)
      if (window.total === 0 && waiting === 0) {
        this.#own.delete(account)
      }
    }
  }
}
