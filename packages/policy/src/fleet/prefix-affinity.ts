/** Prefix-cache affinity: which target probably caches which prompt prefix, learned from grants. */

/** Maximum number of remembered prefixes, which bounds memory to a few hundred kilobytes. */
const maximumPrefixes = 4_096

/** Least recently used cache: maps a request's most specific shared prefix to the target that was last granted a request with it. */
export class PrefixAffinity {
  readonly #targets = new Map<string, string>()

  /** Records that a request with these prefixes was granted a slot on the target. */
  recordGrant (prefix: readonly string[], target: string): void {
    const key = prefix.at(-1)
    if (key === undefined) {
      return
    }
    this.#targets.delete(key)
    this.#targets.set(key, target)
    if (this.#targets.size > maximumPrefixes) {
      const oldest = this.#targets.keys().next().value
      if (oldest !== undefined) {
        this.#targets.delete(oldest)
      }
    }
  }

  /** Returns the target that probably caches the request's most specific shared prefix, or undefined if none is known to. */
  targetOf (prefix: readonly string[]): string | undefined {
    const key = prefix.at(-1)
    return key === undefined ? undefined : this.#targets.get(key)
  }

  /** Drops all prefixes of a target that has lost its cache. */
  removeTarget (target: string): void {
    for (const [key, cachingTarget] of this.#targets) {
      if (cachingTarget === target) {
        this.#targets.delete(key)
      }
    }
  }
}
