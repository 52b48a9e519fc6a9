/** Division of prompts into blocks that engines cache. */
import { chainHash } from '../util/hash.js'

/** Characters that make up one block. */
export const blockCharacters = 64

/** Estimated characters of one token. */
export const charactersPerToken = 4

const greatestBlocks = 256

/** Hashes of the prompt's whole blocks; each hash covers the prompt up to the block's end. */
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

/** Estimated tokens of a text. */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / charactersPerToken))
}
