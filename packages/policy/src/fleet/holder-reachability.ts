/**
 * Which holders are cut off from targets, from the outcomes of their requests. Load: holders that reach no target, or few of them,
 * while the others reach all.
 */

/** Distinct targets at which a holder must fail, without a contact to any target, to count as cut off. */
const minimumFailedTargets = 2
/** Share of all targets that these must exceed, unless the holder fails for a while: targets may crash together. */
const minimumFailedShare = 0.5
/** Time within which a contact of a holder shows that the targets were at fault at which it failed before: they may have crashed together. */
const undecidedMilliseconds = 1_000
/** Time without a failure of a holder after which the earlier ones say nothing more of it. */
const forgetMilliseconds = 3_000

/** Failures of a holder since its last contact to any target. */
interface HolderFailures {
  readonly targets: Set<string>
  /** Whether one of these targets has answered another holder since. */
  isRefuted: boolean
  /** Time from which these failures tell of the holder, in milliseconds since the epoch; null if they tell of the targets. */
  distrustedSince: number | null
  readonly firstFailureAt: number
  lastFailureAt: number
}

/** What a contact, or time without news, tells of a holder's failures before it. */
export interface SettledFailures {
  readonly targets: ReadonlySet<string>
  /** Whether they tell of the holder, and not of the targets. */
  readonly isHolderAtFault: boolean
}

/** Tells holders that fail everywhere from those that meet failing targets. */
export class HolderReachability {
  readonly #failures = new Map<string, HolderFailures>()
  #listedTargets = Infinity

  /** Sets the number of targets that holders may use. */
  setTargetCount (count: number): void {
    this.#listedTargets = count
  }

  /** Whether a holder probably reaches no target. */
  isCutOff (holder: string, now: number): boolean {
    const failures = this.#failures.get(holder)
    return failures !== undefined && this.#isWide(failures) && now - failures.lastFailureAt < forgetMilliseconds
  }

  /** Whether any holder may be cut off. */
  get hasCutOff (): boolean {
    return [...this.#failures.values()].some(({ distrustedSince }) => distrustedSince !== null)
  }

  /** Whether a holder's failures since its last contact tell of its targets, as far as is known, and not of itself. */
  isTrusted (holder: string): boolean {
    return (this.#failures.get(holder)?.distrustedSince ?? null) === null
  }

  /** Whether a holder has failed widely for too long for crashed targets to explain it. */
  isAtFault (holder: string, now: number): boolean {
    const failures = this.#failures.get(holder)
    return failures !== undefined && this.#isWide(failures) && now - (failures.distrustedSince ?? now) > undecidedMilliseconds
  }

  /** Returns the time of a holder's first failure since its last contact, in milliseconds since the epoch; null if there was none. */
  failingSince (holder: string): number | null {
    return this.#failures.get(holder)?.firstFailureAt ?? null
  }

  /** Returns the targets at which a holder has failed since its last contact. */
  failedTargets (holder: string): Iterable<string> {
    return this.#failures.get(holder)?.targets ?? []
  }

  /** Records that a holder failed at a target; returns whether it is not trusted from now on and was before. */
  recordFailure (holder: string, target: string, now: number): boolean {
    const known = this.#failures.get(holder)
    const isRecent = known !== undefined && now - known.lastFailureAt < forgetMilliseconds
    const failures = isRecent ? known : { targets: new Set<string>(), isRefuted: false, distrustedSince: null, firstFailureAt: now, lastFailureAt: now }
    this.#failures.set(holder, failures)
    failures.targets.add(target)
    failures.lastFailureAt = now
    return this.#update(failures, now)
  }

  /** Records that a target at which a holder failed has answered another one since; returns the same as {@link recordFailure}. */
  recordRefuted (holder: string, target: string, now: number): boolean {
    const failures = this.#failures.get(holder)
    if (failures?.targets.has(target) !== true) {
      return false
    }
    failures.isRefuted = true
    return this.#update(failures, now)
  }

  /** Records that a holder reached a target; returns what that tells of its failures before, or null if there were none. */
  recordContact (holder: string, now: number): SettledFailures | null {
    const failures = this.#failures.get(holder)
    if (failures === undefined) {
      return null
    }
    const isHolderAtFault = this.isAtFault(holder, now)
    this.#failures.delete(holder)
    return { targets: failures.targets, isHolderAtFault }
  }

  /** Forgets the failures of a holder if it is not trusted and the latest is at least so many milliseconds old; returns these, or null. */
  forget (holder: string, now: number, age = forgetMilliseconds): SettledFailures | null {
    const failures = this.#failures.get(holder)
    if (failures === undefined || failures.distrustedSince === null || now - failures.lastFailureAt < age) {
      return null
    }
    this.#failures.delete(holder)
    return { targets: failures.targets, isHolderAtFault: true }
  }

  /** Whether failures tell of their holder, and are those at several targets or at the only one. */
  #isWide ({ targets, distrustedSince }: HolderFailures): boolean {
    return distrustedSince !== null && targets.size >= Math.min(minimumFailedTargets, this.#listedTargets)
  }

  #update (failures: HolderFailures, now: number): boolean {
    const { targets, isRefuted, distrustedSince, firstFailureAt } = failures
    const isMostTargets = targets.size > this.#listedTargets * minimumFailedShare || now - firstFailureAt > undecidedMilliseconds
    if (distrustedSince !== null || !(isRefuted || (targets.size >= minimumFailedTargets && isMostTargets))) {
      return false
    }
    failures.distrustedSince = now
    return true
  }
}
