/** Accepting targets by availability zone and by the number of their granted slots, so that the best one is found without a scan of all. */
import type { TargetSlots } from './fleet-slots.js'

/** Accepting targets of one availability zone that have free slots: the set at index n holds those with n granted slots. */
type ZoneBuckets = Array<Set<TargetSlots>>

interface Position {
  readonly zone: string
  readonly granted: number
  /** Slots that the target adds to the total, and free ones. */
  readonly slots: number
  readonly free: number
}

/** Keeps targets in order of their load. */
export class TargetIndex {
  readonly #zones = new Map<string, ZoneBuckets>()
  readonly #positions = new Map<TargetSlots, Position>()
  #free = 0
  #slots = 0

  /** Number of free slots of all targets in the index. */
  get free (): number {
    return this.#free
  }

  /** Number of slots of all targets in the index. */
  get slots (): number {
    return this.#slots
  }

  /** Number of targets in the index. */
  get size (): number {
    return this.#positions.size
  }

  has (target: TargetSlots): boolean {
    return this.#positions.has(target)
  }

  /** Adds a target, or moves it after a change of its zone, slots or granted slots. */
  place (target: TargetSlots): void {
    this.remove(target)
    const position = { zone: target.zone, granted: target.granted, slots: target.slots, free: Math.max(0, target.slots - target.granted) }
    this.#positions.set(target, position)
    this.#free += position.free
    this.#slots += position.slots
    if (position.free > 0) {
      this.#bucketOf(position).add(target)
    }
  }

  remove (target: TargetSlots): void {
    const position = this.#positions.get(target)
    if (position !== undefined) {
      this.#positions.delete(target)
      this.#free -= position.free
      this.#slots -= position.slots
      this.#bucketOf(position).delete(target)
    }
  }

  /** Returns the targets with a free slot that have the fewest granted ones: the best of the given zone, and the best of all others. */
  leastLoaded (zone: string, condition: (target: TargetSlots) => boolean): readonly TargetSlots[] {
    const best: TargetSlots[] = []
    let other: TargetSlots | null = null
    for (const [name, buckets] of this.#zones) {
      const found = firstOf(buckets, condition)
      if (found !== null && name === zone) {
        best.push(found)
      } else if (found !== null && (other === null || found.granted < other.granted)) {
        other = found
      }
    }
    return other === null ? best : [...best, other]
  }

  #bucketOf ({ zone, granted }: Position): Set<TargetSlots> {
    const buckets = this.#zones.get(zone) ?? []
    this.#zones.set(zone, buckets)
    while (buckets.length <= granted) {
      buckets.push(new Set())
    }
    return buckets[granted] as Set<TargetSlots>
  }
}

function firstOf (buckets: ZoneBuckets, condition: (target: TargetSlots) => boolean): TargetSlots | null {
  for (const bucket of buckets) {
    for (const target of bucket) {
      if (condition(target)) {
        return target
      }
    }
  }
  return null
}
