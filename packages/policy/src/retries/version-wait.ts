/**
 * When an item whose events only targets of one software version can follow begins anew. Load: changes of versions, in which few
 * targets of the version are left and these are taken, while those of another version are free.
 */
import { RefusalReason } from '../fleet/fleet-messages.js'
import { WaitCause } from '../fleet/wait-cause.js'

/** How a request for a slot ended without one. */
export interface VainWait {
  readonly reason: RefusalReason
  /** Why the request waited, if its holder withdrew it; null if its owner rejected it. */
  readonly cause: WaitCause | null
  /** Milliseconds from the request to its end. */
  readonly waited: number
}

/** Causes of waits that may end sooner with targets of another version. */
const causesOfVersion: ReadonlySet<WaitCause> = new Set([
  WaitCause.VersionTaken,
  // The owner is of a build that does not tell causes, or out of reach: the version may be taken.
  WaitCause.Unknown
])

/** Adds up the waits of one item since its last slot. */
export class VersionWait {
  #milliseconds = 0

  /** @param minimumMilliseconds time for which an item waits for its version at least, however short it has run */
  constructor (private readonly minimumMilliseconds: number) {}

  /** Milliseconds for which beginning anew would have helped, or may have. */
  get milliseconds (): number {
    return this.#milliseconds
  }

  /**
   * Records a wait of an item that has events. Returns why the item begins anew, or null if it keeps its events: they are given up only if
   * no target can go on with them, or if targets of other versions could have written them again meanwhile.
   *
   * @param ran milliseconds for which the item has run
   */
  record ({ reason, cause, waited }: VainWait, ran: number): RefusalReason | WaitCause | null {
    if (cause === null) {
      return reason === RefusalReason.VersionGone || reason === RefusalReason.VersionUnknown ? reason : null
    }
    if (!causesOfVersion.has(cause)) {
      return null
    }
    this.#milliseconds += waited
    return this.#milliseconds < Math.max(ran, this.minimumMilliseconds) ? null : cause
  }

  /** The item has a slot, or begins anew. */
  reset (): void {
    this.#milliseconds = 0
  }
}
