/** Selection of the peers that are asked to relay a connection to a target. */

/** A peer that may relay. */
export interface RelayPeer {
  readonly address: string
  /** Whether it is in this instance's availability zone. */
  readonly isNear: boolean
  /** Whether it stops, and so relays only what ends in time. */
  readonly isStopping: boolean
}

/** Peers that are asked for one connection. */
const maximumPeers = 3
/** Time for which a peer that could not relay is not asked again. */
const avoidanceMilliseconds = 2_000

/** Remembers which peers could not relay. */
export class RelayChoice {
  /** Time until which a peer is avoided, by address, in milliseconds since the epoch; the first to end is first. */
  readonly #avoidedUntil = new Map<string, number>()

  /** Records that a peer could not relay a connection, or lost one. */
  avoid (address: string, now: number): void {
    this.#avoidedUntil.delete(address)
    this.#avoidedUntil.set(address, now + avoidanceMilliseconds)
  }

  /**
   * Returns the addresses of the peers to ask, in order. One of another availability zone is the second at the latest, since the whole zone may
   * be cut off. Peers that stop come after the others. If all of these are to be avoided, the one that has been avoided for longest is asked
   * in the end: its reason may have gone.
   *
   * @param candidates in order of distance, in random order otherwise
   */
  choose (candidates: readonly RelayPeer[], now: number): readonly string[] {
    this.#forget(now)
    const staying = candidates.filter(({ isStopping }) => !isStopping)
    const stopping = candidates.filter(({ isStopping }) => isStopping)
    const usable = this.#usable(staying)
    if (usable.length > 0) {
      return [...distantSecond(usable), ...this.#usable(stopping)].slice(0, maximumPeers).map(({ address }) => address)
    }
    const usableStopping = this.#usable(stopping).slice(0, maximumPeers - 1).map(({ address }) => address)
    return [...usableStopping, ...this.#longestAvoided(staying), ...(usableStopping.length === 0 ? this.#longestAvoided(stopping) : [])]
  }

  #usable (peers: readonly RelayPeer[]): readonly RelayPeer[] {
    return peers.filter(({ address }) => !this.#avoidedUntil.has(address))
  }

  /** Returns the address of the peer that has been avoided for longest, if any is. */
  #longestAvoided (peers: readonly RelayPeer[]): readonly string[] {
    const known = new Set(peers.map(({ address }) => address))
    return [...this.#avoidedUntil.keys()].filter(address => known.has(address)).slice(0, 1)
  }

  #forget (now: number): void {
    for (const [address, until] of this.#avoidedUntil) {
      // A clock that was set back does not extend the time.
      if (now >= until || until - now > avoidanceMilliseconds) {
        this.#avoidedUntil.delete(address)
      }
    }
  }
}

/** Moves the first peer of another availability zone to the second place, unless one is the first. */
function distantSecond (peers: readonly RelayPeer[]): readonly RelayPeer[] {
  const [first, ...others] = peers
  const distant = others.findIndex(({ isNear }) => !isNear)
  const second = others.splice(distant < 0 || first?.isNear === false ? 0 : distant, 1)
  return [...(first === undefined ? [] : [first]), ...second, ...others]
}
