/**
 * Which software versions the targets of each service have had lately. Where it was one version for longer than streams last, that version
 * began every stream that may still be taken up.
 */

/** The versions of a service, as processes that start later need them. */
export interface VersionRecord {
  readonly present: readonly string[]
  /** By version that left lately: the time until which it may have been present, in milliseconds since the epoch. */
  readonly departed: Readonly<Record<string, number>>
}

/** Time for which a stream may still be taken up after its beginning, in milliseconds: four attempts of five seconds, the longest timeout of routes. */
export const streamMemoryMilliseconds = 20_000
/** Difference by which the clocks of two processes may differ. */
const clockDifferenceMilliseconds = 2_000

interface ServiceVersions {
  present: ReadonlySet<string>
  /** By version that is no longer present: the time until which it may have been, in milliseconds since the epoch. */
  readonly lastSeen: Map<string, number>
  /** Time from which all versions are known, in milliseconds since the epoch. */
  knownSince: number
  /** Time until which the service counts as mixed because another process said so, in milliseconds since the epoch. */
  mixedUntil: number
}

/** Keeps the versions of each service. */
export class VersionHistory {
  readonly #services = new Map<string, ServiceVersions>()
  readonly #listeners: Array<(service: string) => void> = []
  /** Value of {@link ServiceVersions.knownSince} for a service that was not seen before; null if that is the time of its first list. */
  #initiallyKnownSince: number | null = null

  /** Calls the listener with each service that begins to have several versions, as far as streams are concerned that may still be taken up. */
  onMixed (listener: (service: string) => void): void {
    this.#listeners.push(listener)
  }

  /** Records the versions that a service's targets have now. */
  observe (service: string, versions: ReadonlySet<string>, now: number): void {
    this.#change(service, now, known => {
      const departed = [...known.present].filter(version => !versions.has(version))
      departed.forEach(version => { known.lastSeen.set(version, now) })
      versions.forEach(version => { known.lastSeen.delete(version) })
      known.present = new Set(versions)
    })
  }

  /**
   * Takes over the records of earlier processes. What was present in a record may have served until now; a service without a record has had
   * no other versions.
   */
  restore (records: ReadonlyMap<string, VersionRecord>, now: number): void {
    this.#initiallyKnownSince = -Infinity
    for (const known of this.#services.values()) {
      known.knownSince = -Infinity
    }
    for (const [service, { present, departed }] of records) {
      this.#change(service, now, known => {
        const seen = [...Object.entries(departed).map(([version, at]) => [version, Math.min(now, at + clockDifferenceMilliseconds)] as const), ...present.map(version => [version, now] as const)]
        for (const [version, at] of seen) {
          if (!known.present.has(version)) {
            known.lastSeen.set(version, Math.max(known.lastSeen.get(version) ?? -Infinity, at))
          }
        }
      })
    }
  }

  /** Returns what processes that start later need to know of a service. */
  recordOf (service: string, now: number): VersionRecord {
    const { present = [], lastSeen = [] } = this.#services.get(service) ?? {}
    return { present: [...present].sort(), departed: Object.fromEntries([...lastSeen].filter(([, at]) => at > now - streamMemoryMilliseconds)) }
  }

  /** Records that another process, which follows the targets more closely, knows several versions. */
  markMixed (service: string, now: number): void {
    this.#change(service, now, known => { known.mixedUntil = now + streamMemoryMilliseconds })
  }

  /** Whether streams that may still be taken up may have been begun by different versions, as far as is known. */
  isMixed (service: string, now: number): boolean {
    const known = this.#services.get(service)
    return known !== undefined && (known.mixedUntil > now || recentVersions(known, now).size > 1)
  }

  /** Returns the versions that began streams which may still be taken up, as far as this process has seen them. */
  recentVersions (service: string, now: number): readonly string[] {
    const known = this.#services.get(service)
    return known === undefined ? [] : [...recentVersions(known, now)]
  }

  /** Returns the version that began every stream which may still be taken up, or null if that is not certain. */
  soleVersion (service: string, now: number): string | null {
    const known = this.#services.get(service)
    if (known === undefined || known.knownSince > now - streamMemoryMilliseconds || this.isMixed(service, now)) {
      return null
    }
    const [version = null] = recentVersions(known, now)
    return version
  }

  /** Applies a change and tells the listeners if it makes the service mixed. */
  #change (service: string, now: number, change: (known: ServiceVersions) => void): void {
    const known = this.#services.get(service) ?? { present: new Set(), lastSeen: new Map<string, number>(), knownSince: this.#initiallyKnownSince ?? now, mixedUntil: 0 }
    this.#services.set(service, known)
    const wasMixed = this.isMixed(service, now)
    change(known)
    forgetOld(known, now)
    if (!wasMixed && this.isMixed(service, now)) {
      this.#listeners.forEach(listener => { listener(service) })
    }
  }
}

function recentVersions ({ present, lastSeen }: ServiceVersions, now: number): ReadonlySet<string> {
  const departed = [...lastSeen].filter(([, at]) => at > now - streamMemoryMilliseconds).map(([version]) => version)
  return new Set([...present, ...departed])
}

function forgetOld ({ lastSeen }: ServiceVersions, now: number): void {
  for (const [version, at] of lastSeen) {
    if (at <= now - streamMemoryMilliseconds) {
      lastSeen.delete(version)
    }
  }
}

/**
 * Combines the record of a service with what a process knows, which may be less: it may have started later, or was paused. A version that the process does not know
 * may have served until now.
 */
export function mergeVersionRecords (stored: VersionRecord, own: VersionRecord, now: number): VersionRecord {
  const departed = new Map<string, number>()
  const entries = [...Object.entries(stored.departed), ...stored.present.map(version => [version, own.departed[version] ?? now] as const), ...Object.entries(own.departed)]
  for (const [version, at] of entries) {
    if (!own.present.includes(version) && at > now - streamMemoryMilliseconds) {
      departed.set(version, Math.max(departed.get(version) ?? -Infinity, at))
    }
  }
  return { present: own.present, departed: Object.fromEntries(departed) }
}
