/** Bookkeeping of a fleet's slots and of the targets that accept work. */
import { WorkClass } from '@arbutusloft/protocol'
import type { FleetTarget, HeldSlot } from './fleet-messages.js'

/** A granted slot. */
export interface GrantedSlot {
  readonly permit: string
  readonly holder: string
  readonly target: string
  readonly workClass: WorkClass
  /** Batch: deadline of the item, in milliseconds since the epoch. */
  readonly due: number
  /** Time in milliseconds since the epoch. */
  readonly grantedAt: number
  /** Whether the owner has revoked the slot; it counts as free from then on. */
  revoked: boolean
}

/** A target with the number of its granted slots. */
export interface TargetSlots {
  readonly id: string
  zone: string
  slots: number
  accepting: boolean
  /** Number of granted slots, without revoked ones. */
  granted: number
  /** Number of slots granted to online work. */
  online: number
}

/** Failures of a target that holders have reported since it last answered a request. */
interface TargetFailures {
  /**
   * By holder: the number of consecutive failures to reach the target, and the end (`until`) of the resulting suspension in
   * milliseconds since the epoch.
   */
  readonly unreachableByHolder: Map<string, { count: number, until: number }>
  /** Number of consecutive interrupted or unparsable answers. */
  consecutiveBrokenAnswers: number
  /** Time until which no holder uses the target, in milliseconds since the epoch. */
  suspendedUntil: number
  /** Number of suspensions for all holders, which determines the length of the next one. */
  suspensionCount: number
}

/**
 * Milliseconds after a grant within which a holder's report may not contain it yet, since the grant or the report is in
 * transit: a few round trips.
 */
const grantTransitMilliseconds = 400

/** Number of holders that must fail to reach a target before it is suspended for all: a single holder may be cut off itself. */
const minimumUnreachableHolders = 2
/** Number of consecutive broken answers after which a target is suspended for all holders. */
const minimumBrokenAnswers = 3

/** Keeps track of slots, targets and suspensions; {@link FleetAdmission} makes the decisions. */
export class FleetSlots {
  readonly #targets = new Map<string, TargetSlots>()
  readonly #granted = new Map<string, GrantedSlot>()
  readonly #failures = new Map<string, TargetFailures>()

  /** Replaces the list of targets. Slots of removed targets stay recorded until they are released. */
  setTargets (targets: readonly FleetTarget[]): void {
    const present = new Set(targets.map(target => target.id))
    for (const { id, zone, slots, accepting } of targets) {
      const known = this.#targets.get(id)
      if (known === undefined) {
        this.#addTarget(id, zone, slots, accepting)
      } else {
        Object.assign(known, { zone, slots, accepting })
      }
    }
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) {
        this.#targets.delete(id)
        this.#failures.delete(id)
      }
    }
  }

  /** Returns the granted slot of a permit, or undefined if the permit is unknown. */
  get (permit: string): GrantedSlot | undefined {
    return this.#granted.get(permit)
  }

  /** Records a granted slot; its target may have been removed from the list. */
  recordGrant (slot: GrantedSlot): void {
    this.#granted.set(slot.permit, slot)
    this.#adjustCounts(slot, 1)
  }

  /** Releases the slot of a permit and returns it, or undefined if the permit is unknown. */
  release (permit: string): GrantedSlot | undefined {
    const slot = this.#granted.get(permit)
    if (slot !== undefined) {
      this.#granted.delete(permit)
      this.#adjustCounts(slot, -1)
    }
    return slot
  }

  /**
   * Replaces what is known of a holder's slots by its report, but keeps slots granted so recently that the report may not
   * contain them yet. Returns the reported permits that were revoked before.
   */
  synchronize (holder: string, held: readonly HeldSlot[], now: number): readonly string[] {
    const reported = new Set(held.map(slot => slot.permit))
    for (const slot of [...this.#granted.values()]) {
      if (slot.holder === holder && !reported.has(slot.permit) && now - slot.grantedAt > grantTransitMilliseconds) {
        this.release(slot.permit)
      }
    }
    const revoked: string[] = []
    for (const { permit, target, workClass, due } of held) {
      const known = this.#granted.get(permit)
      if (known === undefined) {
        this.recordGrant({ permit, holder, target, workClass, due, grantedAt: now, revoked: false })
      } else if (known.revoked) {
        revoked.push(permit)
      }
    }
    return revoked
  }

  /**
   * Returns the accepting targets that the holder may use and that meet the condition.
   *
   * @param holder null ignores suspensions that apply only to single holders
   */
  candidates (
    now: number,
    holder: string | null,
    excluded: readonly string[],
    condition: (target: TargetSlots) => boolean
  ): readonly TargetSlots[] {
    const found: TargetSlots[] = []
    for (const target of this.#targets.values()) {
      if (target.accepting && condition(target) && !excluded.includes(target.id) && !this.#isSuspended(target.id, holder, now)) {
        found.push(target)
      }
    }
    return found
  }

  /** Returns the batch slots on the given targets that have not been revoked. */
  batchSlotsOn (targets: ReadonlyMap<string, unknown>): readonly GrantedSlot[] {
    return [...this.#granted.values()].filter(slot => slot.workClass === WorkClass.Batch && !slot.revoked && targets.has(slot.target))
  }

  /** Marks a slot as revoked, so that it no longer counts as granted. */
  revoke (slot: GrantedSlot): void {
    this.#adjustCounts(slot, -1)
    slot.revoked = true
  }

  /** Returns the number of slots of targets that accept work and are not suspended for all holders. */
  usableSlots (now: number): number {
    return this.candidates(now, null, [], () => true).reduce((sum, target) => sum + target.slots, 0)
  }

  /** Returns the number of free slots of targets that accept work and are not suspended for all holders. */
  freeSlots (now: number): number {
    return this.candidates(now, null, [], () => true)
      .reduce((sum, target) => sum + Math.max(0, target.slots - target.granted), 0)
  }

  /**
   * Records that a holder could not reach the target. Suspends the target for this holder and, once enough holders have
   * failed to reach it, for all.
   *
   * @param initialSuspensionMilliseconds length of the first suspension
   * @param maximumSuspensionMilliseconds upper bound of the length, which doubles with each further suspension
   */
  onUnreachable (
    target: string,
    holder: string,
    now: number,
    initialSuspensionMilliseconds: number,
    maximumSuspensionMilliseconds: number
  ): void {
    const failures = this.#failuresOf(target)
    const known = failures.unreachableByHolder.get(holder)
    // Failures during the suspension belong to requests that were sent before the first failure was known, and don't count again.
    if (known !== undefined && known.until > now) {
      return
    }
    const count = (known?.count ?? 0) + 1
    failures.unreachableByHolder.set(holder, {
      count,
      until: now + Math.min(maximumSuspensionMilliseconds, initialSuspensionMilliseconds * 2 ** (count - 1))
    })
    if (failures.unreachableByHolder.size >= minimumUnreachableHolders) {
      this.#suspend(failures, now, initialSuspensionMilliseconds, maximumSuspensionMilliseconds)
    }
  }

  /** Records that an answer of the target was interrupted or could not be parsed. */
  onBroken (target: string, now: number, initialSuspensionMilliseconds: number, maximumSuspensionMilliseconds: number): void {
    const failures = this.#failuresOf(target)
    failures.consecutiveBrokenAnswers += 1
    if (failures.consecutiveBrokenAnswers >= minimumBrokenAnswers) {
      this.#suspend(failures, now, initialSuspensionMilliseconds, maximumSuspensionMilliseconds)
    }
  }

  /** Records that a target has answered, which ends its suspensions. */
  onAnswered (target: string): void {
    this.#failures.delete(target)
  }

  /** Returns the number of slots granted to each class of work, and of all slots of accepting targets, suspended ones included. */
  load (): { readonly online: number, readonly batch: number, readonly slots: number } {
    let online = 0
    let batch = 0
    let slots = 0
    for (const target of this.#targets.values()) {
      online += target.online
      batch += target.granted - target.online
      slots += target.accepting ? target.slots : 0
    }
    return { online, batch, slots }
  }

  #isSuspended (target: string, holder: string | null, now: number): boolean {
    const failures = this.#failures.get(target)
    if (failures === undefined) {
      return false
    }
    const own = holder === null ? undefined : failures.unreachableByHolder.get(holder)
    return failures.suspendedUntil > now || (own !== undefined && own.until > now)
  }

  #suspend (failures: TargetFailures, now: number, initialSuspensionMilliseconds: number, maximumSuspensionMilliseconds: number): void {
    if (failures.suspendedUntil <= now) {
      failures.suspendedUntil = now + Math.min(maximumSuspensionMilliseconds, initialSuspensionMilliseconds * 2 ** failures.suspensionCount)
      failures.suspensionCount += 1
    }
  }

  #failuresOf (target: string): TargetFailures {
    const known = this.#failures.get(target)
    if (known !== undefined) {
      return known
    }
    const failures = { unreachableByHolder: new Map(), consecutiveBrokenAnswers: 0, suspendedUntil: 0, suspensionCount: 0 }
    this.#failures.set(target, failures)
    return failures
  }

  #addTarget (id: string, zone: string, slots: number, accepting: boolean): void {
    const target = { id, zone, slots, accepting, granted: 0, online: 0 }
    this.#targets.set(id, target)
    for (const slot of this.#granted.values()) {
      if (slot.target === id) {
        this.#adjustCounts(slot, 1)
      }
    }
  }

  #adjustCounts (slot: GrantedSlot, change: number): void {
    const target = this.#targets.get(slot.target)
    if (target === undefined || slot.revoked) {
      return
    }
    target.granted += change
    target.online += slot.workClass === WorkClass.Online ? change : 0
  }
}
