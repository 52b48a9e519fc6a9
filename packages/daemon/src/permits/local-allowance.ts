/** The concurrency limit that a process applies by itself while the scheduler that owns a target is unreachable. */

/** Fraction of an even share that may be used, since the unreachable owner may still grant permits to other processes. */
const conservativePart = 0.5

/** Counts and limits the requests sent without a permit of the target's owner. */
export class LocalAllowance {
  readonly #used = new Map<string, number>()

  /**
   * Takes a slot of the target and returns whether one was free. At least one slot is always available.
   *
   * @param concurrency requests that the target runs at once
   * @param holders number of processes that may send requests to the target
   */
  tryTake (target: string, concurrency: number, holders: number): boolean {
    const limit = Math.max(1, Math.floor(concurrency * conservativePart / Math.max(1, holders)))
    const used = this.#used.get(target) ?? 0
    if (used >= limit) {
      return false
    }
    this.#used.set(target, used + 1)
    return true
  }

  /** Releases a slot of the target. */
  giveBack (target: string): void {
    const used = (this.#used.get(target) ?? 0) - 1
    if (used <= 0) {
      this.#used.delete(target)
    } else {
      this.#used.set(target, used)
    }
  }
}
