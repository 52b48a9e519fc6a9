/** Selection of owners by rendezvous hashing: https://en.wikipedia.org/wiki/Rendezvous_hashing */
import { hash32 } from '../util/hash.js'

/** A process that can be an owner. */
export interface OwnerCandidate {
  readonly id: string
  readonly zone: string
}

/**
 * Returns the candidate that owns the key, or null if there are no candidates. Candidates in the given availability zone
 * are preferred. Every process with the same candidates gets the same result.
 */
export function ownerOf<T extends OwnerCandidate> (
  key: string,
  candidates: readonly T[],
  zone: string | null
): T | null {
  return ownersOf(key, preferZone(candidates, zone), 1)[0] ?? null
}

/** Returns the `count` candidates with the highest scores for the key, best first; all candidates if there are fewer. */
export function ownersOf<T extends Pick<OwnerCandidate, 'id'>> (key: string, candidates: readonly T[], count: number): readonly T[] {
  const scored = candidates.map(candidate => ({ candidate, score: hash32(`${candidate.id}\n${key}`) }))
  scored.sort((left, right) => right.score - left.score || (left.candidate.id < right.candidate.id ? -1 : 1))
  return scored.slice(0, count).map(({ candidate }) => candidate)
}

function preferZone<T extends OwnerCandidate> (candidates: readonly T[], zone: string | null): readonly T[] {
  const nearby = zone === null ? [] : candidates.filter(candidate => candidate.zone === zone)
  return nearby.length > 0 ? nearby : candidates
}
