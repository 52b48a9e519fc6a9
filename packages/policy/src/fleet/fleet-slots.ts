/** Bookkeeping of a fleet's targets and of the slots granted on them. */
import { WorkClass } from '@arbutusloft/protocol'
import type { FleetTarget, HeldSlot } from './fleet-messages.js'
import { PreemptibleSlots } from './preemptible-slots.js'

/** A granted slot. */
export interface GrantedSlot {
  readonly permit: string
  readonly holder: string
  readonly target: string
  /** `ip:port` of the target; empty if the slot is known from a report of its holder. */
  readonly address: string
  /** As in {@link FleetTarget}, at the time of the grant or of the first report. */
  readonly born: number
  readonly workClass: WorkClass
  /** Client account that the slot was granted to; undefined where the deployment has none. */
  readonly account?: string | undefined
  /** As in {@link SlotRequest}; empty if the slot is known from a report of its holder. */
  readonly prefix: readonly string[]
  /** As in {@link SlotRequest}; empty if the slot is known from a report of its holder. */
  readonly digest: string
  /** Batch: deadline of the item, in milliseconds since the epoch. */
  readonly due: number
  /** Batch: milliseconds for which the item had run before the grant. */
  readonly ran: number
  /** Batch: time of the item's first grant, in milliseconds since the epoch. */
  readonly startedAt: number
  /** Time in milliseconds since the epoch. */
  readonly grantedAt: number
  /** Availability zone of the holder; omitted as the following ones are. */
  readonly zone?: string
  /** Slots of the target that were in use then, this one included; omitted if the slot is known from a report of its holder. */
  readonly slotsInUse?: number
  /** Whether the target probably had the prompt's beginning cached; omitted as the others are. */
  readonly isPrefixCached?: boolean
  /** Whether the owner has revoked the slot; it counts as free from then on. */
  revoked: boolean
}

/** A target with the number of its granted slots. */
export interface TargetSlots {
  readonly id: string
  address: string
  zone: string
  slots: number
  /** As in {@link FleetTarget}, and the following ones too. */
  born: number
  softwareVersion: string
  leaving: boolean
  accepting: boolean
  /** Number of granted slots, without revoked ones. */
  granted: number
  /** Number of slots granted to online work. */
  online: number
}

/** What a holder's report has changed. */
export interface SlotReportResult {
  /** Reported permits that were revoked before. */
  readonly revoked: readonly string[]
  /** Slots that the report lacks, which are free now. */
  readonly dropped: readonly GrantedSlot[]
  /** Reported slots that were unknown. */
  readonly adopted: readonly HeldSlot[]
}

/** Receives each target whose zone, slots or granted slots have changed; one that was removed is no longer accepting. */
export type TargetListener = (target: TargetSlots) => void

/**
 * Milliseconds after a grant within which a holder's report may not contain it yet, since the grant or the report is in
 * transit: a few round trips.
 */
const grantTransitMilliseconds = 400

/** Numbers of listed targets of a software version. */
interface VersionCounts {
  accepting: number
  /** Targets that are not about to go for good, whether they accept work or not. */
  staying: number
}

/** Keeps track of targets and granted slots; {@link FleetAdmission} makes the decisions. */
export class FleetSlots {
  readonly #targets = new Map<string, TargetSlots>()
  readonly #granted = new Map<string, GrantedSlot>()
  readonly #permitsByHolder = new Map<string, Set<string>>()
  /** Numbers of granted slots by client account, without revoked ones. */
  readonly #heldByAccount = new Map<string, number>()
  readonly #versions = new Map<string, VersionCounts>()
  /** Slots in use by availability zone of their holders. */
  readonly #inUseByZone = new Map<string, number>()
  readonly preemptible = new PreemptibleSlots()

  constructor (private readonly listener: TargetListener) {}

  /** Replaces the list of targets. Slots of removed targets stay recorded until they are released. */
  setTargets (targets: readonly FleetTarget[]): void {
    const present = new Set(targets.map(target => target.id))
    for (const listed of targets) {
      const { id, address, zone, slots, born, softwareVersion, leaving, accepting } = listed
      const known = this.#targets.get(id)
      const target = known ?? { ...listed, granted: 0, online: 0 }
      Object.assign(target, { address, zone, slots, born, softwareVersion, leaving, accepting })
      this.#targets.set(id, target)
      if (known === undefined) {
        this.#countGranted(target)
      }
      this.preemptible.setVersion(id, accepting ? softwareVersion : null)
      this.listener(target)
    }
    for (const [id, target] of this.#targets) {
      if (!present.has(id)) {
        this.#targets.delete(id)
        target.accepting = false
        this.preemptible.setVersion(id, null)
        this.listener(target)
      }
    }
    this.#countVersions()
  }

  /** Software versions of the listed targets. */
  get versions (): ReadonlySet<string> {
    return new Set(this.#versions.keys())
  }

  /** Slots in use by availability zone of their holders, as far as that is known. */
  get inUseByZone (): ReadonlyMap<string, number> {
    return this.#inUseByZone
  }

  /** Returns the number of accepting targets of a software version. */
  acceptingOf (version: string): number {
    return this.#versions.get(version)?.accepting ?? 0
  }

  /** Returns the number of listed targets of a software version that are not about to go for good; null for all targets. */
  stayingOf (version: string | null): number {
    if (version !== null) {
      return this.#versions.get(version)?.staying ?? 0
    }
    return [...this.#versions.values()].reduce((sum, { staying }) => sum + staying, 0)
  }

  target (id: string): TargetSlots | undefined {
    return this.#targets.get(id)
  }

  /** Returns the granted slot of a permit, or undefined if the permit is unknown. */
  get (permit: string): GrantedSlot | undefined {
    return this.#granted.get(permit)
  }

  /** Returns the number of slots that a holder was granted between two times, in milliseconds since the epoch, and still has. */
  countGranted (holder: string, from: number, to: number): number {
    let count = 0
    for (const permit of this.#permitsByHolder.get(holder) ?? []) {
      const slot = this.#granted.get(permit)
      count += slot !== undefined && !slot.revoked && slot.grantedAt >= from && slot.grantedAt <= to ? 1 : 0
    }
    return count
  }

  /** Returns the number of slots that a client account was granted and still has, without revoked ones. */
  heldBy (account: string): number {
    return this.#heldByAccount.get(account) ?? 0
  }

  /** Records a granted slot in place of one that the permit had; its target may have been removed from the list. */
  recordGrant (slot: GrantedSlot): void {
    this.release(slot.permit)
    this.#granted.set(slot.permit, slot)
    this.#permitsByHolder.set(slot.holder, (this.#permitsByHolder.get(slot.holder) ?? new Set()).add(slot.permit))
    if (slot.workClass === WorkClass.Batch) {
      this.preemptible.add(slot)
    }
    this.#adjustCounts(slot, 1)
  }

  /** Releases the slot of a permit and returns it, or undefined if the permit is unknown. */
  release (permit: string): GrantedSlot | undefined {
    const slot = this.#granted.get(permit)
    if (slot !== undefined) {
      this.#granted.delete(permit)
      this.#forgetHolder(slot)
      this.preemptible.delete(slot)
      this.#adjustCounts(slot, -1)
    }
    return slot
  }

  /**
   * Replaces what is known of a holder's slots by its report, but keeps slots granted so recently that the report may not
   * contain them yet, unless the holder is gone.
   */
  synchronize (holder: string, held: readonly HeldSlot[], now: number, isGone = false): SlotReportResult {
    const reported = new Set(held.map(slot => slot.permit))
    const dropped: GrantedSlot[] = []
    for (const permit of [...this.#permitsByHolder.get(holder) ?? []]) {
      const slot = this.#granted.get(permit)
      if (slot !== undefined && !reported.has(permit) && (isGone || now - slot.grantedAt > grantTransitMilliseconds)) {
        this.release(permit)
        dropped.push(slot)
      }
    }
    const revoked: string[] = []
    const adopted: HeldSlot[] = []
    for (const slot of held) {
      const { permit, target, workClass, due, ran, account } = slot
      const known = this.#granted.get(permit)
      if (known === undefined) {
        adopted.push(slot)
        this.recordGrant({ permit, holder, target, address: '', born: this.#targets.get(target)?.born ?? 0, workClass, account, prefix: [], digest: '', due, ran, startedAt: now - ran, grantedAt: now, revoked: false })
      } else if (known.revoked) {
        revoked.push(permit)
      }
    }
    return { revoked, dropped, adopted }
  }

  /** Marks a slot as revoked, so that it no longer counts as granted. */
  revoke (slot: GrantedSlot): void {
    this.preemptible.delete(slot)
    this.#adjustCounts(slot, -1)
    slot.revoked = true
  }

  /** Returns the number of slots granted to each class of work, and of all slots of accepting targets. */
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

  #countVersions (): void {
    this.#versions.clear()
    for (const { softwareVersion, accepting, leaving } of this.#targets.values()) {
      const counts = this.#versions.get(softwareVersion) ?? { accepting: 0, staying: 0 }
      counts.accepting += accepting ? 1 : 0
      counts.staying += leaving ? 0 : 1
      this.#versions.set(softwareVersion, counts)
    }
  }

  #forgetHolder ({ holder, permit }: GrantedSlot): void {
    const permits = this.#permitsByHolder.get(holder)
    permits?.delete(permit)
    if (permits?.size === 0) {
      this.#permitsByHolder.delete(holder)
    }
  }

  #countGranted (target: TargetSlots): void {
    for (const slot of this.#granted.values()) {
      if (slot.target === target.id && !slot.revoked) {
        target.granted += 1
        target.online += slot.workClass === WorkClass.Online ? 1 : 0
      }
    }
  }

  #adjustCounts (slot: GrantedSlot, change: number): void {
    if (slot.revoked) {
      return
    }
    if (slot.account !== undefined) {
      const held = this.heldBy(slot.account) + change
      if (held > 0) {
        this.#heldByAccount.set(slot.account, held)
      } else {
        this.#heldByAccount.delete(slot.account)
      }
    }
    if (slot.zone !== undefined) {
      this.#inUseByZone.set(slot.zone, (this.#inUseByZone.get(slot.zone) ?? 0) + change)
    }
    const target = this.#targets.get(slot.target)
    if (target === undefined) {
      return
    }
    target.granted += change
    target.online += slot.workClass === WorkClass.Online ? change : 0
    this.listener(target)
  }
}
