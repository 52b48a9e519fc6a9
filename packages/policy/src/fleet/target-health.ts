/**
 * Which targets to avoid, from the outcomes of requests. Load: targets that crash, hang or cannot be reached from some instances,
 * and targets that fail part of their requests while their health checks pass.
 */
import { FailureRates } from './failure-rates.js'
import { SlotOutcome } from './fleet-messages.js'

/** Lengths of suspensions, in milliseconds. */
export interface SuspensionOptions {
  /** First suspension of a target; doubles with each consecutive one. */
  readonly initialSuspensionMilliseconds: number
  readonly maximumSuspensionMilliseconds: number
}

/** Whether a target may get a request. */
export const TargetAvailability = {
  Available: 'available',
  /** It was suspended and has not responded since: one request at a time may find out whether it does. */
  OnTrial: 'on-trial',
  Suspended: 'suspended'
} as const
export type TargetAvailability = typeof TargetAvailability[keyof typeof TargetAvailability]

/** Failures of a target since it last answered a request. */
interface TargetFailures {
  /** By holder: consecutive failures to reach the target, and the end of the resulting suspension in milliseconds since the epoch. */
  readonly unreachableByHolder: Map<string, { readonly count: number, readonly until: number }>
  consecutiveBrokenAnswers: number
  /** Time until which no holder uses the target, in milliseconds since the epoch. */
  suspendedUntil: number
  /** Number of suspensions for all holders, which determines the length of the next one. */
  suspensionCount: number
  /** Time until which no further request tries the target after a suspension, in milliseconds since the epoch. */
  triedUntil: number
}

/** Holders that must fail to reach a target before it is suspended for all: a single holder may be cut off itself. */
const minimumUnreachableHolders = 2
/** Time for which one request tries a target before the next one may: longer than it takes to find that the target cannot be reached. */
const trialMilliseconds = 400
/** Consecutive broken answers after which a target is suspended for all holders. */
const minimumBrokenAnswers = 3
/** Failure rate that is attributed to chance and not penalised: one failure among several answers. */
const toleratedFailureRate = 0.25

/** Suspends targets, and puts a penalty on those that fail often. */
export class TargetHealth {
  readonly #failures = new Map<string, TargetFailures>()
  readonly #rates = new FailureRates()

  constructor (private readonly options: SuspensionOptions) {}

  /** Whether anything is known against the target; otherwise it is available to all holders, without a penalty. */
  isSound (target: string, now: number): boolean {
    return !this.#failures.has(target) && this.penaltyOf(target, now) === 0
  }

  /** Returns whether a target may get a request of a holder; null ignores suspensions that apply only to single holders. */
  availabilityFor (target: string, holder: string | null, now: number): TargetAvailability {
    const failures = this.#failures.get(target)
    if (failures === undefined) {
      return TargetAvailability.Available
    }
    const own = holder === null ? undefined : failures.unreachableByHolder.get(holder)
    if (failures.suspendedUntil > now || (own !== undefined && own.until > now)) {
      return TargetAvailability.Suspended
    }
    if (failures.suspensionCount === 0) {
      return TargetAvailability.Available
    }
    return failures.triedUntil <= now ? TargetAvailability.OnTrial : TargetAvailability.Suspended
  }

  /** Returns the share by which the target's recent failures exceed what is attributed to chance, from 0 to 1. */
  penaltyOf (target: string, now: number): number {
    return Math.max(0, this.#rates.rateOf(target, now) - toleratedFailureRate)
  }

  /** Records that a request was granted a slot on the target; it tries the target if that was suspended. */
  onGranted (target: string, now: number): void {
    const failures = this.#failures.get(target)
    if (failures !== undefined && failures.suspensionCount > 0) {
      failures.triedUntil = now + trialMilliseconds
    }
  }

  /** Records the outcome of a request on the target. */
  recordOutcome (target: string, holder: string, outcome: SlotOutcome, now: number): void {
    switch (outcome) {
      case SlotOutcome.Stopped:
        // Says nothing of the target.
        return
      case SlotOutcome.Finished:
      case SlotOutcome.Unsuccessful:
      case SlotOutcome.Failed:
        this.#rates.recordOutcome(target, outcome === SlotOutcome.Failed, now)
        this.#failures.delete(target)
        return
      case SlotOutcome.Full:
        // The target is full of requests that this owner does not know. After one suspension they have ended or
        // were reported, so the suspension does not grow.
        this.#onUnreachable(target, holder, now, this.options.initialSuspensionMilliseconds)
        return
      case SlotOutcome.Unreachable:
        this.#onUnreachable(target, holder, now, this.options.maximumSuspensionMilliseconds)
        return
      case SlotOutcome.Replaced:
        this.#suspend(this.#failuresOf(target), now, this.options.maximumSuspensionMilliseconds)
        return
      case SlotOutcome.Broken:
      case SlotOutcome.Crashed:
        this.#onBroken(target, now)
    }
  }

  /** Drops what is known of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    this.#rates.retainTargets(targets)
    for (const target of this.#failures.keys()) {
      if (!targets.has(target)) {
        this.#failures.delete(target)
      }
    }
  }

  #onUnreachable (target: string, holder: string, now: number, maximumMilliseconds: number): void {
    const failures = this.#failuresOf(target)
    const known = failures.unreachableByHolder.get(holder)
    // Failures during the suspension belong to requests that were sent before the first failure was known, and don't count again.
    if (known !== undefined && known.until > now) {
      return
    }
    const count = (known?.count ?? 0) + 1
    failures.unreachableByHolder.set(holder, { count, until: now + this.#suspensionAfter(count - 1, maximumMilliseconds) })
    if (failures.unreachableByHolder.size >= minimumUnreachableHolders) {
      this.#suspend(failures, now, maximumMilliseconds)
    }
  }

  #onBroken (target: string, now: number): void {
    const failures = this.#failuresOf(target)
    failures.consecutiveBrokenAnswers += 1
    if (failures.consecutiveBrokenAnswers >= minimumBrokenAnswers) {
      this.#suspend(failures, now, this.options.maximumSuspensionMilliseconds)
    }
  }

  #suspend (failures: TargetFailures, now: number, maximumMilliseconds: number): void {
    if (failures.suspendedUntil <= now) {
      failures.suspendedUntil = now + this.#suspensionAfter(failures.suspensionCount, maximumMilliseconds)
      failures.suspensionCount += 1
    }
  }

  #suspensionAfter (earlierSuspensions: number, maximumMilliseconds: number): number {
    return Math.min(maximumMilliseconds, this.options.initialSuspensionMilliseconds * 2 ** earlierSuspensions)
  }

  #failuresOf (target: string): TargetFailures {
    const known = this.#failures.get(target)
    if (known !== undefined) {
      return known
    }
    const failures = { unreachableByHolder: new Map(), consecutiveBrokenAnswers: 0, suspendedUntil: 0, suspensionCount: 0, triedUntil: 0 }
    this.#failures.set(target, failures)
    return failures
  }
}
