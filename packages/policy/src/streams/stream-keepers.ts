/** Selection of the processes that keep copies of a stream's origin, by rendezvous hashing: https://en.wikipedia.org/wiki/Rendezvous_hashing */
import { hash32 } from '../util/hash.js'

/** Number of addresses from which the remembered hashes are dropped; more than a fleet has. */
const maximumHashes = 4_096

/** Ranks processes for attempts. It hashes each address once: a choice among 400 processes would else take 0.4 ms, and each stream needs one. */
export class StreamKeepers {
  readonly #hashes = new Map<string, number>()

  /** Returns the `count` addresses with the highest scores for an attempt, best first; all addresses if there are fewer. */
  of (attempt: string, addresses: readonly string[], count: number): readonly string[] {
    const attemptHash = hash32(attempt)
    const best: Array<{ readonly address: string, readonly score: number }> = []
    for (const address of addresses) {
      const score = mix(attemptHash, this.#hashOf(address))
      const isBetter = (other: { readonly address: string, readonly score: number }): boolean => score > other.score || (score === other.score && address < other.address)
      const index = best.findIndex(isBetter)
      if (index >= 0 || best.length < count) {
        best.splice(index < 0 ? best.length : index, 0, { address, score })
        best.length = Math.min(best.length, count)
      }
    }
    return best.map(({ address }) => address)
  }

  #hashOf (address: string): number {
    const known = this.#hashes.get(address)
    if (known !== undefined) {
      return known
    }
    if (this.#hashes.size >= maximumHashes) {
      this.#hashes.clear()
    }
    const hash = hash32(address)
    this.#hashes.set(address, hash)
    return hash
  }
}

/** Mixes two hashes into a third: the finalizer of MurmurHash3, https://github.com/aappleby/smhasher/blob/master/src/MurmurHash3.cpp */
function mix (left: number, right: number): number {
  let hash = left ^ Math.imul(right, 0x9e3779b1)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
