/** What a holder lets itself do while a target's owner is out of reach. */

/** Part of an even share that is used, since the owner may be granting permits to others. */
const conservativePart = 0.5

/** Counts requests sent without an owner's permit. */
export class LocalAllowance {
  readonly #used = new Map<string, number>()

  /**
   * Takes a place at a target if there is one.
   *
   * @param concurrency requests that the target runs at once
   * @param holders processes that may send to it
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

  /** Gives a place back. */
  giveBack (target: string): void {
    const used = (this.#used.get(target) ?? 0) - 1
    if (used <= 0) {
      this.#used.delete(target)
    } else {
      this.#used.set(target, used)
    }
  }
}
