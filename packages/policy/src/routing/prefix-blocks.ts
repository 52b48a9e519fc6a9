/** Division of prompts into blocks, the units of the engines' prefix caches. */
import { chainHash } from '../util/hash.js'

/** Number of characters in a block. */
export const blockCharacters = 64

/** Estimated number of characters in a token. */
export const charactersPerToken = 4

const greatestBlocks = 256

/** Returns the hashes of the prompt's complete blocks; each hash covers the prompt up to the end of its block. */
export function prefixBlocks (prompt: string): readonly string[] {
  const blocks: string[] = []
  let previous = ''
  const count = Math.min(greatestBlocks, Math.floor(prompt.length / blockCharacters))
  for (let index = 0; index < count; index++) {
    const text = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters)
    previous = chainHash(previous, text)
    blocks.push(previous)
  }
  return blocks
}

/** Estimates the number of tokens in a text. */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / charactersPerToken))
}
