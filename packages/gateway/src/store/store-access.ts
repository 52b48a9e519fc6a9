/** Decides by the outcomes of direct calls which partitions of the store serve this instance, and when to try again. No network, no clock of its own. */

/** Delay of the first direct call after direct calls have failed; it doubles with each further one. */
const initialProbeMilliseconds = 100
/** Upper bound of that delay: the store may be away for seconds, and each call to it has a cost. */
const maximumProbeMilliseconds = 800
/** Partitions that refuse calls, with none served meanwhile, from which on the store counts as away for this instance. */
const refusedPartitions = 2

/** When a direct call is tried again. */
interface Probe {
  /** By the clock of `performance`. */
  nextAt: number
  delay: number
}

/** What was known when a call began. */
export interface AccessMark {
  readonly outage: number
  readonly partition: number
  readonly refusals: number
}

/** Knows the partitions that refuse calls, and whether the store is away as a whole. */
export class StoreAccess {
  /** By partition that refuses calls. */
  readonly #refused = new Map<string, Probe>()
  /** Number of changes by partition. */
  readonly #changes = new Map<string, number>()
  /** Null while the store is not away as a whole. */
  #outage: Probe | null = null
  /** Number of times at which an outage of the whole store has begun or ended. */
  #outages = 0
  /** Number of refusals that were noted. */
  #refusals = 0
  /** Whether others have been served since partitions refuse calls, so that each of these is judged by itself. */
  #isPartial = false

  /** Whether the store is away as a whole, as far as this instance can tell. */
  get isAway (): boolean {
    return this.#outage !== null
  }

  /** Whether direct calls of a partition are not served, according to the latest ones. */
  isRefused (partition: string): boolean {
    return this.isAway || this.#refused.has(partition)
  }

  /** Whether a call should be made directly; if the store was known to refuse it, another one is tried only later. */
  shouldCall (partition: string, now: number): boolean {
    const probe = this.#outage ?? this.#refused.get(partition)
    if (probe === undefined) {
      return true
    }
    if (now < probe.nextAt) {
      return false
    }
    probe.delay = Math.min(probe.delay * 2, maximumProbeMilliseconds)
    probe.nextAt = now + probe.delay * (1 + Math.random()) / 2
    return true
  }

  /** Returns what the outcome of a call that begins now has to be judged by. */
  mark (partition: string): AccessMark {
    return { outage: this.#outages, partition: this.#changes.get(partition) ?? 0, refusals: this.#refusals }
  }

  /**
   * Notes the outcome of a call; returns whether it has changed what {@link isRefused} says of its partition. The outcome of a call that
   * began before the last such change is out of date.
   *
   * @param isWhole whether a call that was not served tells of the whole store
   */
  note (partition: string, isServed: boolean, isWhole: boolean, mark: AccessMark, now: number): boolean {
    const { outage, partition: change, refusals } = this.mark(partition)
    if (mark.outage !== outage || mark.partition !== change) {
      return false
    }
    if (isServed !== this.isRefused(partition)) {
      // A call that waited at the store may be served although others have been refused meanwhile.
      this.#isPartial ||= isServed && this.#refused.size > 0 && mark.refusals === refusals
      return false
    }
    this.#changes.set(partition, change + 1)
    if (isServed) {
      this.#serve(partition, now)
    } else {
      this.#refuse(partition, isWhole, now)
    }
    return true
  }

  #serve (partition: string, now: number): void {
    this.#refused.delete(partition)
    this.#isPartial = this.#refused.size > 0
    if (this.#outage !== null) {
      this.#outage = null
      this.#outages += 1
      // The end of an outage is that of all refusals, unless they go on.
      this.#refused.forEach(probe => { Object.assign(probe, firstProbe(now)).nextAt = now })
    }
  }

  #refuse (partition: string, isWhole: boolean, now: number): void {
    this.#refusals += 1
    this.#refused.set(partition, firstProbe(now))
    if (isWhole || (!this.#isPartial && this.#refused.size >= refusedPartitions)) {
      this.#outage = firstProbe(now)
      this.#outages += 1
    }
  }
}

function firstProbe (now: number): Probe {
  return { nextAt: now + initialProbeMilliseconds, delay: initialProbeMilliseconds }
}
