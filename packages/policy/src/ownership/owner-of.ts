/** Choice of an owner by rendezvous hashing: https://en.wikipedia.org/wiki/Rendezvous_hashing */
import { hash32 } from '../util/hash.js'

/** A process that can own things. */
export interface OwnerCandidate {
  readonly id: string
  readonly zone: string
}

/**
 * The candidate that owns the key, preferring those in the given availability zone;
 * null without candidates. Every process with the same candidates picks the same one.
 */
export function ownerOf<T extends OwnerCandidate> (
  key: string,
  candidates: readonly T[],
  zone: string | null
): T | null {
  const nearby = zone === null ? [] : candidates.filter(candidate => candidate.zone === zone)
  const eligible = nearby.length > 0 ? nearby : candidates
  let best: T | null = null
  let bestScore = -1
  for (const candidate of eligible) {
    const score = hash32(`${candidate.id}\n${key}`)
    if (score > bestScore || (score === bestScore && best !== null && candidate.id < best.id)) {
      best = candidate
      bestScore = score
    }
  }
  return best
}
