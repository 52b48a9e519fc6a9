/** Deterministic answers of the engine stand-in. */
import { createHash } from 'node:crypto'

const words = [
  'almond', 'berry', 'caramel', 'dulce', 'eleven', 'fitting', 'ganache', 'hemline', 'icing', 'jasmine',
  'kiwi', 'layer', 'mocha', 'noon', 'orange', 'pearl', 'quince', 'ribbon', 'sponge', 'tailor',
  'umber', 'vanilla', 'walnut', 'yellow', 'zest', 'morning', 'velvet', 'saffron', 'linen', 'coral'
] as const

const minimumAnswerTokens = 16
const answerTokensRange = 48

/** Answer that depends on the prompt only, so that every engine generates the same one. */
export class AnswerText {
  readonly #digest: Buffer

  constructor (prompt: string) {
    this.#digest = createHash('sha256').update(prompt).digest()
  }

  /** Length of the answer in tokens if neither the request nor the options limit it. */
  get defaultTokens (): number {
    return minimumAnswerTokens + this.#digest.readUInt16BE(0) % answerTokensRange
  }

  /** Returns the text of the token at an index. */
  token (index: number): string {
    // Hashes prompt and index: reads four bytes of the prompt's digest at offset 0, 4, ... or 24, and adds the index
    // multiplied by the factor of Knuth's multiplicative hash.
    const hash = this.#digest.readUInt32BE(index * 4 % 28) + index * 2_654_435_761
    const word = words[Math.abs(hash) % words.length] ?? words[0]
    return index === 0 ? word : ` ${word}`
  }
}

const charactersPerToken = 4

/** Returns the number of tokens of a prompt, at four characters per token. */
export function countPromptTokens (prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / charactersPerToken))
}
