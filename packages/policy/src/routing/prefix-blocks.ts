/** Division of prompts into blocks, the units of the engines' prefix caches. */
import { chainHash } from '../util/hash.js'

/** Number of characters in a block. */
export const charactersPerBlock = 64

/** Estimated number of characters in a token. */
export const charactersPerToken = 4

/** Maximum number of blocks hashed; the rest of a longer prompt does not affect routing. */
const maximumBlocks = 256

/** Returns the hashes of the prompt's complete blocks; each hash covers the prompt up to the end of its block. */
export function prefixBlocks (prompt: string): readonly string[] {
  const blocks: string[] = []
  let previous = ''
  const count = Math.min(maximumBlocks, Math.floor(prompt.length / charactersPerBlock))
  for (let index = 0; index < count; index++) {
    const text = prompt.slice(index * charactersPerBlock, (index + 1) * charactersPerBlock)
    previous = chainHash(previous, text)
    blocks.push(previous)
  }
  return blocks
}

/** Estimates the number of tokens in a text. */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / charactersPerToken))
}
