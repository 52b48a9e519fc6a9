/** Prefix-cache affinity: which target probably caches which prompt prefix, learned from grants. */

/** Maximum number of remembered prefixes, which bounds memory to a few hundred kilobytes. */
const capacity = 4_096

/** Least recently used map from a request's most specific shared prefix to the target that last read it. */
export class PrefixHomes {
  readonly #homes = new Map<string, string>()

  /** Records that a request with these prefixes was granted a slot on the target. */
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

  /** Returns the fraction of the request's prefix, from 0 to 1, that each target probably caches. */
  find (prefix: readonly string[]): ReadonlyMap<string, number> {
    const key = prefix.at(-1)
    const target = key === undefined ? undefined : this.#homes.get(key)
    return target === undefined ? new Map() : new Map([[target, 1]])
  }

  /** Drops all prefixes of a target that has lost its cache. */
  forget (target: string): void {
    for (const [key, home] of this.#homes) {
      if (home === target) {
        this.#homes.delete(key)
      }
    }
  }
}
