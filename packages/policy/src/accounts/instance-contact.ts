/**
 * Whether an instance sees at least half of the instances that it knows.
 *
 * The load: an instance, or a few, are cut off from the store and from the others, or an instance is stopped for seconds and resumed. What it
 * remembers of the others is then out of date, and it must not take its own loss of the store for one of all instances.
 */

/** Milliseconds for which an instance counts as known after it was last seen. */
const knownMilliseconds = 10_000
/** Greatest silence in milliseconds of all other instances together; with others, several messages arrive in each second. */
const maximumSilenceMilliseconds = 1_500
/**
 * Milliseconds for which messages must have come without such a silence. Failures during a stop or an interruption of this instance are noticed
 * by then: the suspicion of a member lasts 1.5 s, and a probe of it half a second.
 */
const settlingMilliseconds = 3_000

/** Remembers which other instances were seen, and when any of them was heard. Times are in milliseconds since the epoch, since the monotonic clock omits stops. */
export class InstanceContact {
  /** When each other instance was last seen. */
  readonly #seenAt = new Map<string, number>()
  #heardAt = -Infinity
  /** Begin of the time since which messages came without a longer silence. */
  #heardSince = -Infinity

  /** Records that a message of another instance has arrived. */
  recordMessage (now: number): void {
    if (Math.abs(now - this.#heardAt) > maximumSilenceMilliseconds) {
      this.#heardSince = now
    }
    this.#heardAt = now
  }

  /**
   * Records the other instances that are seen at present. Those not seen for a while are forgotten only while at least half is seen and heard, or the
   * store was read: otherwise an instance that is cut off for long would come to know itself only.
   *
   * @param isConfirmed whether the store was read lately
   */
  recordSeen (seen: readonly string[], isConfirmed: boolean, now: number): void {
    for (const address of seen) {
      this.#seenAt.set(address, now)
    }
    if (!isConfirmed && !this.#hearsHalf(seen.length, now)) {
      return
    }
    for (const [address, at] of this.#seenAt) {
      if (Math.abs(now - at) > knownMilliseconds) {
        this.#seenAt.delete(address)
      }
    }
  }

  /** Whether at least half of the known instances is seen, this one included. An instance that knows others and hears none sees none. */
  seesHalf (seen: readonly string[], now: number): boolean {
    this.recordSeen(seen, false, now)
    if (this.#seenAt.size === 0) {
      return true
    }
    return this.#hearsHalf(seen.length, now)
  }

  /** Number of known instances, this one included. */
  get known (): number {
    return this.#seenAt.size + 1
  }

  #hearsHalf (others: number, now: number): boolean {
    const isHeard = Math.abs(now - this.#heardAt) <= maximumSilenceMilliseconds && now - this.#heardSince >= settlingMilliseconds
    return isHeard && 2 * (others + 1) >= this.known
  }
}
