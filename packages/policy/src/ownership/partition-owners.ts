/** Division of partitions among members by weighted rendezvous hashing: https://en.wikipedia.org/wiki/Rendezvous_hashing */
import { hash32 } from '../util/hash.js'

/** A member that may own partitions. */
export interface PartitionOwnerCandidate {
  readonly address: string
  /** Share of the partitions that it gets, relative to the others; above 0. */
  readonly capacity: number
}

const hashRange = 2 ** 32

/**
 * Returns the owner of each partition, or null for all if there are no candidates. A candidate that leaves gives up only
 * its own partitions, and one that joins takes only the ones that it gets.
 */
export function partitionOwners<T extends PartitionOwnerCandidate> (candidates: readonly T[], partitions: number): ReadonlyArray<T | null> {
  const hashed = candidates.map(candidate => ({ candidate, hash: hash32(candidate.address) }))
  return Array.from({ length: partitions }, (_, partition) => {
    let best: T | null = null
    let bestScore = -Infinity
    for (const { candidate, hash } of hashed) {
      // The logarithm of a uniform number, divided by the weight, makes each candidate win in proportion to its weight.
      const score = Math.log((mix(hash, partition) + 0.5) / hashRange) / candidate.capacity
      if (score > bestScore || (score === bestScore && best !== null && candidate.address < best.address)) {
        best = candidate
        bestScore = score
      }
    }
    return best
  })
}

/** Combines two integers to one that is uniform in 32 bits (the finalizer of MurmurHash3), much faster than hashing texts. */
function mix (left: number, right: number): number {
  let value = left ^ Math.imul(right + 1, 0x9e3779b1)
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
