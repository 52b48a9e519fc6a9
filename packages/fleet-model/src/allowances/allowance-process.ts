/** An instance: a holder, an owner of what others ask it for, and what it shares of both. */
import { AccountAllowances, AccountDirectory, GrantedUsage, maximumEntryBytes, splitToDatagrams } from '@arbutusloft/policy'
import type { Account, AllowanceOptions, AllowanceRefusal, ChargesReport, OwnerProcess, UsageReport } from '@arbutusloft/policy'

/** Milliseconds for which an instance that is no longer seen counts as known. */
const knownMilliseconds = 10_000
/** Time by which a clock has to have stood still until it is set. */
const minimumLagMilliseconds = 500

/** Keeps the state of an instance from its start to its end. */
export class AllowanceProcess {
  readonly allowances: AccountAllowances
  readonly usage: GrantedUsage
  /** Owners that this process has reported to since they became owners. */
  toldOwners: ReadonlySet<string> = new Set()
  isGranter = false
  /** Time of the last question in the time of the model. */
  askedAt = -Infinity
  /** Start of the process in the time of the model. */
  readonly startedAt: number
  /** Whether a clock that has stood still is to be set by the next answer. */
  isClockDoubtful = false
  /** Permits that this process has granted, and those that wait. */
  readonly granted = new Set<string>()
  readonly waiting = new Set<string>()
  readonly #seenAt = new Map<number, number>()
  #seen: readonly number[] = []
  #lost = 0

  /** @param clockOffset difference of this instance's clock from the time of the model */
  constructor (readonly number: number, readonly incarnation: number, private readonly simulatedNow: () => number, private readonly clockOffset: number, options: AllowanceOptions) {
    this.startedAt = simulatedNow()
    this.allowances = new AccountAllowances(this.now, options)
    this.usage = new GrantedUsage(options.windowMilliseconds)
  }

  get now (): number {
    return this.simulatedNow() + this.clockOffset - this.#lost
  }

  /** Names this process to holders. */
  get identity (): OwnerProcess {
    return { address: String(this.number), incarnation: this.incarnation }
  }

  /** Makes the clock lose time, as one that stands still while the process is stopped. */
  loseTime (milliseconds: number): void {
    this.#lost += milliseconds
    this.isClockDoubtful = true
  }

  setClock (lag: number): void {
    if (this.isClockDoubtful && lag >= minimumLagMilliseconds) {
      this.isClockDoubtful = false
      this.#lost -= lag
    }
  }

  configure (accounts: readonly Account[]): void {
    this.allowances.setAccounts(new AccountDirectory(accounts))
  }

  setSeen (seen: readonly number[]): void {
    this.#seen = seen
    this.recordSeen()
  }

  recordSeen (): void {
    const now = this.simulatedNow()
    const seen = this.#seen
    seen.forEach(number => this.#seenAt.set(number, now))
    const known = [...this.#seenAt.values()].filter(at => now - at <= knownMilliseconds).length
    this.allowances.setGroup({ seen: seen.length, known }, this.now)
  }

  /** Decides on a request; null if it may be granted. */
  request (permit: string, holder: string, account: string): AllowanceRefusal | null {
    return this.allowances.request({ permit, holder, account }, this.now)
  }

  chargesReport (): ChargesReport | null {
    const entries = this.allowances.takeUnsent(maximumEntryBytes, this.now)
    return entries.length === 0 ? null : { incarnation: this.incarnation, at: this.now, entries }
  }

  allCharges (): readonly ChargesReport[] {
    return splitToDatagrams(this.allowances.allCharges(this.now)).map(entries => ({ incarnation: this.incarnation, at: this.now, entries }))
  }

  usageReports (receiver: OwnerProcess): readonly UsageReport[] {
    return this.usage.reportsFor(receiver, this.now)
  }
}
