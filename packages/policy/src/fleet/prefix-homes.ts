/** Which targets probably keep which prompt parts, from the admission's own grants. */

/** Grants after which the oldest entries are dropped; bounds memory to a few hundred kilobytes. */
const capacity = 4_096

/** Least recently used map from the most specific shared part to the target that last read it. */
export class PrefixHomes {
  readonly #homes = new Map<string, string>()

  /** A request with these parts was sent to the target. */
  remember (prefix: readonly string[], target: string): void {
    const key = prefix.at(-1)
    if (key === undefined) {
      return
    }
    this.#homes.delete(key)
    this.#homes.set(key, target)
    if (this.#homes.size > capacity) {
      const oldest = this.#homes.keys().next().value
      if (oldest !== undefined) {
        this.#homes.delete(oldest)
      }
    }
  }

  /** Share of the prefix, from 0 to 1, that each target probably keeps. */
  find (prefix: readonly string[]): ReadonlyMap<string, number> {
    const key = prefix.at(-1)
    const target = key === undefined ? undefined : this.#homes.get(key)
    return target === undefined ? new Map() : new Map([[target, 1]])
  }

  /** A target has lost its memory. */
  forget (target: string): void {
    for (const [key, home] of this.#homes) {
      if (home === target) {
        this.#homes.delete(key)
      }
    }
  }
}
