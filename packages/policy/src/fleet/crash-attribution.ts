/**
 * Which crash reports the quarantine counts. Load: connections of holders that are cut off from targets break under requests, which
 * looks like crashes, beside requests that do crash targets.
 */
import type { CrashQuarantine, CrashReport } from './crash-quarantine.js'

/** Time for which a report is kept, in milliseconds: longer than most answers take that show whether the target has crashed. */
const retentionMilliseconds = 10_000
/** Time by which the end of an answer may be reported late; one that ended before a crash does not show that there was none. */
const reportDelayMilliseconds = 300
/** Time without such a report for which connections of a holder count as broken that has reached no target since. */
const brokenLinksMilliseconds = 3_000
/** Time within which reports of a holder come together because its connections broke at once; requests that crash targets do so one after the other. */
const togetherMilliseconds = 200
/** Targets at which they have to come together. */
const minimumTargetsTogether = 2
/** Maximum number of reports that are kept of a target. */
const maximumReports = 64
/** Targets of a holder without a request that explains their crashes, whose report may still be in transit. */
const unexplainedTargets = 1

/** A crash as a holder reported it. */
interface ReportedCrash {
  readonly permit: string
  readonly holder: string
  readonly report: CrashReport
  /** Time of the report in milliseconds since the epoch. */
  readonly at: number
  isCounted: boolean
}

/** Tells crashes of targets from broken connections of holders, and withdraws reports that turn out to be the latter. */
export class CrashAttribution {
  readonly #byTarget = new Map<string, ReportedCrash[]>()
  /** Times of the last reports of holders that were of broken connections for certain, in milliseconds since the epoch, until these reach a target. */
  readonly #brokenLinks = new Map<string, number>()

  constructor (private readonly quarantine: CrashQuarantine) {}

  /**
   * Records a report.
   *
   * @param isTrusted whether the failures of the holder since it last reached a target tell of targets, and not of itself
   */
  onCrashed (permit: string, holder: string, report: CrashReport, isTrusted: boolean, now: number): void {
    const crash: ReportedCrash = { permit, holder, report, at: now, isCounted: false }
    const reports = (this.#byTarget.get(report.target) ?? []).filter(({ at }) => now - at < retentionMilliseconds).slice(1 - maximumReports)
    this.#byTarget.set(report.target, [...reports, crash])
    const brokenAt = this.#brokenLinks.get(holder)
    if (brokenAt !== undefined && now - brokenAt < brokenLinksMilliseconds) {
      this.#brokenLinks.set(holder, now)
      return
    }
    const together = isTrusted ? [] : this.#reportsOf(holder, now - togetherMilliseconds)
    if (!isTrusted && !this.#isExplained(together)) {
      this.#withdraw(together, now)
      return
    }
    crash.isCounted = true
    this.quarantine.onCrashed(permit, report, now)
  }

  /**
   * Records that a target has completed an answer, which withdraws reports of its crash since the answer began.
   *
   * @param grantedAt time at which the request got its slot, in milliseconds since the epoch
   * @returns other holders that had reported a crash
   */
  onAnswered (target: string, holder: string, grantedAt: number, now: number): readonly string[] {
    const reports = this.#byTarget.get(target)
    const refuted = reports?.filter(({ at }) => at >= grantedAt && now - at > reportDelayMilliseconds) ?? []
    if (reports === undefined || refuted.length === 0) {
      return []
    }
    this.#byTarget.set(target, reports.filter(report => !refuted.includes(report)))
    this.#withdraw(refuted, now)
    const holders = new Set(refuted.map(report => report.holder))
    holders.delete(holder)
    for (const other of holders) {
      this.#brokenLinks.set(other, now)
    }
    return [...holders]
  }

  /** Whether a crash of a target was reported at this time, in milliseconds since the epoch, or later. */
  isReportedSince (target: string, time: number): boolean {
    return this.#byTarget.get(target)?.some(({ at }) => at >= time) ?? false
  }

  /** Records that a holder has reached a target. */
  onContact (holder: string): void {
    this.#brokenLinks.delete(holder)
  }

  /** Drops the reports of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    for (const target of this.#byTarget.keys()) {
      if (!targets.has(target)) {
        this.#byTarget.delete(target)
      }
    }
  }

  #reportsOf (holder: string, since: number): readonly ReportedCrash[] {
    return [...this.#byTarget.values()].flat().filter(report => report.holder === holder && report.at >= since)
  }

  /** Whether the targets of the reports may have crashed under one request, or under requests with one part in common that was never answered. */
  #isExplained (reports: readonly ReportedCrash[]): boolean {
    const targets = new Set(reports.map(({ report }) => report.target))
    if (targets.size < minimumTargetsTogether) {
      return true
    }
    const counts = new Map<string, number>()
    for (const target of targets) {
      const suspects = (this.#byTarget.get(target) ?? []).flatMap(({ report }) => this.quarantine.unprovenDigestsOf(report))
      for (const digest of new Set(suspects)) {
        counts.set(digest, (counts.get(digest) ?? 0) + 1)
      }
    }
    const required = Math.max(minimumTargetsTogether, targets.size - unexplainedTargets)
    return [...counts.values()].some(count => count >= required)
  }

  #withdraw (reports: readonly ReportedCrash[], now: number): void {
    for (const crash of reports) {
      if (crash.isCounted) {
        crash.isCounted = false
        this.quarantine.onWithdrawn(crash.permit, crash.report, now)
      }
    }
  }
}
