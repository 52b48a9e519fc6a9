/** Targets that single holders avoid. Load: targets that some holders cannot reach while others do, those of other availability zones for example. */

interface HolderSuspension {
  /** Consecutive failures of the holder at the target. */
  readonly count: number
  /** End of the suspension in milliseconds since the epoch. */
  readonly until: number
}

/** Suspensions of targets for one holder each; only the holder itself ends them early. */
export class HolderSuspensions {
  readonly #byHolder = new Map<string, Map<string, HolderSuspension>>()

  /** Whether a holder should not use a target. */
  isSuspended (holder: string, target: string, now: number): boolean {
    const until = this.#byHolder.get(holder)?.get(target)?.until
    return until !== undefined && until > now
  }

  /** Suspends a target for a holder; `lengthAfter` returns the milliseconds for which it does so after a number of consecutive failures. */
  suspend (holder: string, target: string, now: number, lengthAfter: (earlierFailures: number) => number): void {
    const suspensions = this.#byHolder.get(holder) ?? new Map<string, HolderSuspension>()
    this.#byHolder.set(holder, suspensions)
    const earlier = suspensions.get(target)?.count ?? 0
    suspensions.set(target, { count: earlier + 1, until: now + lengthAfter(earlier) })
  }

  /** Ends the suspension of a target for a holder that has reached it. */
  end (holder: string, target: string): void {
    const suspensions = this.#byHolder.get(holder)
    suspensions?.delete(target)
    if (suspensions?.size === 0) {
      this.#byHolder.delete(holder)
    }
  }

  /** Ends all suspensions for a holder. */
  endAll (holder: string): void {
    this.#byHolder.delete(holder)
  }

  /** Drops the suspensions of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    for (const [holder, suspensions] of this.#byHolder) {
      for (const target of suspensions.keys()) {
        if (!targets.has(target)) {
          this.end(holder, target)
        }
      }
    }
  }
}
