/** Prefix cache of the engine stand-in: blocks of prompt prefixes whose key-value state is kept. */
import { prefixBlocks } from '@arbutusloft/policy'

// Must equal the block size of prefixBlocks(): 64 characters, at four characters per token.
const tokensPerBlock = 16

/** Least-recently-used cache of prefix blocks. */
export class PrefixCache {
  readonly #blocks = new Set<string>()

  /**
   * @param capacity maximum number of cached blocks
   * @param onChange called with the blocks that were stored (`true`) or evicted (`false`)
   */
  constructor (
    private readonly capacity: number,
    private readonly onChange: (stored: boolean, blocks: readonly string[]) => void
  ) {}

  /** Returns the number of prompt tokens found in the cache, then stores the prompt's blocks as most recently used. */
  matchAndStore (prompt: string): number {
    const blocks = prefixBlocks(prompt)
    const firstMissing = blocks.findIndex(block => !this.#blocks.has(block))
    const cachedBlocks = firstMissing === -1 ? blocks.length : firstMissing
    this.#store(blocks, blocks.slice(cachedBlocks))
    return cachedBlocks * tokensPerBlock
  }

  #store (blocks: readonly string[], newBlocks: readonly string[]): void {
    for (const block of blocks) {
      this.#blocks.delete(block)
      this.#blocks.add(block)
    }
    if (newBlocks.length > 0) {
      this.onChange(true, newBlocks)
    }
    const evicted: string[] = []
    for (const block of this.#blocks) {
      if (this.#blocks.size <= this.capacity) {
        break
      }
      this.#blocks.delete(block)
      evicted.push(block)
    }
    if (evicted.length > 0) {
      this.onChange(false, evicted)
    }
  }
}
