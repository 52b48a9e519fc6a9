/**
 * What accounts may have used before a fleet was started anew. No state is left when all instances were killed, so a new process assumes that each
 * account has used its rate, and its burst at last.
 */
import { setLatest } from '../util/latest-entries.js'
import type { Account } from './account.js'
import { allowanceOf, marginOf } from './group-limit.js'
import type { AllowanceOptions } from './group-limit.js'

const millisecondsPerSecond = 1_000
/** Number of instances whose starts are remembered. */
const maximumStarts = 1_000

/** Derives since when the fleet has counted requests from the starts of its instances. */
export class ColdStart {
  readonly #starts = new Map<string, number>()
  #start: number
  #known = 1

  /** @param startedAt start of this process; all times in milliseconds of its clock */
  constructor (private readonly startedAt: number) {
    this.#start = startedAt
  }

  /** Takes note of when another instance started. */
  observe (address: string, startedAt: number): void {
    if (this.#starts.get(address) !== startedAt) {
      setLatest(this.#starts, address, startedAt, maximumStarts)
      this.#update()
    }
  }

  /** Sets the number of instances known lately, this one included. */
  setKnown (known: number): void {
    if (known !== this.#known) {
      this.#known = known
      this.#update()
    }
  }

  /** Whether requests may have been granted within the window that no instance has reported. */
  isCold (options: AllowanceOptions, now: number): boolean {
    return now - this.#start < options.windowMilliseconds
  }

  /**
   * Returns the requests that an account may have used before the start: its rate in the part of the window before it, and the burst, less what
   * the allowance may be exceeded by.
   */
  assumedOf (account: Account, options: AllowanceOptions, now: number): number {
    if (!this.isCold(options, now)) {
      return 0
    }
    const before = Math.max(0, options.windowMilliseconds - Math.max(0, now - this.#start))
    const margin = marginOf(allowanceOf(account, options), options)
    return Math.max(0, account.requestsPerSecond * before / millisecondsPerSecond + account.burst - margin)
  }

  /** The start of the fleet is the time by which half of the other instances had started; those of which nothing is known count as started with this process. */
  #update (): void {
    const reported = [...this.#starts.values()].map(start => Math.min(start, this.startedAt))
    const silent = Math.max(0, this.#known - 1 - reported.length)
    const starts = [...reported, ...Array.from({ length: silent }, () => this.startedAt)].sort((left, right) => left - right)
    this.#start = starts[Math.ceil(starts.length / 2) - 1] ?? this.startedAt
  }
}
