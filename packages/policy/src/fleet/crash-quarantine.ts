/**
 * Holds back what crashes targets: whole requests, and prompt parts. Load: requests under which every target crashes as soon as it
 * begins to answer arrive at many instances at once, are each retried at further targets, and come again. They are the same request
 * each time, or differ in all but one part of their prompt.
 *
 * A crash is attributed to the requests that it interrupted and to their shared parts. A complete answer clears its request and all parts
 * of it, which sets what sound requests use apart from what crashes targets. Crashes that one request explains count against no part.
 */
import { promptPartDigest } from './prompt-part-digest.js'

/** Content of a request, as far as targets may crash under it. */
export interface RequestContent {
  /** Ids of the prompt parts that other requests may share. */
  readonly parts: readonly string[]
  /** Digest that the same request has each time it comes; empty if it is unknown. */
  readonly digest: string
}

/** Whether requests with a prompt part, or a request, may be dispatched, as instances tell each other and keep it in the log. */
export interface QuarantineEntry {
  /** Digest of the part's id (see {@link promptPartDigest}) or of the request. */
  readonly digest: string
  /** Number of changes of this entry; of two entries with a digest, the one with the greater version holds. */
  readonly version: number
  /** Number of quarantine periods so far, which determines the length of the next one; 0 if there is no quarantine. */
  readonly periods: number
  /** Milliseconds until the next request with this content is tried; 0 if there is no quarantine. */
  readonly remaining: number
  /** Crashes of a request that is not in quarantine; left out if there are none. */
  readonly crashes?: number
  /** Number of times for which the answer of that request got further from one crash to the next; left out if there are none, and by earlier builds. */
  readonly advances?: number
  /** All crashes of that request, if they are more than `crashes`; left out otherwise, and by earlier builds. */
  readonly allCrashes?: number
  /** As in {@link CrashReport}, the furthest of the crashes; left out if it is unknown, and by earlier builds. */
  readonly place?: number
}

/** Whether a request may be dispatched. */
export const QuarantineAdmission = {
  Admitted: 'admitted',
  /** Another request with some of its content has to end first, since a target has crashed under that. */
  Busy: 'busy',
  /** It or one of its parts is in quarantine. */
  Quarantined: 'quarantined'
} as const
export type QuarantineAdmission = typeof QuarantineAdmission[keyof typeof QuarantineAdmission]

/** Decision on a request. */
export interface QuarantineDecision {
  readonly admission: QuarantineAdmission
  /** Milliseconds until a request with the quarantined content is tried; 0 unless it is quarantined. */
  readonly retryAfter: number
}

/** A request that a target crashed under, as its holder reports it. */
export interface CrashReport extends RequestContent {
  readonly target: string
  /** Id of the last event of the answer that had arrived, from this target or from those before; left out if it is unknown. */
  readonly place?: number
}

/** A request whose answer has gone well for so long that its target does not crash under what it had sent until then. */
export interface SoundReport extends RequestContent {
  /** As in {@link CrashReport}. */
  readonly place: number
}

/** How a trial of quarantined content ended, as far as the process that granted it was told. */
export const TrialEnd = {
  Answered: 'answered',
  /** Its target broke the answer off, as it does if it crashes. */
  Interrupted: 'interrupted',
  /** Without a complete answer for another reason, such as a caller that left. */
  Stopped: 'stopped',
  NotRun: 'not-run',
  /** Its holder failed before it told. */
  HolderLost: 'holder-lost',
  /** Its holder no longer has the slot, and its release did not arrive. */
  Unreported: 'unreported',
  /** Another process decided on the content, or the next trial began, before it ended. */
  Superseded: 'superseded'
} as const
export type TrialEnd = typeof TrialEnd[keyof typeof TrialEnd]

/** A trial that has ended. */
export interface EndedTrial {
  readonly digest: string
  readonly permit: string
  readonly end: TrialEnd
  /** Time at which the trial was granted, in milliseconds since the epoch. */
  readonly since: number
}

export type TrialListener = (trial: EndedTrial) => void

/** Crashes after which a request, or a part that no request was answered with before, is quarantined. */
const crashesToQuarantine = 3
/** The same for a part that requests were answered with before. */
const provenCrashesToQuarantine = 5
/** Time without a complete answer that it takes as well if there was one before, so that targets which crash together for another reason do not quarantine what they all run. */
const provenSilenceMilliseconds = 1_000
/**
 * Time from the third crash of a request in which crashes do not count that came before its answer got further: content that crashes targets
 * does so at one place. Retries count towards the users' bound after 3 s.
 */
const advanceMilliseconds = 2_000
/** Number of times for which a request's crashes are forgotten so: each may cost a target. */
const maximumAdvances = 4
/** First quarantine period of a request that was admitted once more than others have been, since that may have cost a target as a trial does. */
const laterFirstPeriod = 2
/** Crashes of a part whose report for the request that explains them may still be in transit. */
const unreportedCrashes = 1
/** Time within which interrupted requests on one target count as the same crash: less than a target needs to start again. */
const sameCrashMilliseconds = 1_000
/** Quarantine periods; the last one holds for all that follow. The first is the time for which requests are held back by mistake if the crashes had another cause. */
const periodsMilliseconds = [1_000, 8_000, 64_000, 600_000, 3_600_000] as const
/** Time from the third crash until which a trial does not count towards the users' bound. */
const uncountedMilliseconds = 2_500
/** Time before a request is tried again if the last trial did not reach a target. */
const trialRetryMilliseconds = 1_000
/** Trials of a quarantine that are repeated so. */
const maximumTrialRetries = 3
/**
 * Time after which the trials of a part are followed by the next if their ends tell of no crash, in their order; the last one holds for all that follow.
 * Each counts as a period, so that no more of them reach targets in ten minutes than of trials that crash targets.
 */
const stoppedTrialMilliseconds = [1_000, 8_000, 64_000, 600_000] as const
/** Time after which a request under observation no longer blocks others: a target that crashes under its prompt does so earlier. */
const observationMilliseconds = 500
/** Maximum number of requests and parts with crashes; invented ones replace each other, not what is in quarantine. */
const maximumSuspicions = 1_024
/** Maximum number of remembered parts, and of remembered requests, with complete answers, which bounds memory to about two megabytes. */
const maximumProven = 8_192
/** Number of parts with complete answers of which a new owner is told: as many as fit one datagram. */
const maximumToldAnswered = 24
/** Number of cleared entries of which a new owner is told: as many as fit one datagram. */
const maximumToldCleared = 24
/** Maximum number of remembered crashes of a suspicion. */
const maximumCountedCrashes = 16

/** A crash that counts against a request or a part. */
interface CountedCrash {
  readonly target: string
  /** Time in milliseconds since the epoch. */
  readonly at: number
  /** Permits of the interrupted requests. */
  readonly permits: Set<string>
}

/** What is known against a request or a part. */
interface Suspicion {
  readonly isRequest: boolean
  /** Crashes that count: of a request those since its answer last got further, of a part those since the last complete answer. */
  crashes: number
  /** All crashes since the last complete answer. */
  allCrashes: number
  /** Time of the first of those that count, in milliseconds since the epoch. */
  firstCrashAt: number
  /** Time of the crash after which a request would be in quarantine if its answers had not got further, in milliseconds since the epoch; Infinity before. */
  limitReachedAt: number
  /** Id of the last event that answers to the request have brought, as far as crash reports told it; null if none did. */
  furthestPlace: number | null
  /** Number of times for which the answer of a request got further from one crash to the next. */
  advances: number
  /** Digests of the parts of a request; null if it is only known from another process. */
  ownParts: readonly string[] | null
  /** First period of the next quarantine. */
  firstPeriod: number
  /** The latest of all crashes, as far as they were reported to this process. */
  readonly counted: CountedCrash[]
  /** Whether an answer with this content was complete before the first crash, or of a part that is not in quarantine since then. */
  isProven: boolean
  /** Quarantine periods so far; 0 if the content is not in quarantine. */
  periods: number
  /** Number of trials that count towards the users' bound. */
  countedTrials: number
  /** Time from which a request with the quarantined content may be tried, in milliseconds since the epoch. */
  until: number
  /** Trials that were repeated because they did not reach a target. */
  trialRetries: number
  version: number
  /** Request with the content that was dispatched last, until it ends. */
  observed: { readonly permit: string, readonly since: number, readonly isTrial: boolean } | null
}

/** Receives an entry; `isQuarantine` tells whether a quarantine begins, is extended or ends, and not only a count changes. */
export type QuarantineListener = (entry: QuarantineEntry, isQuarantine: boolean) => void

/** Attributes crashes to requests and prompt parts, and decides which requests may be dispatched. */
export class CrashQuarantine {
  readonly #suspicions = new Map<string, Suspicion>()
  /** Digests of parts with complete answers, the least recently used first. */
  readonly #provenParts = new Set<string>()
  /** The same of requests. */
  readonly #provenRequests = new Set<string>()
  /** Versions of entries that were cleared. */
  readonly #clearedVersions = new Map<string, number>()
  /** Digests by list of parts; a list belongs to one request and is looked up again while that waits. */
  readonly #partDigests = new WeakMap<readonly string[], readonly string[]>()
  readonly #listeners: QuarantineListener[] = []
  readonly #trialListeners: TrialListener[] = []

  /** Calls the listener when this process begins, extends or ends a quarantine, or counts or clears a crash of a request. */
  onChange (listener: QuarantineListener): void {
    this.#listeners.push(listener)
  }

  /** Calls the listener with each trial that was granted here, when its end is known or it is known that it will not be. */
  onTrialEnded (listener: TrialListener): void {
    this.#trialListeners.push(listener)
  }

  /** Whether anything is known against any request or part. */
  get isActive (): boolean {
    return this.#suspicions.size > 0
  }

  /** Whether anything is in quarantine. */
  get hasQuarantined (): boolean {
    return [...this.#suspicions.values()].some(suspicion => suspicion.periods > 0)
  }

  /** Whether a request or one of its parts is in quarantine, as far as is known here. */
  isQuarantined (content: RequestContent): boolean {
    return this.#suspicionsOf(content).some(({ periods }) => periods > 0)
  }

  /** Returns the milliseconds for which a request is held back, as far as is known here; 0 if it is not. */
  remainingFor (content: RequestContent, now: number): number {
    const quarantined = this.#suspicionsOf(content).filter(({ periods }) => periods > 0)
    return Math.max(0, ...quarantined.map(({ until }) => until - now))
  }

  /** Returns the milliseconds for which the next trial of a request's quarantined content has been due; null if the request would be none. */
  trialDueFor (content: RequestContent, now: number): number | null {
    const quarantined = this.#suspicionsOf(content).filter(({ periods }) => periods > 0)
    const due = now - Math.max(...quarantined.map(({ until }) => until))
    return quarantined.length > 0 && due >= 0 ? due : null
  }

  /** Decides whether a request with this content may be dispatched. */
  decide (content: RequestContent, now: number): QuarantineDecision {
    if (this.#suspicions.size === 0) {
      return { admission: QuarantineAdmission.Admitted, retryAfter: 0 }
    }
    this.#quarantineIfDue(content, now)
    const retryAfter = this.remainingFor(content, now)
    if (retryAfter > 0) {
      return { admission: QuarantineAdmission.Quarantined, retryAfter }
    }
    const isBusy = this.#suspicionsOf(content).some(({ observed, periods, isProven, crashes }) => {
      const isObserved = periods === 0 && observed !== null && now - observed.since < observationMilliseconds
      return isObserved && (!isProven || crashes >= provenCrashesToQuarantine)
    })
    return { admission: isBusy ? QuarantineAdmission.Busy : QuarantineAdmission.Admitted, retryAfter: 0 }
  }

  /** Records that a request was dispatched. */
  onDispatched (permit: string, content: RequestContent, now: number): void {
    for (const digest of this.#digestsOf(content)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion !== undefined) {
        const isTrial = suspicion.periods > 0
        this.#endObservation(digest, suspicion, TrialEnd.Superseded)
        suspicion.observed = { permit, since: now, isTrial }
        if (isTrial) {
          suspicion.countedTrials += now - suspicion.limitReachedAt <= uncountedMilliseconds ? 0 : 1
          // The next period begins with the trial, so that no other process tries the content meanwhile.
          this.#setPeriod(digest, suspicion, suspicion.periods + 1, now)
        }
      }
    }
  }

  /**
   * Records that a request ended without a complete answer, for another reason than a crash.
   *
   * @param mayHaveRun whether it may have reached its target
   * @param isInterrupted whether its target broke the answer off, as far as is known
   * @param isWithdrawn whether it was stopped to make room for another one, or because the process that ran it no longer does
   */
  onEnded (permit: string, content: RequestContent, now: number, mayHaveRun: boolean, isInterrupted = true, isWithdrawn = false): void {
    for (const digest of this.#digestsOf(content)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion?.observed?.permit === permit) {
        const { isTrial } = suspicion.observed
        const stopped = isInterrupted ? TrialEnd.Interrupted : TrialEnd.Stopped
        this.#endObservation(digest, suspicion, mayHaveRun ? stopped : TrialEnd.NotRun)
        if (isTrial && suspicion.periods > 1 && !mayHaveRun && suspicion.trialRetries < maximumTrialRetries) {
          suspicion.trialRetries += 1
          this.#setPeriod(digest, suspicion, suspicion.periods - 1, now, trialRetryMilliseconds)
        } else if (isTrial && mayHaveRun && !isInterrupted && (isWithdrawn || digest !== content.digest)) {
          this.#shortenPeriod(digest, suspicion, now)
        }
      }
    }
  }

  /** Records that a request has certainly not run. A trial does not count then. */
  onNotRun (permit: string, content: RequestContent, now: number): void {
    for (const digest of this.#digestsOf(content)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion?.observed?.permit === permit) {
        const { isTrial } = suspicion.observed
        this.#endObservation(digest, suspicion, TrialEnd.NotRun)
        if (isTrial && suspicion.periods > 1) {
          this.#setPeriod(digest, suspicion, suspicion.periods - 1, now, trialRetryMilliseconds)
        }
      }
    }
  }

  /**
   * Records that the end of a request is not going to be known.
   *
   * @param mayHaveCrashed whether there are signs that its target has crashed since
   * @param isRepeated whether its holder or another one sends it again without a caller
   */
  onEndLost (request: { readonly permit: string, readonly digest: string }, end: typeof TrialEnd.HolderLost | typeof TrialEnd.Unreported, mayHaveCrashed: boolean, now: number, isRepeated = false): void {
    for (const [digest, suspicion] of this.#suspicions) {
      if (suspicion.observed?.permit === request.permit) {
        const { isTrial } = suspicion.observed
        this.#endObservation(digest, suspicion, end)
        if (isTrial && !mayHaveCrashed && (isRepeated || digest !== request.digest)) {
          this.#shortenPeriod(digest, suspicion, now)
        }
      }
    }
  }

  /** Remembers that a request was answered completely, for the time at which this process decides; the process that does so now clears the request. */
  rememberAnswered (content: RequestContent): void {
    for (const digest of this.#partsOf(content)) {
      this.#rememberPart(digest)
    }
    if (content.digest !== '') {
      remember(this.#provenRequests, content.digest)
    }
  }

  /** Whether a request with this permit was the last one to be tried of what is in quarantine. */
  isTrial (permit: string): boolean {
    return [...this.#suspicions.values()].some(({ observed }) => observed?.permit === permit && observed.isTrial)
  }

  /**
   * Records that an answer goes well. It clears what targets have crashed under before, at events that it has passed; it shows nothing of what is
   * known from processes that don't tell these.
   */
  onSound (report: SoundReport): void {
    for (const digest of this.#digestsOf(report)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion !== undefined && suspicion.furthestPlace !== null && report.place > suspicion.furthestPlace) {
        this.#clear(digest, suspicion)
      }
    }
  }

  /** Records that a request was answered completely. */
  onCompleted (content: RequestContent): void {
    this.rememberAnswered(content)
    for (const digest of this.#digestsOf(content)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion !== undefined) {
        this.#clear(digest, suspicion)
      }
    }
  }

  #clear (digest: string, suspicion: Suspicion): void {
    this.#endObservation(digest, suspicion, TrialEnd.Answered)
    this.#suspicions.delete(digest)
    this.#onCleared(digest, suspicion)
  }

  /** Records that a target crashed under a request. What is in quarantine explains the crash, so that what is less specific is spared. */
  onCrashed (permit: string, report: CrashReport, now: number): void {
    let isExplained = false
    for (const digest of this.#digestsOf(report)) {
      const known = this.#suspicions.get(digest)
      if (known?.observed?.permit === permit) {
        this.#endObservation(digest, known, TrialEnd.Interrupted)
      }
      if (!isExplained) {
        const suspicion = known ?? this.#suspect(digest, digest === report.digest, now)
        if (suspicion.isRequest) {
          suspicion.ownParts ??= this.#partsOf(report)
        }
        this.#countCrash(digest, suspicion, permit, report, now)
        isExplained = suspicion.periods > 0
      }
    }
    this.#endExplained(now)
  }

  /** Records that a target has not crashed under a request after all. What is in quarantine only because of that no longer is. */
  onWithdrawn (permit: string, report: CrashReport, now: number): void {
    for (const digest of this.#digestsOf(report)) {
      const suspicion = this.#suspicions.get(digest)
      const crash = suspicion?.counted.find(({ target, permits }) => target === report.target && permits.has(permit))
      if (suspicion === undefined || crash === undefined) {
        continue
      }
      crash.permits.delete(permit)
      if (crash.permits.size === 0) {
        suspicion.counted.splice(suspicion.counted.indexOf(crash), 1)
        suspicion.allCrashes -= 1
        // Which of the others came before the answer got further is not known any more.
        suspicion.crashes = suspicion.allCrashes
        this.#onFewerCrashes(digest, suspicion, now)
      }
    }
  }

  /** Returns the digests of a request and of those of its parts that no complete answer is remembered with. */
  unprovenDigestsOf (content: RequestContent): readonly string[] {
    const parts = this.#partsOf(content).filter(digest => !this.#provenParts.has(digest))
    return content.digest === '' ? parts : [content.digest, ...parts]
  }

  /** Returns all entries, for another process. */
  entries (now: number): readonly QuarantineEntry[] {
    return [...this.#suspicions].filter(([, { periods, isRequest }]) => periods > 0 || isRequest).map(([digest, suspicion]) => entryOf(digest, suspicion, now))
  }

  /** Returns the entries that were cleared last, for another process that may have missed it; a bounded number. */
  cleared (): readonly QuarantineEntry[] {
    return [...this.#clearedVersions].slice(-maximumToldCleared).map(([digest, version]) => ({ digest, version, periods: 0, remaining: 0 }))
  }

  /** Returns entries without a version for the parts that were answered last, for another process; a bounded number. Builds that know no such entries ignore them. */
  answered (): readonly QuarantineEntry[] {
    return [...this.#provenParts].slice(-maximumToldAnswered).map(digest => ({ digest, version: 0, periods: 0, remaining: 0 }))
  }

  /** Adopts an entry of another process or of the log unless a newer one is known. */
  merge ({ digest, version, periods, remaining, crashes = 0, advances = 0, allCrashes = crashes, place }: QuarantineEntry, now: number): void {
    if (version === 0 && periods === 0 && crashes === 0) {
      this.#rememberPart(digest)
      return
    }
    const known = this.#suspicions.get(digest)
    if (version <= Math.max(known?.version ?? 0, this.#clearedVersions.get(digest) ?? 0)) {
      return
    }
    if (known !== undefined) {
      this.#endObservation(digest, known, TrialEnd.Superseded)
    }
    if (periods === 0 && crashes === 0) {
      this.#suspicions.delete(digest)
      this.#rememberCleared(digest, version)
      return
    }
    const suspicion = known ?? this.#suspect(digest, crashes > 0, now)
    const isReleased = periods === 0 && suspicion.periods > 0
    Object.assign(suspicion, { version, periods, until: periods === 0 ? 0 : now + Math.min(remaining, periodOf(periods)) })
    suspicion.crashes = isReleased ? crashes : Math.max(suspicion.crashes, periods > 0 ? crashesToQuarantine : crashes)
    suspicion.advances = Math.max(suspicion.advances, advances)
    suspicion.allCrashes = Math.max(suspicion.allCrashes, suspicion.crashes, allCrashes)
    if (place !== undefined) {
      suspicion.furthestPlace = Math.max(place, suspicion.furthestPlace ?? 0)
    }
    if (suspicion.allCrashes >= crashesToQuarantine) {
      suspicion.limitReachedAt = Math.min(suspicion.limitReachedAt, now)
      if (periods === 0 && suspicion.advances === 0) {
        Object.assign(suspicion, { firstPeriod: laterFirstPeriod, countedTrials: 1 })
      }
    }
    if (periods > 0) {
      suspicion.limitReachedAt = -Infinity
      suspicion.countedTrials = Math.max(suspicion.countedTrials, periods - 1)
    }
  }

  #endObservation (digest: string, suspicion: Suspicion, end: TrialEnd): void {
    const { observed } = suspicion
    suspicion.observed = null
    if (observed?.isTrial !== true) {
      return
    }
    for (const listener of this.#trialListeners) {
      listener({ digest, permit: observed.permit, end, since: observed.since })
    }
  }

  #rememberPart (digest: string): void {
    remember(this.#provenParts, digest)
    const suspicion = this.#suspicions.get(digest)
    if (suspicion?.periods === 0 && !suspicion.isRequest) {
      suspicion.isProven = true
    }
  }

  #suspicionsOf (content: RequestContent): readonly Suspicion[] {
    if (this.#suspicions.size === 0) {
      return []
    }
    return this.#digestsOf(content).flatMap(digest => this.#suspicions.get(digest) ?? [])
  }

  /** Returns the digests of a request and its parts, the most specific first. */
  #digestsOf (content: RequestContent): readonly string[] {
    const parts = [...this.#partsOf(content)].reverse()
    return content.digest === '' ? parts : [content.digest, ...parts]
  }

  #partsOf ({ parts }: RequestContent): readonly string[] {
    const known = this.#partDigests.get(parts)
    if (known !== undefined) {
      return known
    }
    const digests = parts.map(promptPartDigest)
    this.#partDigests.set(parts, digests)
    return digests
  }

  #suspect (digest: string, isRequest: boolean, now: number): Suspicion {
    if (this.#suspicions.size >= maximumSuspicions) {
      this.#dropOldest()
    }
    const suspicion: Suspicion = {
      isRequest,
      crashes: 0,
      allCrashes: 0,
      firstCrashAt: now,
      limitReachedAt: Infinity,
      furthestPlace: null,
      advances: 0,
      ownParts: null,
      firstPeriod: 1,
      counted: [],
      isProven: (isRequest ? this.#provenRequests : this.#provenParts).has(digest),
      periods: 0,
      countedTrials: 0,
      until: 0,
      trialRetries: 0,
      version: this.#clearedVersions.get(digest) ?? 0,
      observed: null
    }
    this.#suspicions.set(digest, suspicion)
    return suspicion
  }

  /** Drops the oldest suspicion without a quarantine, or the oldest of all if everything is in quarantine. */
  #dropOldest (): void {
    const [first] = this.#suspicions.keys()
    const oldest = [...this.#suspicions].find(([, { periods }]) => periods === 0)?.[0] ?? first
    if (oldest !== undefined) {
      this.#suspicions.delete(oldest)
    }
  }

  #countCrash (digest: string, suspicion: Suspicion, permit: string, { target, place }: CrashReport, now: number): void {
    const same = suspicion.counted.find(crash => isSameCrash(crash, target, now))
    if (same !== undefined) {
      same.permits.add(permit)
      return
    }
    if (place !== undefined) {
      recordPlace(suspicion, place, now)
    }
    suspicion.crashes += 1
    suspicion.allCrashes += 1
    if (suspicion.allCrashes === crashesToQuarantine) {
      suspicion.limitReachedAt = now
    }
    suspicion.counted.push({ target, at: now, permits: new Set([permit]) })
    if (suspicion.counted.length > maximumCountedCrashes) {
      suspicion.counted.shift()
    }
    // A trial has extended the quarantine when it was dispatched, and requests that were dispatched before do not extend it.
    if (suspicion.periods > 0) {
      return
    }
    if (this.#isQuarantineDue(digest, suspicion, now)) {
      this.#setPeriod(digest, suspicion, suspicion.firstPeriod, now)
    } else if (suspicion.isRequest) {
      suspicion.version += 1
      this.#notify(entryOf(digest, suspicion, now), false)
    }
  }

  /** Brings the next trial forward after one whose end tells of no crash. */
  #shortenPeriod (digest: string, suspicion: Suspicion, now: number): void {
    const { isRequest, periods, countedTrials, until } = suspicion
    // The period that began with the first trial is the second one.
    const milliseconds = stoppedTrialMilliseconds[isRequest ? countedTrials : periods - 2] ?? stoppedTrialMilliseconds[3]
    if (now + milliseconds < until) {
      this.#setPeriod(digest, suspicion, periods, now, milliseconds)
    }
  }

  /**
   * Ends the first quarantine period of parts whose crashes a request explains by now, as its reports may come after those of the requests that it
   * interrupted, and of requests whose crashes a part explains that they do not have.
   */
  #endExplained (now: number): void {
    for (const [digest, suspicion] of this.#suspicions) {
      const { isRequest, periods, crashes, counted } = suspicion
      if (isRequest && periods === 1 && this.#isExplainedByPart(suspicion)) {
        // The next crash counts as one under a trial.
        Object.assign(suspicion, { periods: 0, until: 0, crashes: crashesToQuarantine - 1, countedTrials: 1, firstPeriod: laterFirstPeriod, version: suspicion.version + 1 })
        this.#notify(entryOf(digest, suspicion, now), true)
        continue
      }
      const isAllKnown = counted.length >= Math.min(crashes, maximumCountedCrashes)
      if (!isRequest && periods === 1 && isAllKnown && this.#isExplained(digest, suspicion)) {
        Object.assign(suspicion, { periods: 0, until: 0, version: suspicion.version + 1 })
        this.#rememberCleared(digest, suspicion.version)
        this.#notify({ digest, version: suspicion.version, periods: 0, remaining: 0 }, true)
      }
    }
  }

  #onFewerCrashes (digest: string, suspicion: Suspicion, now: number): void {
    const { crashes, periods, isRequest } = suspicion
    if (crashes <= 0 || (periods > 0 && crashes < this.#requiredCrashes(suspicion))) {
      this.#suspicions.delete(digest)
      this.#onCleared(digest, suspicion)
    } else if (periods === 0 && isRequest) {
      suspicion.version += 1
      this.#notify(entryOf(digest, suspicion, now), false)
    }
  }

  #requiredCrashes ({ isRequest, isProven }: Suspicion): number {
    return isProven && !isRequest ? provenCrashesToQuarantine : crashesToQuarantine
  }

  /** Begins the quarantine of a request that was answered before, once that was long enough ago. */
  #quarantineIfDue ({ digest }: RequestContent, now: number): void {
    const suspicion = this.#suspicions.get(digest)
    if (suspicion?.periods === 0 && this.#isQuarantineDue(digest, suspicion, now)) {
      this.#setPeriod(digest, suspicion, suspicion.firstPeriod, now)
    }
  }

  #isQuarantineDue (digest: string, suspicion: Suspicion, now: number): boolean {
    const { isProven, crashes, firstCrashAt, advances, limitReachedAt } = suspicion
    if (suspicion.isRequest && advances > 0 && now - limitReachedAt >= advanceMilliseconds) {
      return true
    }
    const isSilentLongEnough = !isProven || now - firstCrashAt >= provenSilenceMilliseconds
    return crashes >= this.#requiredCrashes(suspicion) && isSilentLongEnough && !this.#isExplained(digest, suspicion)
  }

  /**
   * Whether another request explains the crashes: one that nearly all of a part's crashes have interrupted, or one with more crashes that
   * all crashes of a request have interrupted.
   */
  #isExplained (digest: string, { isRequest, crashes, counted }: Suspicion): boolean {
    const interruptions = new Map<string, number>()
    for (const crash of counted) {
      for (const request of this.#interruptedBy(crash)) {
        interruptions.set(request, (interruptions.get(request) ?? 0) + 1)
      }
    }
    for (const [request, count] of interruptions) {
      const required = isRequest ? counted.length : counted.length - unreportedCrashes
      const isMoreSuspect = !isRequest || (request !== digest && (this.#suspicions.get(request)?.crashes ?? 0) > crashes)
      if (isMoreSuspect && count >= required) {
        return true
      }
    }
    return false
  }

  /** Whether a part in quarantine that a request does not have explains all its crashes. */
  #isExplainedByPart ({ crashes, counted, ownParts }: Suspicion): boolean {
    if (ownParts === null || counted.length === 0 || counted.length < crashes) {
      return false
    }
    return [...this.#suspicions].some(([digest, other]) => {
      const isForeignPart = !other.isRequest && other.periods > 0 && !ownParts.includes(digest)
      return isForeignPart && counted.every(crash => other.counted.some(({ target, at }) => isSameCrash(crash, target, at)))
    })
  }

  /** Returns the digests of the suspected requests that a crash interrupted. */
  #interruptedBy ({ target, at }: CountedCrash): readonly string[] {
    const suspected = [...this.#suspicions].filter(([, { isRequest, counted }]) => isRequest && counted.some(crash => isSameCrash(crash, target, at)))
    return suspected.map(([digest]) => digest)
  }

  #setPeriod (digest: string, suspicion: Suspicion, periods: number, now: number, milliseconds = periodOf(periods)): void {
    suspicion.periods = periods
    suspicion.version += 1
    suspicion.until = now + milliseconds
    this.#notify(entryOf(digest, suspicion, now), true)
  }

  #onCleared (digest: string, { periods, version, isRequest }: Suspicion): void {
    if (periods > 0 || isRequest) {
      this.#rememberCleared(digest, version + 1)
      this.#notify({ digest, version: version + 1, periods: 0, remaining: 0 }, periods > 0)
    }
  }

  #rememberCleared (digest: string, version: number): void {
    this.#clearedVersions.delete(digest)
    this.#clearedVersions.set(digest, version)
    const [oldest] = this.#clearedVersions.keys()
    if (this.#clearedVersions.size > maximumSuspicions && oldest !== undefined) {
      this.#clearedVersions.delete(oldest)
    }
  }

  #notify (entry: QuarantineEntry, isQuarantine: boolean): void {
    for (const listener of this.#listeners) {
      listener(entry, isQuarantine)
    }
  }
}

/** Forgets the crashes of a request before its answer got further. */
function recordPlace (suspicion: Suspicion, place: number, now: number): void {
  const { furthestPlace, periods, advances, limitReachedAt } = suspicion
  suspicion.furthestPlace = Math.max(place, furthestPlace ?? 0)
  const isFurther = suspicion.isRequest && furthestPlace !== null && place > furthestPlace
  if (isFurther && periods === 0 && advances < maximumAdvances && now - limitReachedAt < advanceMilliseconds) {
    Object.assign(suspicion, { advances: advances + 1, crashes: 0, firstCrashAt: now })
  }
}

function isSameCrash (crash: Pick<CountedCrash, 'target' | 'at'>, target: string, at: number): boolean {
  return crash.target === target && Math.abs(at - crash.at) < sameCrashMilliseconds
}

/** Adds a digest to those with complete answers, and drops the one that was used least recently if there are too many. */
function remember (proven: Set<string>, digest: string): void {
  proven.delete(digest)
  proven.add(digest)
  const [oldest] = proven
  if (proven.size > maximumProven && oldest !== undefined) {
    proven.delete(oldest)
  }
}

function entryOf (digest: string, { version, periods, until, crashes, allCrashes, advances, furthestPlace }: Suspicion, now: number): QuarantineEntry {
  const place = furthestPlace === null ? {} : { place: furthestPlace }
  if (periods === 0) {
    return { digest, version, periods, remaining: 0, crashes, ...(advances === 0 ? {} : { advances }), ...(allCrashes > crashes ? { allCrashes } : {}), ...place }
  }
  return { digest, version, periods, remaining: Math.max(0, until - now), ...place }
}

/** Returns the length of a quarantine period, in milliseconds; periods are numbered from 1. */
function periodOf (period: number): number {
  return periodsMilliseconds[period - 1] ?? periodsMilliseconds[4]
}
