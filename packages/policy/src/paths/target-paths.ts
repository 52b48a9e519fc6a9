/**
 * Which way new connections to targets take: directly, or relayed by a peer. Load: an instance that is cut off from some or all targets
 * for seconds, while clients, the store and the other instances still reach it. Connections then hang, are refused, or are made and reset.
 */

/** Way of a new connection to a target. */
export const TargetPath = {
  /** Directly; through a peer if that fails. */
  Direct: 'direct',
  /** Through a peer; directly only if no peer can tell whether the target is there. */
  Relayed: 'relayed',
  /** Both at once; the first connection is used, and the direct one shows whether the direct path is back. */
  Both: 'both'
} as const
export type TargetPath = typeof TargetPath[keyof typeof TargetPath]

/** Kinds of {@link PathChange}. */
export const PathChangeKind = {
  /** A target is relayed first from now on. */
  TargetRelayed: 'target-relayed',
  /** A target is connected to directly again. */
  TargetDirect: 'target-direct',
  /** The instance counts as cut off from the targets. */
  CutOff: 'cut-off',
  /** It counts as cut off no more. */
  Reconnected: 'reconnected'
} as const
export type PathChangeKind = typeof PathChangeKind[keyof typeof PathChangeKind]

/** A change of the way to one or all targets. */
export interface PathChange {
  readonly kind: PathChangeKind
  /** Target whose connection decided it. */
  readonly target: string
  /** Targets that are relayed first. */
  readonly relayed: number
  /** Targets whose direct connections have failed since the last one that succeeded, to whatever target. */
  readonly failed: number
}

/** What is known of a target to which a direct connection has failed, until one succeeds. */
interface FailedTarget {
  /** Whether a peer has reached it, so that the path and not the target is at fault. */
  isReachable: boolean
  /** Time from which a connection tries the direct path again, in milliseconds since the epoch. */
  nextProbeAt: number
}

/** Interval at which a connection tries the direct path while a peer relays the others. */
const probeIntervalMilliseconds = 500
/** Time after a direct connection to any target in which failures at others tell of these, as targets may crash together. */
const recentSuccessMilliseconds = 1_000
/** Targets that only peers reach from which the instance, and not a target, is cut off. */
const minimumCutOffTargets = 2

/** Decides the way of each new connection from the outcomes of earlier ones. */
export class TargetPaths {
  readonly #failedTargets = new Map<string, FailedTarget>()
  /** Targets whose direct connections have failed since the last direct connection that succeeded, to whatever target. */
  readonly #failedSinceSuccess = new Set<string>()
  readonly #listeners: Array<(change: PathChange) => void> = []
  #isCutOff = false
  /** Time of the last direct connection that was made, in milliseconds since the epoch. */
  #succeededAt = -Infinity
  /** Time from which a connection to any target tries the direct path while the instance is cut off, in milliseconds since the epoch. */
  #nextProbeAt = 0

  /** Whether this instance reaches targets through peers only. */
  get isCutOff (): boolean {
    return this.#isCutOff
  }

  /** Calls the listener with each change; {@link isCutOff} is up to date then. */
  onChange (listener: (change: PathChange) => void): void {
    this.#listeners.push(listener)
  }

  /** Whether connections to a target go through a peer first. */
  isRelayed (target: string): boolean {
    return this.#isCutOff || this.#failedTargets.get(target)?.isReachable === true
  }

  /** Returns the way of a new connection to a target. */
  choose (target: string, now: number): TargetPath {
    if (this.#isCutOff) {
      return this.mayProbe(now) ? TargetPath.Both : TargetPath.Relayed
    }
    const failed = this.#failedTargets.get(target)
    if (failed?.isReachable !== true) {
      return TargetPath.Direct
    }
    if (!isDue(failed.nextProbeAt, now)) {
      return TargetPath.Relayed
    }
    failed.nextProbeAt = now + probeIntervalMilliseconds
    return TargetPath.Both
  }

  /** Whether the next connection may try the direct path although the instance is cut off; one that does has to be made then. */
  mayProbe (now: number): boolean {
    if (!isDue(this.#nextProbeAt, now)) {
      return false
    }
    this.#nextProbeAt = now + probeIntervalMilliseconds
    return true
  }

  /**
   * Whether a direct connection to the target that failed says something of the target. It does not if the last direct connections to
   * other targets failed, too.
   */
  canTell (target: string): boolean {
    const others = this.#failedSinceSuccess.size - (this.#failedSinceSuccess.has(target) ? 1 : 0)
    return !this.#isCutOff && others === 0
  }

  /** Whether a direct connection to another target was made so lately that a failure tells of the target, if no peer can tell. */
  hasRecentSuccess (now: number): boolean {
    return !this.#isCutOff && Math.abs(now - this.#succeededAt) < recentSuccessMilliseconds
  }

  /** Records that a new direct connection was made. A connection that is used again shows nothing: it may live on while new ones are refused. */
  recordDirectSuccess (target: string, now: number): void {
    this.#failedSinceSuccess.clear()
    this.#succeededAt = now
    const wasRelayed = this.#failedTargets.get(target)?.isReachable === true
    this.#failedTargets.delete(target)
    if (this.#isCutOff) {
      this.#isCutOff = false
      // Each target's next connection finds out whether the direct path to it is back as well.
      for (const failed of this.#failedTargets.values()) {
        failed.nextProbeAt = now
      }
      this.#notify(PathChangeKind.Reconnected, target)
    }
    if (wasRelayed) {
      this.#notify(PathChangeKind.TargetDirect, target)
    }
  }

  /**
   * Records that a new direct connection could not be made.
   *
   * @param knownTargets number of targets that this instance knows
   */
  recordDirectFailure (target: string, knownTargets: number, now: number): void {
    this.#failedSinceSuccess.add(target)
    if (!this.#failedTargets.has(target)) {
      this.#failedTargets.set(target, { isReachable: false, nextProbeAt: now + probeIntervalMilliseconds })
    }
    this.#checkCutOff(target, knownTargets, now)
  }

  /** Records that a peer has made a connection for this instance, before or after a direct one has failed. */
  recordRelaySuccess (target: string, knownTargets: number, now: number): void {
    const failed = this.#failedTargets.get(target)
    if (failed === undefined) {
      return
    }
    if (!failed.isReachable) {
      failed.isReachable = true
      failed.nextProbeAt = now + probeIntervalMilliseconds
      this.#notify(PathChangeKind.TargetRelayed, target)
    }
    this.#checkCutOff(target, knownTargets, now)
  }

  /** Drops what is known of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    for (const target of this.#failedTargets.keys()) {
      if (!targets.has(target)) {
        this.#failedTargets.delete(target)
        this.#failedSinceSuccess.delete(target)
      }
    }
  }

  #checkCutOff (target: string, knownTargets: number, now: number): void {
    const reachable = [...this.#failedSinceSuccess].filter(failed => this.#failedTargets.get(failed)?.isReachable === true).length
    if (this.#isCutOff || reachable === 0 || reachable < Math.min(minimumCutOffTargets, knownTargets)) {
      return
    }
    this.#isCutOff = true
    this.#nextProbeAt = now + probeIntervalMilliseconds
    this.#notify(PathChangeKind.CutOff, target)
  }

  #notify (kind: PathChangeKind, target: string): void {
    const relayed = [...this.#failedTargets.values()].filter(({ isReachable }) => isReachable).length
    const change = { kind, target, relayed, failed: this.#failedSinceSuccess.size }
    for (const listener of this.#listeners) {
      listener(change)
    }
  }
}

/** Whether a time has come; also if the clock was set back since it was set. */
function isDue (time: number, now: number): boolean {
  return now >= time || time - now > probeIntervalMilliseconds
}
