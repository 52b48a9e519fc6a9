/**
 * Which targets to avoid, from the outcomes of requests. Load: targets that crash, hang or cannot be reached from some instances,
 * targets that fail part of their requests while their health checks pass, and holders that are cut off from targets.
 */
import { FailureRates } from './failure-rates.js'
import { SlotOutcome } from './fleet-messages.js'
import { HolderReachability } from './holder-reachability.js'
import type { SettledFailures } from './holder-reachability.js'
import { HolderSuspensions } from './holder-suspensions.js'

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

/** Failures of a holder at a target since the target last answered any holder. */
interface FailureReport {
  isUnreachable: boolean
  brokenAnswers: number
  /** Time of the last interrupted answer, in milliseconds since the epoch. */
  interruptedAt: number
  /** Whether the holder has reached another target since, so that the failures tell of this one. */
  isConfirmed: boolean
}

/** Failures of a target since it last answered a request. */
interface TargetFailures {
  readonly reports: Map<string, FailureReport>
  /** Holders whose requests the target has rejected as full since it last ran one. */
  readonly fullFor: Set<string>
  /** Whether another target responded at its address. */
  isReplaced: boolean
  /** Time until which no holder uses the target, in milliseconds since the epoch. */
  suspendedUntil: number
  /** Number of consecutive suspensions for all holders, which determines the length of the next one; 0 while it is not suspended for all. */
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
/** Time from an interrupted answer for which a target is used only if others are busy, unless it completes one before. */
const interruptionMilliseconds = 1_500
/** Targets with interrupted answers from which it may be unknown whose fault that is. */
const minimumInterruptedTargets = 2
/** Failure rate that is attributed to chance and not penalised: one failure among several answers. */
const toleratedFailureRate = 0.25

/**
 * Suspends targets, and puts a penalty on those that fail often. Failures of holders that are cut off from targets do not count against
 * targets: whether a target is suspended for all holders follows from what the other holders report.
 */
export class TargetHealth {
  readonly #failures = new Map<string, TargetFailures>()
  readonly #rates = new FailureRates()
  readonly #holders = new HolderReachability()
  readonly #ownSuspensions = new HolderSuspensions()

  constructor (private readonly options: SuspensionOptions) {}

  /** Whether nothing is known against the target that concerns all holders; see {@link isSuspendedFor} for single ones. */
  isSound (target: string, now: number): boolean {
    return !this.#failures.has(target) && this.penaltyOf(target, now) === 0
  }

  /** Whether a holder probably reaches no target. */
  isCutOff (holder: string, now: number): boolean {
    return this.#holders.isCutOff(holder, now)
  }

  /** Returns the time of a holder's first failure since it last reached a target, in milliseconds since the epoch; null if there was none. */
  failingSince (holder: string): number | null {
    return this.#holders.failingSince(holder)
  }

  /** Whether a holder's failures since it last reached a target tell of targets, as far as is known, and not of itself. */
  isTrusted (holder: string): boolean {
    return this.#holders.isTrusted(holder)
  }

  /** Records that a target was sound when a holder's request failed there. */
  onRefuted (target: string, holder: string, now: number): void {
    if (this.#holders.recordRefuted(holder, target, now)) {
      this.#retract(holder, now)
    }
  }

  /** Whether any holder may be cut off. */
  get hasCutOffHolders (): boolean {
    return this.#holders.hasCutOff
  }

  /** Whether a target is suspended for a holder alone. */
  isSuspendedFor (target: string, holder: string, now: number): boolean {
    return this.#ownSuspensions.isSuspended(holder, target, now)
  }

  /** Returns whether a target may get a request of a holder; null ignores what applies only to single holders. */
  availabilityFor (target: string, holder: string | null, now: number): TargetAvailability {
    if (holder !== null && this.isSuspendedFor(target, holder, now)) {
      return TargetAvailability.Suspended
    }
    const failures = this.#failures.get(target)
    if (failures === undefined || failures.suspensionCount === 0) {
      return TargetAvailability.Available
    }
    if (failures.suspendedUntil > now || failures.triedUntil > now) {
      return TargetAvailability.Suspended
    }
    // A holder that is cut off learns nothing of the target. It tries it all the same if no other holder does.
    const isLeftToOthers = now - failures.suspendedUntil < this.options.maximumSuspensionMilliseconds
    return holder !== null && isLeftToOthers && this.#holders.isCutOff(holder, now) ? TargetAvailability.Suspended : TargetAvailability.OnTrial
  }

  /**
   * Returns the share by which the target's recent failures exceed what is attributed to chance, from 0 to 1; 1 if answers of it and of another
   * target were interrupted lately and none has been complete since, whosever fault that was.
   */
  penaltyOf (target: string, now: number): number {
    const isInterrupted = this.#isInterrupted(this.#failures.get(target), now) && [...this.#failures.values()].filter(failures => this.#isInterrupted(failures, now)).length >= minimumInterruptedTargets
    return isInterrupted ? 1 : Math.max(0, this.#rates.rateOf(target, now) - toleratedFailureRate)
  }

  #isInterrupted (failures: TargetFailures | undefined, now: number): boolean {
    return failures !== undefined && [...failures.reports.values()].some(({ interruptedAt }) => Math.abs(now - interruptedAt) < interruptionMilliseconds)
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
      case SlotOutcome.NotRun:
        // Says nothing of the target.
        return
      case SlotOutcome.Finished:
      case SlotOutcome.Unsuccessful:
      case SlotOutcome.Failed:
        this.#rates.recordOutcome(target, outcome === SlotOutcome.Failed, now)
        this.#onAnswered(target, holder, now)
        this.#failures.delete(target)
        this.#ownSuspensions.end(holder, target)
        return
      case SlotOutcome.Full:
        this.#onAnswered(target, holder, now)
        this.#onFull(target, holder, now)
        return
      case SlotOutcome.Unreachable:
        this.#onUnreachable(target, holder, now)
        return
      case SlotOutcome.Replaced: {
        this.#settle(holder, this.#holders.recordContact(holder, now), now)
        const failures = this.#failuresOf(target)
        failures.isReplaced = true
        this.#suspend(failures, now, this.options.maximumSuspensionMilliseconds)
        return
      }
      case SlotOutcome.Broken:
      case SlotOutcome.Crashed:
        this.#onBroken(target, holder, now)
    }
  }

  /** Drops what is known of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    this.#rates.retainTargets(targets)
    this.#ownSuspensions.retainTargets(targets)
    this.#holders.setTargetCount(targets.size)
    for (const target of this.#failures.keys()) {
      if (!targets.has(target)) {
        this.#failures.delete(target)
      }
    }
  }

  /** Forgets what applies only to a holder that is gone. */
  forgetHolder (holder: string, now: number): void {
    this.#ownSuspensions.endAll(holder)
    this.#settle(holder, this.#holders.forget(holder, now, 0), now)
  }

  /** Records that a target has answered a holder: the others that failed at it before were at fault themselves. */
  #onAnswered (target: string, holder: string, now: number): void {
    this.#settle(holder, this.#holders.recordContact(holder, now), now)
    const failures = this.#failures.get(target)
    if (failures === undefined) {
      return
    }
    const reports = [...failures.reports]
    failures.reports.clear()
    this.#reconsider(target, failures, now)
    for (const [other, { isUnreachable, isConfirmed }] of reports) {
      if (other !== holder && isUnreachable && !isConfirmed) {
        this.onRefuted(target, other, now)
      }
    }
  }

  /** Applies what has turned out about a holder's failures to their targets. */
  #settle (holder: string, settled: SettledFailures | null, now: number): void {
    if (settled === null) {
      return
    }
    const { targets, isHolderAtFault } = settled
    if (isHolderAtFault) {
      this.#ownSuspensions.endAll(holder)
    }
    for (const target of targets) {
      const failures = this.#failures.get(target)
      const report = failures?.reports.get(holder)
      if (failures === undefined || report === undefined) {
        continue
      }
      if (isHolderAtFault && !report.isConfirmed) {
        failures.reports.delete(holder)
      } else {
        report.isConfirmed = true
      }
      this.#reconsider(target, failures, now)
    }
  }

  /** Lifts the suspensions for all holders that followed from failures of a holder that is cut off. */
  #retract (holder: string, now: number): void {
    for (const target of this.#holders.failedTargets(holder)) {
      const failures = this.#failures.get(target)
      if (failures !== undefined) {
        this.#reconsider(target, failures, now)
      }
    }
  }

  // The target is full of requests that this owner does not know. After one suspension they have ended or were reported, so the
  // suspension does not grow.
  #onFull (target: string, holder: string, now: number): void {
    if (this.isSuspendedFor(target, holder, now)) {
      return
    }
    const { initialSuspensionMilliseconds } = this.options
    this.#ownSuspensions.suspend(holder, target, now, () => initialSuspensionMilliseconds)
    const failures = this.#failuresOf(target)
    failures.fullFor.add(holder)
    if (this.#isDue(failures)) {
      this.#suspend(failures, now, initialSuspensionMilliseconds)
    }
  }

  #onUnreachable (target: string, holder: string, now: number): void {
    const isRepeated = this.isSuspendedFor(target, holder, now)
    this.#recordFailure(target, holder, now)
    // Failures during the suspension belong to requests that were sent before the first failure was known, and don't count again.
    if (isRepeated) {
      return
    }
    // The failures of a holder that reaches no target say nothing of the time after which it reaches this one.
    const maximum = this.#holders.isAtFault(holder, now) ? this.options.initialSuspensionMilliseconds : this.options.maximumSuspensionMilliseconds
    this.#ownSuspensions.suspend(holder, target, now, count => this.#suspensionAfter(count, maximum))
    const failures = this.#failuresOf(target)
    const report = reportOf(failures, holder)
    report.isUnreachable = true
    this.#onReported(failures, holder, report, now)
  }

  #onBroken (target: string, holder: string, now: number): void {
    this.#recordFailure(target, holder, now)
    const failures = this.#failuresOf(target)
    const report = reportOf(failures, holder)
    report.brokenAnswers += 1
    report.interruptedAt = now
    this.#onReported(failures, holder, report, now)
  }

  #recordFailure (target: string, holder: string, now: number): void {
    this.#settle(holder, this.#holders.forget(holder, now), now)
    if (this.#holders.recordFailure(holder, target, now)) {
      this.#retract(holder, now)
    }
  }

  /** Suspends a target for all holders if that is due and the holder that failed at it is to be believed. */
  #onReported (failures: TargetFailures, holder: string, report: FailureReport, now: number): void {
    if (this.#counts(holder, report) && this.#isDue(failures)) {
      this.#suspend(failures, now, this.options.maximumSuspensionMilliseconds)
    }
  }

  #counts (holder: string, { isConfirmed }: FailureReport): boolean {
    return isConfirmed || this.#holders.isTrusted(holder)
  }

  /** Whether the target is to be suspended for all holders, by the reports that count. */
  #isDue ({ reports, fullFor, isReplaced }: TargetFailures): boolean {
    if (isReplaced || fullFor.size >= minimumUnreachableHolders) {
      return true
    }
    let unreachableHolders = 0
    let brokenAnswers = 0
    for (const [holder, report] of reports) {
      if (this.#counts(holder, report)) {
        unreachableHolders += report.isUnreachable ? 1 : 0
        brokenAnswers += report.brokenAnswers
      }
    }
    return unreachableHolders >= minimumUnreachableHolders || brokenAnswers >= minimumBrokenAnswers
  }

  /** Begins or lifts the suspension of a target for all holders after its reports, or what is known of their holders, have changed. */
  #reconsider (target: string, failures: TargetFailures, now: number): void {
    if (this.#isDue(failures)) {
      if (failures.suspensionCount === 0) {
        this.#suspend(failures, now, this.options.maximumSuspensionMilliseconds)
      }
      return
    }
    Object.assign(failures, { suspendedUntil: 0, suspensionCount: 0, triedUntil: 0 })
    if (failures.reports.size === 0 && failures.fullFor.size === 0) {
      this.#failures.delete(target)
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
    const failures = { reports: new Map(), fullFor: new Set<string>(), isReplaced: false, suspendedUntil: 0, suspensionCount: 0, triedUntil: 0 }
    this.#failures.set(target, failures)
    return failures
  }
}

function reportOf ({ reports }: TargetFailures, holder: string): FailureReport {
  const known = reports.get(holder)
  if (known !== undefined) {
    return known
  }
  const report = { isUnreachable: false, brokenAnswers: 0, interruptedAt: -Infinity, isConfirmed: false }
  reports.set(holder, report)
  return report
}
