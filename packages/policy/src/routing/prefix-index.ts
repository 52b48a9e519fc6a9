/** Index of the prompt blocks that each target probably caches. */

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Maximum number of blocks recorded for each target; the least recently used are dropped first. */
  readonly blocksPerTarget: number
}

export const defaultPrefixIndexOptions: PrefixIndexOptions = {
  blocksPerTarget: 4_096
}

/**
 * Tracks the blocks that each target probably caches. This process's requests update it at once; cache events of the
 * targets correct it.
 */
export class PrefixIndex {
  readonly #blocks = new Map<string, Set<string>>()

  constructor (private readonly options = defaultPrefixIndexOptions) {}

  /** Records blocks that were sent to a target or that the target reports as stored. */
  add (target: string, blocks: readonly string[]): void {
    let cached = this.#blocks.get(target)
    if (cached === undefined) {
      cached = new Set()
      this.#blocks.set(target, cached)
    }
    for (const block of blocks) {
      // Sets iterate in insertion order, so inserting a block again marks it as recently used.
      cached.delete(block)
      cached.add(block)
    }
    evictOldest(cached, this.options.blocksPerTarget)
  }

  /** Removes blocks that the target reports as evicted. */
  remove (target: string, blocks: readonly string[]): void {
    const cached = this.#blocks.get(target)
    for (const block of blocks) {
      cached?.delete(block)
    }
  }

  /** Returns the number of leading blocks of the prompt that the target probably caches. */
  match (target: string, blocks: readonly string[]): number {
    const cached = this.#blocks.get(target)
    if (cached === undefined) {
      return 0
    }
    const firstMiss = blocks.findIndex(block => !cached.has(block))
    return firstMiss === -1 ? blocks.length : firstMiss
  }
}

function evictOldest (cached: Set<string>, limit: number): void {
  for (const block of cached) {
    if (cached.size <= limit) {
      return
    }
    cached.delete(block)
  }
}
