/** Index of the prompt blocks that each target probably caches. */

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Maximum number of blocks recorded for each target; the least recently used are dropped first. */
  readonly blocksPerTarget: number
}

export const defaultPrefixIndex: PrefixIndexOptions = {
  blocksPerTarget: 4_096
}

/** Updated at once by this process's own requests, and corrected by the targets' cache events. */
export class PrefixIndex {
  readonly #blocks = new Map<string, Set<string>>()

  constructor (private readonly options = defaultPrefixIndex) {}

  /** Records blocks that were sent to a target or that the target reports as stored. */
  add (target: string, blocks: readonly string[]): void {
    let known = this.#blocks.get(target)
    if (known === undefined) {
      known = new Set()
      this.#blocks.set(target, known)
    }
    for (const block of blocks) {
      // Sets iterate in insertion order, so inserting a block again marks it as recently used.
      known.delete(block)
      known.add(block)
    }
    trim(known, this.options.blocksPerTarget)
  }

  /** Removes blocks that the target reports as evicted. */
  remove (target: string, blocks: readonly string[]): void {
    const known = this.#blocks.get(target)
    for (const block of blocks) {
      known?.delete(block)
    }
  }

  /** Returns the number of leading blocks of the prompt that the target probably caches. */
  match (target: string, blocks: readonly string[]): number {
    const known = this.#blocks.get(target)
    if (known === undefined) {
      return 0
    }
    const miss = blocks.findIndex(block => !known.has(block))
    return miss === -1 ? blocks.length : miss
  }
}

function trim (known: Set<string>, limit: number): void {
  for (const block of known) {
    if (known.size <= limit) {
      return
    }
    known.delete(block)
  }
}
