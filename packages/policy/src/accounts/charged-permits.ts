/** The permits that an owner has charged to accounts, so that each counts once however often its request is repeated. */

/** A charge of one request. */
export interface ChargedPermit {
  readonly account: string
  readonly holder: string
  /** Bucket in which the slot was granted; null while the request waits. */
  bucket: number | null
  /** Time at which the request was last seen, in milliseconds of the owner's clock. */
  seenAt: number
}

/** Number of permits that are remembered. */
const maximumPermits = 100_000

/** Remembers charges until they no longer count. */
export class ChargedPermits {
  readonly #permits = new Map<string, ChargedPermit>()
  readonly #waiting = new Map<string, ChargedPermit>()

  get (permit: string): ChargedPermit | undefined {
    return this.#permits.get(permit)
  }

  /** Adds a waiting request. */
  add (permit: string, account: string, holder: string, now: number): void {
    const charged = { account, holder, bucket: null, seenAt: now }
    this.#permits.set(permit, charged)
    this.#waiting.set(permit, charged)
    const [oldest] = this.#permits.keys()
    if (this.#permits.size > maximumPermits && oldest !== undefined) {
      this.remove(oldest)
    }
  }

  /** Records that a request waits no longer. */
  setGranted (permit: string, charged: ChargedPermit, bucket: number, now: number): void {
    charged.bucket = bucket
    charged.seenAt = now
    this.#waiting.delete(permit)
    // Granted permits stand in the order of their grants, which lets forgetGranted end at the first recent one.
    this.#permits.delete(permit)
    this.#permits.set(permit, charged)
  }

  remove (permit: string): void {
    this.#permits.delete(permit)
    this.#waiting.delete(permit)
  }

  /** Returns the permits that wait, of one holder or not seen since a time. */
  waitingWhere (predicate: (charged: ChargedPermit) => boolean): readonly string[] {
    return [...this.#waiting].filter(([, charged]) => predicate(charged)).map(([permit]) => permit)
  }

  /** Forgets the permits that were granted before a time. */
  forgetGranted (before: number): void {
    for (const [permit, { bucket, seenAt }] of this.#permits) {
      if (bucket === null) {
        continue
      }
      if (seenAt >= before) {
        return
      }
      this.#permits.delete(permit)
    }
  }
}
