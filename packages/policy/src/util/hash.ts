/** Hashing of keys. */
import xxhash from 'xxhash-wasm'

const { h32, h64 } = await xxhash()

/** A 32-bit hash of a text. */
export function hash32 (text: string): number {
  return h32(text)
}

/** A 64-bit hash of a text, chained to a previous hash, in hexadecimal. */
export function chainHash (previous: string, text: string): string {
  return h64(previous + '\n' + text).toString(16)
}
