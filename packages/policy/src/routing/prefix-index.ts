/** Which target's cache holds which prompt blocks, as far as is known. */

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Blocks remembered for each target; the least recently used go first. */
  readonly blocksPerTarget: number
}

export const defaultPrefixIndex: PrefixIndexOptions = {
  blocksPerTarget: 4_096
}

/** Fed by own dispatches at once, and corrected by the targets' cache events. */
export class PrefixIndex {
  readonly #blocks = new Map<string, Set<string>>()

  constructor (private readonly options = defaultPrefixIndex) {}

  /** A prompt was sent to a target, or the target reports its blocks as stored. */
  add (target: string, blocks: readonly string[]): void {
    let known = this.#blocks.get(target)
    if (known === undefined) {
      known = new Set()
      this.#blocks.set(target, known)
    }
    for (const block of blocks) {
      // Sets iterate in the order of insertion, so inserting anew marks as recently used.
      known.delete(block)
      known.add(block)
    }
    trim(known, this.options.blocksPerTarget)
  }

  /** The target reports blocks as evicted. */
  remove (target: string, blocks: readonly string[]): void {
    const known = this.#blocks.get(target)
    for (const block of blocks) {
      known?.delete(block)
    }
  }

  /** Number of leading blocks of the prompt that the target is thought to hold. */
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
