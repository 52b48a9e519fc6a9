/**
 * Accepting targets by software version, availability zone, speed and the number of their granted slots, so that the best one is found
 * without a scan of all.
 */
import type { TargetSlots } from './fleet-slots.js'

/** Accepting targets of one version, availability zone and speed that have free slots: the set at index n holds those with n granted slots. */
type ZoneBuckets = Array<Set<TargetSlots>>

interface Position {
  readonly version: string
  readonly zone: string
  readonly speedClass: number
  readonly granted: number
  /** Slots that the target adds to the total, and free ones. */
  readonly slots: number
  readonly free: number
}

interface VersionGroup {
  /** By availability zone and speed class. */
  readonly zones: Map<string, Map<number, ZoneBuckets>>
  /** Number of free slots. */
  free: number
}

/** Keeps targets in order of their load. */
export class TargetIndex {
  readonly #groups = new Map<string, VersionGroup>()
  readonly #positions = new Map<TargetSlots, Position>()
  /** Slots by availability zone. */
  readonly #slotsByZone = new Map<string, number>()
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

  /** Slots of the targets in the index by availability zone. */
  get slotsByZone (): ReadonlyMap<string, number> {
    return this.#slotsByZone
  }

  /** Returns the number of free slots of the targets of a software version, or of all targets for null. */
  freeOf (version: string | null): number {
    return version === null ? this.#free : this.#groups.get(version)?.free ?? 0
  }

  /**
   * Adds a target, or moves it after a change of its software version, zone, speed, slots or granted slots.
   *
   * @param speedClass number that targets of about the same speed share
   */
  place (target: TargetSlots, speedClass = 0): void {
    this.remove(target)
    const { softwareVersion: version, zone, granted, slots } = target
    const position = { version, zone, speedClass, granted, slots, free: Math.max(0, slots - granted) }
    this.#positions.set(target, position)
    this.#free += position.free
    this.#slots += position.slots
    this.#slotsByZone.set(zone, (this.#slotsByZone.get(zone) ?? 0) + position.slots)
    const group = this.#groupOf(version)
    group.free += position.free
    if (position.free > 0) {
      bucketOf(group, position).add(target)
    }
  }

  remove (target: TargetSlots): void {
    const position = this.#positions.get(target)
    if (position !== undefined) {
      this.#positions.delete(target)
      this.#free -= position.free
      this.#slots -= position.slots
      this.#slotsByZone.set(position.zone, (this.#slotsByZone.get(position.zone) ?? 0) - position.slots)
      const group = this.#groupOf(position.version)
      group.free -= position.free
      bucketOf(group, position).delete(target)
    }
  }

  /** Drops the empty groups of software versions that are not in the set. */
  retainVersions (versions: ReadonlySet<string>): void {
    for (const version of this.#groups.keys()) {
      if (!versions.has(version)) {
        this.#groups.delete(version)
      }
    }
  }

  /** Targets in the index. */
  get targets (): Iterable<TargetSlots> {
    return this.#positions.keys()
  }

  /**
   * Returns the targets with a free slot that have the fewest granted ones, of each speed class: the best of the given zone, then the best of all others.
   *
   * @param version software version of the targets, or null for all
   */
  leastLoaded (zone: string, version: string | null, condition: (target: TargetSlots) => boolean): readonly TargetSlots[] {
    const own = new Map<number, TargetSlots>()
    const other = new Map<number, TargetSlots>()
    for (const group of this.#groupsOf(version)) {
      for (const [name, classes] of group.zones) {
        const best = name === zone ? own : other
        for (const [speedClass, buckets] of classes) {
          const found = lessLoaded(best.get(speedClass) ?? null, firstOf(buckets, condition))
          if (found !== null) {
            best.set(speedClass, found)
          }
        }
      }
    }
    return [...own.values(), ...other.values()]
  }

  /** Whether a target of an availability zone has a free slot. */
  hasFreeIn (zone: string): boolean {
    for (const { zones } of this.#groups.values()) {
      for (const buckets of zones.get(zone)?.values() ?? []) {
        if (buckets.some(bucket => bucket.size > 0)) {
          return true
        }
      }
    }
    return false
  }

  #groupsOf (version: string | null): Iterable<VersionGroup> {
    if (version === null) {
      return this.#groups.values()
    }
    const group = this.#groups.get(version)
    return group === undefined ? [] : [group]
  }

  #groupOf (version: string): VersionGroup {
    const known = this.#groups.get(version)
    if (known !== undefined) {
      return known
    }
    const group = { zones: new Map<string, Map<number, ZoneBuckets>>(), free: 0 }
    this.#groups.set(version, group)
    return group
  }
}

function bucketOf ({ zones }: VersionGroup, { zone, speedClass, granted }: Position): Set<TargetSlots> {
  const classes = zones.get(zone) ?? new Map<number, ZoneBuckets>()
  zones.set(zone, classes)
  const buckets = classes.get(speedClass) ?? []
  classes.set(speedClass, buckets)
  while (buckets.length <= granted) {
    buckets.push(new Set())
  }
  return buckets[granted] as Set<TargetSlots>
}

/** Returns the target with fewer granted slots, the left one if both have as many. */
function lessLoaded (left: TargetSlots | null, right: TargetSlots | null): TargetSlots | null {
  return left === null || (right !== null && right.granted < left.granted) ? right : left
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
