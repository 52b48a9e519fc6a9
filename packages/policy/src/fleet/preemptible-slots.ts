/**
 * Batch slots in the order in which they may be preempted. Load: bursts of online requests that take all batch slots
 * several times before the items' deadlines; streams that go on at the few targets that are left of their software version.
 */
import { DueSpans } from './due-spans.js'
import type { GrantedSlot } from './fleet-slots.js'

/** Batch slots that have not been revoked, by the deadlines of their items, and those of accepting targets by software version too. */
export class PreemptibleSlots {
  readonly #all = new DueSpans()
  readonly #byVersion = new Map<string, DueSpans>()
  readonly #byTarget = new Map<string, Set<GrantedSlot>>()
  /** Software versions of accepting targets. */
  readonly #versions = new Map<string, string>()

  /** Returns the number of slots, or of those on accepting targets of a software version. */
  countOf (version: string | null): number {
    return this.#spansOf(version)?.count ?? 0
  }

  add (slot: GrantedSlot): void {
    this.#all.add(slot)
    this.#byTarget.set(slot.target, (this.#byTarget.get(slot.target) ?? new Set()).add(slot))
    const version = this.#versions.get(slot.target)
    if (version !== undefined) {
      this.#addToVersion(slot, version)
    }
  }

  delete (slot: GrantedSlot): void {
    this.#all.delete(slot)
    const slots = this.#byTarget.get(slot.target)
    slots?.delete(slot)
    if (slots?.size === 0) {
      this.#byTarget.delete(slot.target)
    }
    const version = this.#versions.get(slot.target)
    if (version !== undefined) {
      this.#deleteFromVersion(slot, version)
    }
  }

  /** Records the software version of a target, whose slots may have been added before; null if the target does not accept work. */
  setVersion (target: string, version: string | null): void {
    const known = this.#versions.get(target)
    if ((known ?? null) === version) {
      return
    }
    const slots = this.#byTarget.get(target) ?? new Set()
    for (const slot of slots) {
      if (known !== undefined) {
        this.#deleteFromVersion(slot, known)
      }
      if (version !== null) {
        this.#addToVersion(slot, version)
      }
    }
    if (version === null) {
      this.#versions.delete(target)
    } else {
      this.#versions.set(target, version)
    }
  }

  /**
   * Returns the slot that suits best: among those of items that cannot be in time any more if there are any, else among those with
   * the latest deadlines. Returns null if none may be preempted.
   *
   * @param version software version of the targets whose slots are considered, or null for all slots
   * @param isLost whether an item cannot be in time any more
   * @param valueOf how well a slot suits; null if it must not be preempted
   */
  select (version: string | null, isLost: (slot: GrantedSlot) => boolean, valueOf: (slot: GrantedSlot) => number | null): GrantedSlot | null {
    return this.#spansOf(version)?.select(isLost, valueOf) ?? null
  }

  #spansOf (version: string | null): DueSpans | undefined {
    return version === null ? this.#all : this.#byVersion.get(version)
  }

  #addToVersion (slot: GrantedSlot, version: string): void {
    const spans = this.#byVersion.get(version) ?? new DueSpans()
    this.#byVersion.set(version, spans)
    spans.add(slot)
  }

  #deleteFromVersion (slot: GrantedSlot, version: string): void {
    const spans = this.#byVersion.get(version)
    spans?.delete(slot)
    if (spans?.count === 0) {
      this.#byVersion.delete(version)
    }
  }
}
