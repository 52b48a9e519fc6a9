/** The engine's cache of prompt prefixes. */
import { prefixBlocks } from '@arbutusloft/policy'

const tokensPerBlock = 16

/** Least recently used blocks go first. */
export class PrefixCache {
  readonly #blocks = new Set<string>()

  /**
   * @param capacity blocks that are held
   * @param onChange called with blocks that were stored or evicted
   */
  constructor (
    private readonly capacity: number,
    private readonly onChange: (stored: boolean, blocks: readonly string[]) => void
  ) {}

  /** Tokens of the prompt that need not be computed; the prompt's blocks are held afterwards. */
  use (prompt: string): number {
    const blocks = prefixBlocks(prompt)
    const miss = blocks.findIndex(block => !this.#blocks.has(block))
    const held = miss === -1 ? blocks.length : miss
    this.#store(blocks, blocks.slice(held))
    return held * tokensPerBlock
  }

  #store (blocks: readonly string[], fresh: readonly string[]): void {
    for (const block of blocks) {
      this.#blocks.delete(block)
      this.#blocks.add(block)
    }
    if (fresh.length > 0) {
      this.onChange(true, fresh)
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
