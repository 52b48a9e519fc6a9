/** Which slots of a fleet are taken, by whom, and which targets take work. */
import { WorkClass } from '@arbutusloft/protocol'
import type { FleetTarget, HeldSlot } from './fleet-messages.js'

/** A slot that is taken. */
export interface TakenSlot {
  readonly permit: string
  readonly holder: string
  readonly target: string
  readonly workClass: WorkClass
  /** Batch: time at which the item is due. */
  readonly due: number
  readonly grantedAt: number
  /** Whether the holder was told to stop. */
  revoked: boolean
}

/** A target with what runs on it. */
export interface TargetSlots {
  readonly id: string
  zone: string
  slots: number
  accepting: boolean
  /** Slots taken, without those that were revoked. */
  taken: number
  online: number
}

/** What holders have told of a target since it last answered one of them. */
interface Evidence {
  /** Failures to reach the target, by holder. */
  readonly unreachable: Map<string, { count: number, until: number }>
  /** Answers in a row that broke off. */
  breaks: number
  /** Time until which nobody uses the target. */
  suspendedUntil: number
  suspensions: number
}

/**
 * Milliseconds within which a grant may be on its way to its holder, so that the holder's
 * report does not name it yet: a few round trips.
 */
const grantTransitMilliseconds = 400

/** Holders that must have failed before a target is suspended for all: one alone may itself be cut off. */
const witnesses = 2
/** Answers in a row that must have broken off before a target is suspended. */
const greatestBreaks = 3

/** Bookkeeping only; the choice is made by the admission. */
export class FleetSlots {
  readonly #targets = new Map<string, TargetSlots>()
  readonly #taken = new Map<string, TakenSlot>()
  readonly #evidence = new Map<string, Evidence>()

  /** Replaces the list of targets; what runs on a target that is gone stays counted until released. */
  setTargets (targets: readonly FleetTarget[]): void {
    const present = new Set(targets.map(target => target.id))
    for (const { id, zone, slots, accepting } of targets) {
      const known = this.#targets.get(id)
      if (known === undefined) {
        this.#add(id, zone, slots, accepting)
      } else {
        Object.assign(known, { zone, slots, accepting })
      }
    }
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) {
        this.#targets.delete(id)
        this.#evidence.delete(id)
      }
    }
  }

  get (permit: string): TakenSlot | undefined {
    return this.#taken.get(permit)
  }

  take (slot: TakenSlot): void {
    this.#taken.set(slot.permit, slot)
    this.#count(slot, 1)
  }

  release (permit: string): TakenSlot | undefined {
    const slot = this.#taken.get(permit)
    if (slot !== undefined) {
      this.#taken.delete(permit)
      this.#count(slot, -1)
    }
    return slot
  }

  /** Takes over a holder's report; returns its permits that were revoked before. */
  synchronize (holder: string, held: readonly HeldSlot[], now: number): readonly string[] {
    const reported = new Set(held.map(slot => slot.permit))
    for (const slot of [...this.#taken.values()]) {
      if (slot.holder === holder && !reported.has(slot.permit) && now - slot.grantedAt > grantTransitMilliseconds) {
        this.release(slot.permit)
      }
    }
    const revoked: string[] = []
    for (const { permit, target, workClass, due } of held) {
      const known = this.#taken.get(permit)
      if (known === undefined) {
        this.take({ permit, holder, target, workClass, due, grantedAt: now, revoked: false })
      } else if (known.revoked) {
        revoked.push(permit)
      }
    }
    return revoked
  }

  /** Targets that the holder may use and that fulfil the condition. */
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

  /** Slots of batch work on these targets that were not revoked. */
  batchOn (targets: ReadonlyMap<string, unknown>): readonly TakenSlot[] {
    return [...this.#taken.values()].filter(slot => slot.workClass === WorkClass.Batch && !slot.revoked && targets.has(slot.target))
  }

  /** Notes that the holder of a slot was told to stop: the slot no longer counts as taken. */
  revoke (slot: TakenSlot): void {
    this.#count(slot, -1)
    slot.revoked = true
  }

  /** Slots of targets that take work. */
  usable (now: number): number {
    return this.candidates(now, null, [], () => true).reduce((sum, target) => sum + target.slots, 0)
  }

  /** Free slots of targets that take work. */
  free (now: number): number {
    return this.candidates(now, null, [], () => true)
      .reduce((sum, target) => sum + Math.max(0, target.slots - target.taken), 0)
  }

  /** A holder could not reach the target: it uses it no more for a while, and with a second witness nobody does. */
  onUnreachable (target: string, holder: string, now: number, base: number, longest: number): void {
    const evidence = this.#evidenceOf(target)
    const known = evidence.unreachable.get(holder)
    // What was sent before the first failure was known tells nothing new.
    if (known !== undefined && known.until > now) {
      return
    }
    const count = (known?.count ?? 0) + 1
    evidence.unreachable.set(holder, { count, until: now + Math.min(longest, base * 2 ** (count - 1)) })
    if (evidence.unreachable.size >= witnesses) {
      this.#suspend(evidence, now, base, longest)
    }
  }

  /** An answer of the target broke off. */
  onBroken (target: string, now: number, base: number, longest: number): void {
    const evidence = this.#evidenceOf(target)
    evidence.breaks += 1
    if (evidence.breaks >= greatestBreaks) {
      this.#suspend(evidence, now, base, longest)
    }
  }

  /** A target has answered. */
  onAnswered (target: string): void {
    this.#evidence.delete(target)
  }

  load (): { readonly online: number, readonly batch: number, readonly slots: number } {
    let online = 0
    let batch = 0
    let slots = 0
    for (const target of this.#targets.values()) {
      online += target.online
      batch += target.taken - target.online
      slots += target.accepting ? target.slots : 0
    }
    return { online, batch, slots }
  }

  #isSuspended (target: string, holder: string | null, now: number): boolean {
    const evidence = this.#evidence.get(target)
    if (evidence === undefined) {
      return false
    }
    const own = holder === null ? undefined : evidence.unreachable.get(holder)
    return evidence.suspendedUntil > now || (own !== undefined && own.until > now)
  }

  #suspend (evidence: Evidence, now: number, base: number, longest: number): void {
    if (evidence.suspendedUntil <= now) {
      evidence.suspendedUntil = now + Math.min(longest, base * 2 ** evidence.suspensions)
      evidence.suspensions += 1
    }
  }

  #evidenceOf (target: string): Evidence {
    const known = this.#evidence.get(target)
    if (known !== undefined) {
      return known
    }
    const evidence = { unreachable: new Map(), breaks: 0, suspendedUntil: 0, suspensions: 0 }
    this.#evidence.set(target, evidence)
    return evidence
  }

  #add (id: string, zone: string, slots: number, accepting: boolean): void {
    const target = { id, zone, slots, accepting, taken: 0, online: 0 }
    this.#targets.set(id, target)
    for (const slot of this.#taken.values()) {
      if (slot.target === id) {
        this.#count(slot, 1)
      }
    }
  }

  #count (slot: TakenSlot, change: number): void {
    const target = this.#targets.get(slot.target)
    if (target === undefined || slot.revoked) {
      return
    }
    target.taken += change
    target.online += slot.workClass === WorkClass.Online ? change : 0
  }
}
