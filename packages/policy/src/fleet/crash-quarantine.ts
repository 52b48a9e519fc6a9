/**
 * Holds back prompt parts under which targets crash. Load: requests that have one part in common, under which every target
 * crashes as soon as it begins to answer, arrive at many instances at once and are each retried at further targets.
 *
 * A crash is attributed to all shared parts of the requests that it interrupted. A complete answer clears the parts of its
 * request, which sets parts that sound requests use apart from the one that crashes targets.
 */
import { promptPartDigest } from './prompt-part-digest.js'

/** Whether requests with a prompt part may be dispatched, as instances tell each other and keep it in the log. */
export interface QuarantineEntry {
  /** Digest of the part's id; see {@link promptPartDigest}. */
  readonly digest: string
  /** Number of changes of this entry; of two entries for a part, the one with the greater version holds. */
  readonly version: number
  /** Number of quarantine periods so far, which determines the length of the next one; 0 if the part was cleared. */
  readonly periods: number
  /** Milliseconds until the next request with this part is tried; 0 if the part was cleared. */
  readonly remaining: number
}

/** Whether a request may be dispatched. */
export const QuarantineAdmission = {
  Admitted: 'admitted',
  /** Another request with one of its parts has to end first, since a target has crashed under that part. */
  Busy: 'busy',
  /** One of its parts is in quarantine. */
  Quarantined: 'quarantined'
} as const
export type QuarantineAdmission = typeof QuarantineAdmission[keyof typeof QuarantineAdmission]

/** Decision on a request. */
export interface QuarantineDecision {
  readonly admission: QuarantineAdmission
  /** Milliseconds until a request with the quarantined part is tried; 0 unless it is quarantined. */
  readonly retryAfter: number
}

/** A request that a target crashed under, as its holder reports it. */
export interface CrashReport {
  readonly target: string
  /** Ids of the request's prompt parts that other requests may share. */
  readonly parts: readonly string[]
}

/** Crashes after which a part is quarantined unless a request with it was answered completely before. */
const crashesToQuarantine = 3
/** The same for a part that requests were answered with before. */
const provenCrashesToQuarantine = 5
/** Time without a complete answer that it takes as well, so that targets which crash together for another reason do not quarantine the parts that all requests share. */
const provenSilenceMilliseconds = 1_000
/** Time within which interrupted requests on one target count as the same crash: less than a target needs to start again. */
const sameCrashMilliseconds = 1_000
/** First quarantine period: the time for which requests are held back by mistake if the crashes had another cause. */
const firstPeriodMilliseconds = 1_000
/** Multiple of the former period. */
const periodFactor = 8
const maximumPeriodMilliseconds = 3_600_000
/** Time before a request with a quarantined part is tried again if the last trial showed nothing. */
const trialRetryMilliseconds = 1_000
/** Time after which a request under observation no longer blocks others: a target that crashes under its prompt does so earlier. */
const observationMilliseconds = 500
/** Maximum number of parts with crashes; requests with invented parts replace each other, not what is in quarantine. */
const maximumSuspicions = 1_024
/** Maximum number of remembered parts with complete answers, which bounds memory to about a megabyte. */
const maximumProven = 8_192
/** Maximum number of remembered targets of a part's crashes. */
const maximumCrashedTargets = 16

/** What is known against a part. */
interface Suspicion {
  /** Crashes since the last complete answer. */
  crashes: number
  firstCrashAt: number
  /** Time of the last counted crash, by target. */
  readonly crashedAt: Map<string, number>
  /** Whether an answer with the part was complete before the first crash. */
  readonly isProven: boolean
  /** Quarantine periods so far; 0 if the part is not in quarantine. */
  periods: number
  /** Time from which a request with the quarantined part may be tried, in milliseconds since the epoch. */
  until: number
  version: number
  /** Request with the part that was dispatched last, until it ends. */
  observed: { readonly permit: string, readonly since: number, readonly isTrial: boolean } | null
}

/** Attributes crashes to prompt parts and decides which requests may be dispatched. */
export class CrashQuarantine {
  readonly #suspicions = new Map<string, Suspicion>()
  /** Digests of parts with complete answers, the least recently used first. */
  readonly #proven = new Set<string>()
  /** Versions of parts that were cleared after a quarantine. */
  readonly #clearedVersions = new Map<string, number>()
  /** Digests by list of parts; a list belongs to one request and is looked up again while that waits. */
  readonly #digests = new WeakMap<readonly string[], readonly string[]>()
  readonly #listeners: Array<(entry: QuarantineEntry) => void> = []

  /** Calls the listener when this process begins, extends or ends the quarantine of a part. */
  onChange (listener: (entry: QuarantineEntry) => void): void {
    this.#listeners.push(listener)
  }

  /** Whether anything is known against any part. */
  get isActive (): boolean {
    return this.#suspicions.size > 0
  }

  /** Whether any part is in quarantine. */
  get hasQuarantined (): boolean {
    return [...this.#suspicions.values()].some(suspicion => suspicion.periods > 0)
  }

  /** Decides whether a request with these shared parts may be dispatched. */
  decide (parts: readonly string[], now: number): QuarantineDecision {
    let isBusy = false
    let retryAfter = 0
    for (const { observed, periods, until, isProven, crashes } of this.#suspicionsOf(parts)) {
      if (periods > 0) {
        retryAfter = Math.max(retryAfter, until - now)
      } else if (observed !== null && now - observed.since < observationMilliseconds) {
        isBusy ||= !isProven || crashes >= provenCrashesToQuarantine
      }
    }
    if (retryAfter > 0) {
      return { admission: QuarantineAdmission.Quarantined, retryAfter }
    }
    return { admission: isBusy ? QuarantineAdmission.Busy : QuarantineAdmission.Admitted, retryAfter: 0 }
  }

  /** Records that a request was dispatched. */
  onDispatched (permit: string, parts: readonly string[], now: number): void {
    for (const digest of this.#digestsOf(parts)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion !== undefined) {
        const isTrial = suspicion.periods > 0
        suspicion.observed = { permit, since: now, isTrial }
        if (isTrial) {
          // The next period begins with the trial, so that no other process tries the part meanwhile.
          this.#setPeriod(digest, suspicion, suspicion.periods + 1, now)
        }
      }
    }
  }

  /** Records that a request ended without a complete answer, for another reason than a crash. */
  onEnded (permit: string, parts: readonly string[], now: number): void {
    for (const digest of this.#digestsOf(parts)) {
      const suspicion = this.#suspicions.get(digest)
      if (suspicion?.observed?.permit === permit) {
        const { isTrial } = suspicion.observed
        suspicion.observed = null
        if (isTrial && suspicion.periods > 1) {
          this.#setPeriod(digest, suspicion, suspicion.periods - 1, now, trialRetryMilliseconds)
        }
      }
    }
  }

  /** Records that a request was answered completely. */
  onCompleted (parts: readonly string[]): void {
    for (const digest of this.#digestsOf(parts)) {
      this.#prove(digest)
      const suspicion = this.#suspicions.get(digest)
      if (suspicion !== undefined) {
        this.#suspicions.delete(digest)
        this.#onCleared(digest, suspicion)
      }
    }
  }

  /** Records that a target crashed under a request. A part in quarantine explains the crash, so that the less specific ones before it are spared. */
  onCrashed (permit: string, { target, parts }: CrashReport, now: number): void {
    let isExplained = false
    for (const digest of [...this.#digestsOf(parts)].reverse()) {
      const known = this.#suspicions.get(digest)
      if (known?.observed?.permit === permit) {
        known.observed = null
      }
      if (!isExplained) {
        const suspicion = known ?? this.#suspect(digest, now)
        this.#countCrash(digest, suspicion, target, now)
        isExplained = suspicion.periods > 0
      }
    }
  }

  /** Returns all entries, for another process. */
  entries (now: number): readonly QuarantineEntry[] {
    return [...this.#suspicions].filter(([, { periods }]) => periods > 0).map(([digest, suspicion]) => entryOf(digest, suspicion, now))
  }

  /** Adopts an entry of another process or of the log unless a newer one is known. */
  merge ({ digest, version, periods, remaining }: QuarantineEntry, now: number): void {
    const known = this.#suspicions.get(digest)
    if (version <= Math.max(known?.version ?? 0, this.#clearedVersions.get(digest) ?? 0)) {
      return
    }
    if (periods === 0) {
      this.#suspicions.delete(digest)
      this.#rememberCleared(digest, version)
      return
    }
    const suspicion = known ?? this.#suspect(digest, now)
    suspicion.observed = null
    Object.assign(suspicion, { version, periods, until: now + Math.min(remaining, periodOf(periods)) })
    suspicion.crashes = Math.max(suspicion.crashes, crashesToQuarantine)
  }

  #suspicionsOf (parts: readonly string[]): readonly Suspicion[] {
    if (this.#suspicions.size === 0) {
      return []
    }
    return this.#digestsOf(parts).flatMap(digest => this.#suspicions.get(digest) ?? [])
  }

  #digestsOf (parts: readonly string[]): readonly string[] {
    const known = this.#digests.get(parts)
    if (known !== undefined) {
      return known
    }
    const digests = parts.map(promptPartDigest)
    this.#digests.set(parts, digests)
    return digests
  }

  #suspect (digest: string, now: number): Suspicion {
    if (this.#suspicions.size >= maximumSuspicions) {
      this.#dropOldest()
    }
    const suspicion = {
      crashes: 0,
      firstCrashAt: now,
      crashedAt: new Map<string, number>(),
      isProven: this.#proven.has(digest),
      periods: 0,
      until: 0,
      version: this.#clearedVersions.get(digest) ?? 0,
      observed: null
    }
    this.#suspicions.set(digest, suspicion)
    return suspicion
  }

  /** Drops the oldest suspicion without a quarantine, or the oldest of all if all parts are in quarantine. */
  #dropOldest (): void {
    const [first] = this.#suspicions.keys()
    const oldest = [...this.#suspicions].find(([, { periods }]) => periods === 0)?.[0] ?? first
    if (oldest !== undefined) {
      this.#suspicions.delete(oldest)
    }
  }

  #countCrash (digest: string, suspicion: Suspicion, target: string, now: number): void {
    const last = suspicion.crashedAt.get(target)
    if (last !== undefined && now - last < sameCrashMilliseconds) {
      return
    }
    suspicion.crashes += 1
    suspicion.crashedAt.delete(target)
    suspicion.crashedAt.set(target, now)
    const [oldest] = suspicion.crashedAt.keys()
    if (suspicion.crashedAt.size > maximumCrashedTargets && oldest !== undefined) {
      suspicion.crashedAt.delete(oldest)
    }
    // A trial has extended the quarantine when it was dispatched, and requests that were dispatched before do not extend it.
    if (suspicion.periods === 0 && isQuarantineDue(suspicion, now)) {
      this.#setPeriod(digest, suspicion, 1, now)
    }
  }

  #setPeriod (digest: string, suspicion: Suspicion, periods: number, now: number, milliseconds = periodOf(periods)): void {
    suspicion.periods = periods
    suspicion.version += 1
    suspicion.until = now + milliseconds
    this.#notify(entryOf(digest, suspicion, now))
  }

  #onCleared (digest: string, { periods, version }: Suspicion): void {
    if (periods > 0) {
      this.#rememberCleared(digest, version + 1)
      this.#notify({ digest, version: version + 1, periods: 0, remaining: 0 })
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

  #prove (digest: string): void {
    this.#proven.delete(digest)
    this.#proven.add(digest)
    const [oldest] = this.#proven
    if (this.#proven.size > maximumProven && oldest !== undefined) {
      this.#proven.delete(oldest)
    }
  }

  #notify (entry: QuarantineEntry): void {
    for (const listener of this.#listeners) {
      listener(entry)
    }
  }
}

function isQuarantineDue ({ crashes, isProven, firstCrashAt }: Suspicion, now: number): boolean {
  return isProven ? crashes >= provenCrashesToQuarantine && now - firstCrashAt >= provenSilenceMilliseconds : crashes >= crashesToQuarantine
}

function entryOf (digest: string, { version, periods, until }: Suspicion, now: number): QuarantineEntry {
  return { digest, version, periods, remaining: Math.max(0, until - now) }
}

/** Returns the length of a quarantine period, in milliseconds; periods are numbered from 1. */
function periodOf (period: number): number {
  return Math.min(maximumPeriodMilliseconds, firstPeriodMilliseconds * periodFactor ** (period - 1))
}
