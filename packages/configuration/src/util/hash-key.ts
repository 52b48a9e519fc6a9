/** Hashes of keys, so that no list or settings file holds a key. */
import { createHash, timingSafeEqual } from 'node:crypto'

const scheme = 'sha256:'

/** Pattern of {@link hashKey}'s results. */
export const keyHashPattern = /^sha256:[0-9a-f]{64}$/

/** The hash of a key as it stands in lists and settings. Keys are random, so they need no salt. */
export function hashKey (key: string): string {
  return scheme + createHash('sha256').update(key).digest('hex')
}

/** Whether two hashes are equal, in time that does not depend on where they differ. */
export function isSameHash (left: string, right: string): boolean {
  const leftBytes = Buffer.from(left)
  const rightBytes = Buffer.from(right)
  return leftBytes.byteLength === rightBytes.byteLength && timingSafeEqual(leftBytes, rightBytes)
}
