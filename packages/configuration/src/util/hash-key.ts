/** Hashes of API keys, so that lists and settings files contain no keys. */
import { createHash, timingSafeEqual } from 'node:crypto'

const hashPrefix = 'sha256:'

/** Matches the hashes that {@link hashKey} returns. */
export const keyHashPattern = /^sha256:[0-9a-f]{64}$/

/** Returns the hash of a key as written in lists and settings. Keys are expected to be random, so no salt is needed. */
export function hashKey (key: string): string {
  return hashPrefix + createHash('sha256').update(key).digest('hex')
}

/** Compares two hashes in constant time, so that the duration does not reveal where they differ. */
export function isSameHash (left: string, right: string): boolean {
  const leftBytes = Buffer.from(left)
  const rightBytes = Buffer.from(right)
  return leftBytes.byteLength === rightBytes.byteLength && timingSafeEqual(leftBytes, rightBytes)
}
