/** How many instances this one sees, and how many it has seen lately: an instance that is cut off from others learns from it how large its group is. */
import type { AllowanceGroup } from '@arbutusloft/policy'
import { MemberState } from '../peers/member.js'
import type { Member } from '../peers/member.js'

/** Time for which an instance that is no longer seen counts as known. */
const knownMilliseconds = 10_000
/** The same while this instance sees no other one: all others are more probably out of its reach than lost. */
const isolatedKnownMilliseconds = 60_000
/** Interval at which the members that are seen are recorded; a group is asked for with each request. */
const recordMilliseconds = 500

/** Remembers the addresses of members. */
export class KnownInstances {
  readonly #seenAt = new Map<string, number>()
  #latest: readonly Member[] = []
  #recordedAt = -Infinity
  #group: AllowanceGroup = { seen: 1, known: 1 }

  /** @param live members that are not suspected, this one included; a list stands for the same members as long as it is the same object */
  groupOf (live: readonly Member[], now: number): AllowanceGroup {
    if (live === this.#latest && now - this.#recordedAt < recordMilliseconds) {
      return this.#group
    }
    this.#recordedAt = now
    if (live !== this.#latest) {
      const addresses = new Set(live.map(({ address }) => address))
      for (const { address, state } of this.#latest) {
        if (!addresses.has(address) && state === MemberState.Draining) {
          // It said that it leaves, so it grants nothing elsewhere.
          this.#seenAt.delete(address)
        } else {
          this.#seenAt.set(address, now)
        }
      }
      this.#latest = live
    }
    if (this.#group.seen === 1 && live.length > 1) {
      // Others become visible one by one.
      for (const address of this.#seenAt.keys()) {
        this.#seenAt.set(address, now)
      }
    }
    live.forEach(({ address }) => this.#seenAt.set(address, now))
    const retention = live.length === 1 ? isolatedKnownMilliseconds : knownMilliseconds
    for (const [address, seenAt] of this.#seenAt) {
      if (now - seenAt > retention) {
        this.#seenAt.delete(address)
      }
    }
    this.#group = { seen: live.length, known: this.#seenAt.size }
    return this.#group
  }
}
