/** The concurrency limit that a process applies by itself while the scheduler that owns a target is unreachable. */

/** Fraction of an even share that may be used, since the unreachable owner may still grant permits to other processes. */
const usableFraction = 0.5

/** Counts and limits the requests sent without a permit of the target's owner. */
export class LocalConcurrencyLimit {
  readonly #inFlight = new Map<string, number>()

  /**
   * Takes a slot of the target and returns whether one was free. At least one slot is always available.
   *
   * @param concurrency requests that the target runs at once
   * @param entries number of live entries; only they send requests without a permit of the owner, batch processes never do
   */
  tryAcquire (target: string, concurrency: number, entries: number): boolean {
    const limit = Math.max(1, Math.floor(concurrency * usableFraction / Math.max(1, entries)))
    const inFlight = this.#inFlight.get(target) ?? 0
    if (inFlight >= limit) {
      return false
    }
    this.#inFlight.set(target, inFlight + 1)
    return true
  }

  /** Releases a slot of the target. */
  release (target: string): void {
    const remaining = (this.#inFlight.get(target) ?? 0) - 1
    if (remaining <= 0) {
      this.#inFlight.delete(target)
    } else {
      this.#inFlight.set(target, remaining)
    }
  }
}
