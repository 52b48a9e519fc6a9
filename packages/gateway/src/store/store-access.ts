/** Decides by the outcomes of direct calls which partitions of the store serve this instance, and when to try again. No network, no clock of its own. */

/** Delay of the first direct call after direct calls have failed; it doubles with each further one. */
const initialProbeMilliseconds = 100
/** Upper bound of that delay: the store may be away for seconds, and each call to it has a cost. */
const maximumProbeMilliseconds = 800
/** Time after a due probe after which a refusal is forgotten, as nothing calls the partition, and for which others that are served show a partial outage. */
const evidenceMilliseconds = 2 * maximumProbeMilliseconds
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
  /** Latest time at which a partition was served while another one refused calls. */
  #partialAt = -Infinity

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
    this.#forgetUnused(now)
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
    this.#forgetUnused(now)
    const wasRefused = this.isRefused(partition)
    if (isServed) {
      // A call that waited at the store may be served although others have been refused meanwhile.
      this.#serve(partition, mark.refusals === refusals, now)
    } else {
      this.#refuse(partition, isWhole, now)
    }
    if (wasRefused === this.isRefused(partition)) {
      return false
    }
    this.#changes.set(partition, change + 1)
    return true
  }

  #serve (partition: string, isRecent: boolean, now: number): void {
    if (this.#outage !== null) {
      // What refused calls may be back as well. If not, it was an outage of some partitions.
      this.#outage = null
      this.#outages += 1
      this.#refused.clear()
      this.#partialAt = now
      return
    }
    this.#refused.delete(partition)
    if (isRecent && this.#refused.size > 0) {
      this.#partialAt = now
    }
  }

  #refuse (partition: string, isWhole: boolean, now: number): void {
    this.#refusals += 1
    if (!this.#refused.has(partition)) {
      this.#refused.set(partition, probeAt(now + initialProbeMilliseconds))
    }
    if (this.#outage !== null) {
      return
    }
    if (isWhole) {
      this.#beginOutage(now + initialProbeMilliseconds)
    } else if (this.#refused.size >= refusedPartitions && now - this.#partialAt > evidenceMilliseconds) {
      // Calls that began together may have been served as well: the next one, of any partition, shows it.
      this.#beginOutage(now)
    }
  }

  #beginOutage (probedAt: number): void {
    this.#outage = probeAt(probedAt)
    this.#outages += 1
  }

  #forgetUnused (now: number): void {
    for (const [partition, { nextAt }] of this.#refused) {
      if (now - nextAt > evidenceMilliseconds) {
        this.#refused.delete(partition)
      }
    }
  }
}

function probeAt (nextAt: number): Probe {
  return { nextAt, delay: initialProbeMilliseconds }
}
