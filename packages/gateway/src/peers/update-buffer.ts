/** Updates of members that have yet to be passed on. */
import type { MemberUpdate } from './member.js'

/** Number of times that an update is sent along with other messages, after it was sent to some members at once. */
const maximumPiggybacks = 4
/** Updates kept for that; when a whole fleet starts, there are more than can be sent along, and members exchange all that they know instead. */
const maximumKept = 128

/** Keeps the newest update of each member until it has been passed on often enough. */
export class UpdateBuffer {
  readonly #fresh = new Map<string, MemberUpdate>()
  readonly #piggybacked = new Map<string, { readonly update: MemberUpdate, sent: number }>()

  /** Adds an update, which replaces an older one of the same member. */
  add (update: MemberUpdate): void {
    this.#piggybacked.delete(update.address)
    this.#fresh.set(update.address, update)
  }

  /** Removes and returns up to `count` updates that have not been sent yet; they are then piggybacked. */
  takeFresh (count: number): readonly MemberUpdate[] {
    const taken = [...this.#fresh.values()].slice(0, count)
    for (const update of taken) {
      this.#fresh.delete(update.address)
      this.#piggybacked.set(update.address, { update, sent: 0 })
    }
    const superfluous = this.#piggybacked.size - maximumKept
    for (const address of [...this.#piggybacked.keys()].slice(0, Math.max(0, superfluous))) {
      this.#piggybacked.delete(address)
    }
    return taken
  }

  /** Whether there are updates that have not been sent yet. */
  get hasFresh (): boolean {
    return this.#fresh.size > 0
  }

  /** Returns up to `count` updates to send along with another message, the newest first. */
  piggyback (count: number): readonly MemberUpdate[] {
    const chosen: MemberUpdate[] = []
    for (const [address, entry] of [...this.#piggybacked].reverse().slice(0, count)) {
      chosen.push(entry.update)
      entry.sent += 1
      if (entry.sent >= maximumPiggybacks) {
        this.#piggybacked.delete(address)
      }
    }
    return chosen
  }
}
