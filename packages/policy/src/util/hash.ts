/** Hashes of texts. */
import xxhash from 'xxhash-wasm'

const { h32, h64 } = await xxhash()

/** Returns the 32-bit hash of a text. */
export function hash32 (text: string): number {
  return h32(text)
}

/** Returns the 64-bit hash of a text and a previous hash, in hexadecimal. */
export function chainHash (previous: string, text: string): string {
  return h64(previous + '\n' + text).toString(16)
}

/** Returns the 64-bit hash of a text, in hexadecimal. */
export function hash64 (text: string): string {
  return h64(text).toString(16)
}
