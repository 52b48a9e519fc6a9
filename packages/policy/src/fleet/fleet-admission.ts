/** Admission to all targets of a service: who may send what where, decided by one owner. */
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind } from '../admission/decision.js'
import { MovingAverage } from '../util/moving-average.js'
import { FailureShares } from './failure-shares.js'
import { PrefixHomes } from './prefix-homes.js'
import type { FleetTarget, HeldSlot, SlotDecision, SlotGrant, SlotRequest } from './fleet-messages.js'
import { FleetSlots } from './fleet-slots.js'
import type { TakenSlot, TargetSlots } from './fleet-slots.js'

/** Options of {@link FleetAdmission}. */
export interface FleetAdmissionOptions {
  /** Slots of the whole fleet that batch work leaves free for the next online requests. */
  readonly headroom: number
  /** Milliseconds for which a target that failed gets no new work, doubled with each failure in a row. */
  readonly suspensionMilliseconds: number
  /** Longest suspension, in milliseconds. */
  readonly longestSuspensionMilliseconds: number
}

export const defaultFleetAdmissionOptions: FleetAdmissionOptions = {
  headroom: 2,
  suspensionMilliseconds: 300,
  longestSuspensionMilliseconds: 2_000
}

/** How a request ended, as its holder tells the owner. */
export const SlotOutcome = {
  Finished: 'finished',
  /** The target could not be reached, or stayed silent. */
  Unreachable: 'unreachable',
  /** The target broke its answer off, or gave none that can be read. */
  Broken: 'broken',
  /** The target answered that it failed. */
  Failed: 'failed',
  /** The target refused the request as full. */
  Full: 'full'
} as const
export type SlotOutcome = typeof SlotOutcome[keyof typeof SlotOutcome]

interface Waiting {
  readonly request: SlotRequest
  readonly since: number
}

/**
 * Times the patience for which a request is kept at all. A late answer is worth less than one in
 * time, but more than none: it gets the slots that no request in time asks for.
 */
const latePatience = 5
const initialHoldMilliseconds = 650
const holdWeight = 0.1

/** Milliseconds within which items count as equally urgent when one has to give way: a tenth of what the users allow a job. */
const similarDueMilliseconds = 2_000
/** Weight of a kept prompt prefix against one busy slot when a target is chosen. */
const prefixWeight = 1.5
/** Weight of the holder's own availability zone against one busy slot. */
const zoneWeight = 1
/** Weight of a target that fails all requests against one busy slot: more than the slots of a usual target. */
const failureWeight = 10
/** Share of failures that counts as chance: one failure among several answers. */
const toleratedFailures = 0.25

/** Soft state: lost with its owner, and rebuilt from what holders report. */
export class FleetAdmission {
  readonly #slots = new FleetSlots()
  readonly #homes = new PrefixHomes()
  readonly #failures = new FailureShares()
  readonly #hold = new MovingAverage(initialHoldMilliseconds, holdWeight)
  #online: Waiting[] = []
  #batch = new Map<string, Waiting>()
  #batchHeldUntil = 0

  constructor (private readonly options = defaultFleetAdmissionOptions) {}

  /** Replaces the list of targets. */
  setTargets (targets: readonly FleetTarget[], now: number): readonly SlotDecision[] {
    this.#slots.setTargets(targets)
    this.#failures.keepOnly(new Set(targets.map(target => target.id)))
    return this.#fill(now)
  }

  /** Decides on a request: at once, or later when a slot comes free. */
  request (request: SlotRequest, now: number): readonly SlotDecision[] {
    const held = this.#slots.get(request.permit)
    if (held !== undefined) {
      return [{ kind: DecisionKind.Grant, permit: request.permit, holder: request.holder, target: held.target }]
    }
    return request.workClass === WorkClass.Online
      ? this.#requestOnline(request, now)
      : this.#requestBatch(request, now)
  }

  /** Takes a slot back from its holder. Unknown permits were released before. */
  release (permit: string, outcome: SlotOutcome, now: number): readonly SlotDecision[] {
    this.withdraw(permit)
    const held = this.#slots.release(permit)
    if (held === undefined) {
      return []
    }
    this.#observe(held.target, held.holder, outcome, now)
    if (held.workClass === WorkClass.Online && outcome === SlotOutcome.Finished) {
      this.#hold.add(Math.max(0, now - held.grantedAt))
    }
    return this.#fill(now)
  }

  /** The holder no longer waits. */
  withdraw (permit: string): void {
    this.#online = this.#online.filter(({ request }) => request.permit !== permit)
    this.#batch.delete(permit)
  }

  /** A holder reports all permits that it has; those it no longer has come free. */
  synchronize (holder: string, held: readonly HeldSlot[], now: number): readonly SlotDecision[] {
    const revoked = this.#slots.synchronize(holder, held, now)
    return [
      ...revoked.map(permit => ({ kind: DecisionKind.Revoke, permit, holder })),
      ...this.#fill(now)
    ]
  }

  /** A holder is gone: its requests and permits go with it. */
  dropHolder (holder: string, now: number): readonly SlotDecision[] {
    this.#online = this.#online.filter(({ request }) => request.holder !== holder)
    for (const [permit, { request }] of this.#batch) {
      if (request.holder === holder) {
        this.#batch.delete(permit)
      }
    }
    return this.synchronize(holder, [], now)
  }

  /**
   * Grants no batch work until then. A new owner does not know yet what its predecessor granted:
   * online work that meets it waits for a moment, but batch work would fill every slot twice.
   */
  holdBatchUntil (time: number): void {
    this.#batchHeldUntil = Math.max(this.#batchHeldUntil, time)
  }

  /** Refuses those that have waited for too long, and fills slots whose suspension has ended. */
  tick (now: number): readonly SlotDecision[] {
    const expired = this.#online.filter(({ request, since }) => now - since > request.patience * latePatience)
    if (expired.length > 0) {
      this.#online = this.#online.filter(waiting => !expired.includes(waiting))
    }
    return [...expired.map(({ request }) => this.#refuse(request, now)), ...this.#fill(now)]
  }

  /** Requests that wait, and slots that are taken, by class of work. */
  load (): { readonly online: number, readonly batch: number, readonly waiting: number, readonly slots: number } {
    return { ...this.#slots.load(), waiting: this.#online.length }
  }

  #requestOnline (request: SlotRequest, now: number): readonly SlotDecision[] {
    const granted = this.#grantOnline(request, now)
    if (granted.length > 0) {
      return granted
    }
    if (this.#online.some(waiting => waiting.request.permit === request.permit)) {
      return []
    }
    if (this.#expectedWait(now) > request.patience) {
      return [this.#refuse(request, now)]
    }
    this.#online.push({ request, since: now })
    return []
  }

  #requestBatch (request: SlotRequest, now: number): readonly SlotDecision[] {
    if (!this.#batch.has(request.permit)) {
      this.#batch.set(request.permit, { request, since: now })
    }
    return this.#fill(now)
  }

  // The grant does not wait until the revoked stream has stopped: the target may queue one
  // request for that moment, and the online caller does not pay for a round trip.
  #grantOnline (request: SlotRequest, now: number): readonly SlotDecision[] {
    const free = this.#candidates(now, request, target => target.taken < target.slots)
    const chosen = this.#best(free, request, now)
    if (chosen !== null) {
      return [this.#grant(request, chosen, now)]
    }
    const yielding = this.#candidates(now, request, target => target.online < target.slots)
    const victim = this.#leastUrgent(yielding, request, now)
    if (victim === null) {
      return []
    }
    this.#slots.revoke(victim)
    const grant = this.#grant(request, victim.target, now)
    return [grant, { kind: DecisionKind.Revoke, permit: victim.permit, holder: victim.holder }]
  }

  /**
   * The batch slot that gives way. What an item has received is kept, so it loses its place and
   * little else: the items with the most time left give way, whichever was granted last. Load:
   * bursts of online requests that take all slots of batch work several times before it is due.
   */
  #leastUrgent (targets: readonly TargetSlots[], request: SlotRequest, now: number): TakenSlot | null {
    const scores = this.#scores(targets, request, now)
    const slots = this.#slots.batchOn(scores)
    const latest = slots.reduce((due, slot) => Math.max(due, slot.due), -Infinity)
    let victim: TakenSlot | null = null
    let victimScore = -Infinity
    for (const slot of slots) {
      const score = scores.get(slot.target) ?? -Infinity
      const isBetter = score > victimScore || (score === victimScore && slot.grantedAt >= (victim?.grantedAt ?? 0))
      if (slot.due > latest - similarDueMilliseconds && isBetter) {
        victim = slot
        victimScore = score
      }
    }
    return victim
  }

  #grant (request: SlotRequest, target: string, now: number): SlotGrant {
    const { permit, holder, workClass, due } = request
    this.#slots.take({ permit, holder, target, workClass, due, grantedAt: now, revoked: false })
    this.#homes.remember(request.prefix, target)
    return { kind: DecisionKind.Grant, permit, holder, target }
  }

  #fill (now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = []
    const waiting = this.#online
    this.#online = []
    for (const entry of inTimeFirst(waiting, now)) {
      const granted = this.#grantOnline(entry.request, now)
      decisions.push(...granted)
      if (granted.length === 0) {
        this.#online.push(entry)
      }
    }
    if (this.#online.length === 0 && this.#batch.size > 0 && now >= this.#batchHeldUntil) {
      this.#fillBatch(now, decisions)
    }
    return decisions
  }

  #fillBatch (now: number, decisions: SlotDecision[]): void {
    const ordered = [...this.#batch.values()].sort((left, right) => left.request.due - right.request.due)
    for (const { request } of ordered) {
      const free = this.#candidates(now, request, target => target.taken < target.slots)
      if (this.#slots.free(now) <= this.options.headroom) {
        return
      }
      const target = this.#best(free, request, now)
      if (target !== null) {
        this.#batch.delete(request.permit)
        decisions.push(this.#grant(request, target, now))
      }
    }
  }

  #best (candidates: readonly TargetSlots[], request: SlotRequest, now: number): string | null {
    let best: string | null = null
    let bestScore = -Infinity
    for (const [id, score] of this.#scores(candidates, request, now)) {
      if (score > bestScore) {
        best = id
        bestScore = score
      }
    }
    return best
  }

  /** How well each target suits the request, in busy slots; greater is better. */
  #scores (candidates: readonly TargetSlots[], request: SlotRequest, now: number): ReadonlyMap<string, number> {
    const home = this.#homes.find(request.prefix)
    return new Map(candidates.map(candidate => {
      const prefix = home.get(candidate.id) ?? 0
      const zone = candidate.zone === request.zone ? zoneWeight : 0
      const failures = Math.max(0, this.#failures.of(candidate.id, now) - toleratedFailures) * failureWeight
      return [candidate.id, prefix * prefixWeight + zone - failures - candidate.taken]
    }))
  }

  // A batch item waits for as long as it takes: better the same target again than none.
  #candidates (now: number, request: SlotRequest, condition: (target: TargetSlots) => boolean): readonly TargetSlots[] {
    const { holder, excluded, workClass } = request
    const others = this.#slots.candidates(now, holder, excluded, condition)
    if (others.length > 0 || workClass === WorkClass.Online || excluded.length === 0) {
      return others
    }
    const anyOther = this.#slots.candidates(now, holder, excluded, () => true).length > 0
    return anyOther ? others : this.#slots.candidates(now, holder, [], condition)
  }

  #observe (target: string, holder: string, outcome: SlotOutcome, now: number): void {
    const { suspensionMilliseconds, longestSuspensionMilliseconds } = this.options
    switch (outcome) {
      case SlotOutcome.Finished:
      case SlotOutcome.Failed:
        this.#failures.add(target, outcome === SlotOutcome.Failed, now)
        this.#slots.onAnswered(target)
        return
      case SlotOutcome.Full:
        // Somebody else's requests fill it: they are gone, or known, after a while.
        this.#slots.onUnreachable(target, holder, now, suspensionMilliseconds, suspensionMilliseconds)
        return
      case SlotOutcome.Unreachable:
        this.#slots.onUnreachable(target, holder, now, suspensionMilliseconds, longestSuspensionMilliseconds)
        this.#homes.forget(target)
        return
      case SlotOutcome.Broken:
        this.#slots.onBroken(target, now, suspensionMilliseconds, longestSuspensionMilliseconds)
    }
  }

  #refuse (request: SlotRequest, now: number): SlotDecision {
    const retryAfter = Math.max(1, Math.ceil(this.#expectedWait(now)))
    return { kind: DecisionKind.Refuse, permit: request.permit, holder: request.holder, retryAfter }
  }

  /** Milliseconds until the next request in line would get a slot. */
  #expectedWait (now: number): number {
    const slots = this.#slots.usable(now)
    if (slots === 0) {
      return this.#hold.value
    }
    const inTime = this.#online.filter(waiting => !isLate(waiting, now)).length
    return (inTime + 1) * this.#hold.value / slots
  }
}

function isLate ({ request, since }: Waiting, now: number): boolean {
  return now - since > request.patience
}

function inTimeFirst (waiting: readonly Waiting[], now: number): readonly Waiting[] {
  const late = waiting.filter(entry => isLate(entry, now))
  return late.length === 0 ? waiting : [...waiting.filter(entry => !isLate(entry, now)), ...late]
}
