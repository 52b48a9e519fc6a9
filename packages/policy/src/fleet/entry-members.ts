/**
 * Members that clients are told to connect to. Loads: a few requests a second for each of a large number of instances (one with more
 * capacity answers sooner, and one with more requests answers each with less work than one that seldom has any), and instances that
 * are cut off from targets.
 */

/** A member that clients can connect to. */
export interface EntryCandidate {
  readonly zone: string
  /** Processor capacity in thousandths of a core. */
  readonly capacity: number
  /** Whether it is cut off from targets; left out if it is not. */
  readonly isDetached?: boolean
}

/** Least capacity of a preferred member, as a share of the greatest capacity of all. */
const preferredCapacityShare = 0.5
/** Preferred members that an availability zone must have; with fewer, the load of a lost one would be too much for the others. */
const minimumPreferredMembers = 3
/** Members that an availability zone must have to be enough for its clients; with fewer, those of other zones are told too. */
const minimumZoneMembers = 2

/**
 * Returns the members for clients in an availability zone: the preferred ones there, else all there, else those of all zones. Leaves out
 * members that are cut off from targets, unless all are.
 */
export function selectEntryMembers<T extends EntryCandidate> (members: readonly T[], zone: string): readonly T[] {
  const attached = members.filter(({ isDetached }) => isDetached !== true)
  const ready = attached.length > 0 ? attached : members
  const inZone = ready.filter(member => member.zone === zone)
  if (inZone.length < minimumZoneMembers) {
    return ready
  }
  const greatest = ready.reduce((most, { capacity }) => Math.max(most, capacity), 0)
  const preferred = inZone.filter(({ capacity }) => capacity >= greatest * preferredCapacityShare)
  return preferred.length < minimumPreferredMembers ? inZone : preferred
}
