/** Admission control for all targets of one service: one owner process grants their slots to all holders. */
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind } from '../admission/decision.js'
import { MovingAverage } from '../util/moving-average.js'
import { FailureRates } from './failure-rates.js'
import { PrefixAffinity } from './prefix-affinity.js'
import type { FleetTarget, HeldSlot, SlotDecision, SlotGrant, SlotRequest } from './fleet-messages.js'
import { FleetSlots } from './fleet-slots.js'
import type { GrantedSlot, TargetSlots } from './fleet-slots.js'

/** Options of {@link FleetAdmission}. */
export interface FleetAdmissionOptions {
  /** Slots of the whole fleet that batch work leaves free, so that the next online requests start at once. */
  readonly headroom: number
  /** Initial suspension of a failed target, in milliseconds; doubles with each consecutive failure. */
  readonly initialSuspensionMilliseconds: number
  /** Maximum suspension, in milliseconds. */
  readonly maximumSuspensionMilliseconds: number
}

export const defaultFleetAdmissionOptions: FleetAdmissionOptions = {
  headroom: 2,
  initialSuspensionMilliseconds: 300,
  maximumSuspensionMilliseconds: 2_000
}

/** Outcome of a request, as its holder reports it to the owner when it releases the slot. */
export const SlotOutcome = {
  /** The answer is complete, or its receiver stopped it. */
  Finished: 'finished',
  /** The target could not be reached, or was unresponsive. */
  Unreachable: 'unreachable',
  /** The target's answer was interrupted, or could not be parsed. */
  Broken: 'broken',
  /** The target ran the request and answered that it failed. */
  Failed: 'failed',
  /** The target rejected the request because it was full. */
  Full: 'full'
} as const
export type SlotOutcome = typeof SlotOutcome[keyof typeof SlotOutcome]

interface WaitingRequest {
  readonly request: SlotRequest
  /** Time in milliseconds since the epoch. */
  readonly queuedAt: number
}

/**
 * Multiple of a request's `patience` after which a waiting request is rejected. Up to then a late request stays queued: a
 * late answer is worth less than a timely one but more than none. It gets only slots that no timely request needs.
 */
const maximumWaitFactor = 5
/** Initial value of the moving average of the time for which online requests hold their slots. */
const initialHoldTimeMilliseconds = 650
/** Weight of the newest sample in that average. */
const holdTimeWeight = 0.1

/**
 * Batch items whose deadlines differ by less than this are equally urgent when one must be preempted: a tenth of the
 * 20 s within which batch jobs are to complete.
 */
const similarDeadlineMilliseconds = 2_000
/** Number of busy slots that a probably cached prompt prefix outweighs in a target's score. */
const prefixAffinityWeight = 1.5
/** Number of busy slots that the holder's availability zone outweighs in a target's score. */
const sameZoneWeight = 1
/**
 * Number of busy slots that a failure rate of 1 weighs as much as in a target's score: more than a typical target has, so
 * that such a target is chosen only if all others are full.
 */
const failureRateWeight = 10
/** Failure rate that is attributed to chance and not penalised: one failure among several answers. */
const toleratedFailureRate = 0.25

/**
 * Grants slots of a service's targets to the processes (holders) that send requests to them.
 *
 * The state is soft state: it is lost when the owner fails, and the next owner rebuilds it from the holders' reports.
 */
export class FleetAdmission {
  readonly #slots = new FleetSlots()
  readonly #prefixAffinity = new PrefixAffinity()
  readonly #failureRates = new FailureRates()
  readonly #holdTime = new MovingAverage(initialHoldTimeMilliseconds, holdTimeWeight)
  #waitingOnline: WaitingRequest[] = []
  #waitingBatch = new Map<string, WaitingRequest>()
  #batchBlockedUntil = 0

  constructor (private readonly options = defaultFleetAdmissionOptions) {}

  /** Replaces the list of targets and returns the resulting decisions. */
  setTargets (targets: readonly FleetTarget[], now: number): readonly SlotDecision[] {
    this.#slots.setTargets(targets)
    this.#failureRates.retainTargets(new Set(targets.map(target => target.id)))
    return this.#grantWaiting(now)
  }

  /**
   * Decides on a request. Returns no decision for it if it has to wait; a later call then returns the decision. A repeated
   * request whose slot was granted before gets the same grant again.
   */
  request (request: SlotRequest, now: number): readonly SlotDecision[] {
    const held = this.#slots.get(request.permit)
    if (held !== undefined) {
      return [{ kind: DecisionKind.Grant, permit: request.permit, holder: request.holder, target: held.target }]
    }
    return request.workClass === WorkClass.Online
      ? this.#requestOnline(request, now)
      : this.#requestBatch(request, now)
  }

  /** Releases a slot and returns the resulting decisions. Ignores unknown permits, since they were released before. */
  release (permit: string, outcome: SlotOutcome, now: number): readonly SlotDecision[] {
    this.withdraw(permit)
    const held = this.#slots.release(permit)
    if (held === undefined) {
      return []
    }
    this.#recordOutcome(held.target, held.holder, outcome, now)
    if (held.workClass === WorkClass.Online && outcome === SlotOutcome.Finished) {
      this.#holdTime.add(Math.max(0, now - held.grantedAt))
    }
    return this.#grantWaiting(now)
  }

  /** Removes a waiting request that its holder has given up. */
  withdraw (permit: string): void {
    this.#waitingOnline = this.#waitingOnline.filter(({ request }) => request.permit !== permit)
    this.#waitingBatch.delete(permit)
  }

  /**
   * Replaces what is known of a holder's permits by the holder's report: frees the slots of permits that the report lacks
   * (unless they were granted so recently that it may not contain them yet), takes over permits that were unknown, and
   * revokes again those that were revoked before.
   */
  synchronize (holder: string, held: readonly HeldSlot[], now: number): readonly SlotDecision[] {
    const revoked = this.#slots.synchronize(holder, held, now)
    return [
      ...revoked.map(permit => ({ kind: DecisionKind.Revoke, permit, holder })),
      ...this.#grantWaiting(now)
    ]
  }

  /** Removes a failed holder with its waiting requests, and frees its slots. */
  removeHolder (holder: string, now: number): readonly SlotDecision[] {
    this.#waitingOnline = this.#waitingOnline.filter(({ request }) => request.holder !== holder)
    for (const [permit, { request }] of this.#waitingBatch) {
      if (request.holder === holder) {
        this.#waitingBatch.delete(permit)
      }
    }
    return this.synchronize(holder, [], now)
  }

  /**
   * Grants no batch work before the given time, in milliseconds since the epoch. A new owner does not know yet which slots
   * its predecessor granted: an online request on such a slot only queues briefly, but batch work would be
   * granted slots that the predecessor's holders still use.
   */
  blockBatchUntil (time: number): void {
    this.#batchBlockedUntil = Math.max(this.#batchBlockedUntil, time)
  }

  /** Rejects online requests that have waited too long (batch requests wait without a limit), and grants free slots. */
  tick (now: number): readonly SlotDecision[] {
    const expired = this.#waitingOnline.filter(({ request, queuedAt }) => now - queuedAt > request.patience * maximumWaitFactor)
    if (expired.length > 0) {
      this.#waitingOnline = this.#waitingOnline.filter(waiting => !expired.includes(waiting))
    }
    return [...expired.map(({ request }) => this.#refuse(request, now)), ...this.#grantWaiting(now)]
  }

  /**
   * Returns the number of slots granted to each class of work, of waiting online requests, and of slots of accepting targets
   * (suspended ones included).
   */
  load (): { readonly online: number, readonly batch: number, readonly waiting: number, readonly slots: number } {
    return { ...this.#slots.load(), waiting: this.#waitingOnline.length }
  }

  /** Whether requests wait, so that {@link tick} has something to do. */
  get hasWaiting (): boolean {
    return this.#waitingOnline.length > 0 || this.#waitingBatch.size > 0
  }

  #requestOnline (request: SlotRequest, now: number): readonly SlotDecision[] {
    const granted = this.#grantOnline(request, now)
    if (granted.length > 0) {
      return granted
    }
    if (this.#waitingOnline.some(waiting => waiting.request.permit === request.permit)) {
      return []
    }
    if (this.#expectedWait(now) > request.patience) {
      return [this.#refuse(request, now)]
    }
    this.#waitingOnline.push({ request, queuedAt: now })
    return []
  }

  #requestBatch (request: SlotRequest, now: number): readonly SlotDecision[] {
    if (!this.#waitingBatch.has(request.permit)) {
      this.#waitingBatch.set(request.permit, { request, queuedAt: now })
    }
    return this.#grantWaiting(now)
  }

  // The grant is returned together with the revocation, without waiting until the preempted batch work has stopped: the
  // target may queue one request for that moment, and the online request is spared a round trip.
  #grantOnline (request: SlotRequest, now: number): readonly SlotDecision[] {
    const free = this.#candidates(now, request, target => target.granted < target.slots)
    const chosen = this.#selectTarget(free, request, now)
    if (chosen !== null) {
      return [this.#grant(request, chosen, now)]
    }
    const preemptible = this.#candidates(now, request, target => target.online < target.slots)
    const victim = this.#selectPreemptedSlot(preemptible, request, now)
    if (victim === null) {
      return []
    }
    this.#slots.revoke(victim)
    const grant = this.#grant(request, victim.target, now)
    return [grant, { kind: DecisionKind.Revoke, permit: victim.permit, holder: victim.holder }]
  }

  /**
   * Selects the batch slot to preempt, or null if there is none. The output that an item has received is kept, so
   * preemption costs it little more than its slot. Therefore an item with one of the latest deadlines is preempted,
   * whenever it was granted; among these the target's score decides, then the latest grant. Load: bursts of
   * online requests that take all batch slots several times before the items' deadlines.
   */
  #selectPreemptedSlot (targets: readonly TargetSlots[], request: SlotRequest, now: number): GrantedSlot | null {
    const scores = this.#scoreTargets(targets, request, now)
    const slots = this.#slots.batchSlotsOn(scores)
    const latestDeadline = slots.reduce((latest, slot) => Math.max(latest, slot.due), -Infinity)
    let victim: GrantedSlot | null = null
    let victimScore = -Infinity
    for (const slot of slots) {
      const score = scores.get(slot.target) ?? -Infinity
      const isBetter = score > victimScore || (score === victimScore && slot.grantedAt >= (victim?.grantedAt ?? 0))
      if (slot.due > latestDeadline - similarDeadlineMilliseconds && isBetter) {
        victim = slot
        victimScore = score
      }
    }
    return victim
  }

  #grant (request: SlotRequest, target: string, now: number): SlotGrant {
    const { permit, holder, workClass, due } = request
    this.#slots.recordGrant({ permit, holder, target, workClass, due, grantedAt: now, revoked: false })
    this.#prefixAffinity.recordGrant(request.prefix, target)
    return { kind: DecisionKind.Grant, permit, holder, target }
  }

  #grantWaiting (now: number): readonly SlotDecision[] {
    const decisions: SlotDecision[] = []
    const waiting = this.#waitingOnline
    this.#waitingOnline = []
    for (const entry of sortTimelyFirst(waiting, now)) {
      const granted = this.#grantOnline(entry.request, now)
      decisions.push(...granted)
      if (granted.length === 0) {
        this.#waitingOnline.push(entry)
      }
    }
    if (this.#waitingOnline.length === 0 && this.#waitingBatch.size > 0 && now >= this.#batchBlockedUntil) {
      this.#grantWaitingBatch(now, decisions)
    }
    return decisions
  }

  /** Appends the grants to `decisions`. */
  #grantWaitingBatch (now: number, decisions: SlotDecision[]): void {
    const byDeadline = [...this.#waitingBatch.values()].sort((left, right) => left.request.due - right.request.due)
    for (const { request } of byDeadline) {
      const free = this.#candidates(now, request, target => target.granted < target.slots)
      if (this.#slots.freeSlots(now) <= this.options.headroom) {
        return
      }
      const target = this.#selectTarget(free, request, now)
      if (target !== null) {
        this.#waitingBatch.delete(request.permit)
        decisions.push(this.#grant(request, target, now))
      }
    }
  }

  #selectTarget (candidates: readonly TargetSlots[], request: SlotRequest, now: number): string | null {
    let best: string | null = null
    let bestScore = -Infinity
    for (const [id, score] of this.#scoreTargets(candidates, request, now)) {
      if (score > bestScore) {
        best = id
        bestScore = score
      }
    }
    return best
  }

  /** Scores each target for the request; higher is better, and one busy slot lowers the score by one. */
  #scoreTargets (candidates: readonly TargetSlots[], request: SlotRequest, now: number): ReadonlyMap<string, number> {
    const cachedFractions = this.#prefixAffinity.cachedFractions(request.prefix)
    return new Map(candidates.map(candidate => {
      const cachedFraction = cachedFractions.get(candidate.id) ?? 0
      const zone = candidate.zone === request.zone ? sameZoneWeight : 0
      const failures = Math.max(0, this.#failureRates.rateOf(candidate.id, now) - toleratedFailureRate) * failureRateWeight
      return [candidate.id, cachedFraction * prefixAffinityWeight + zone - failures - candidate.granted]
    }))
  }

  // A batch item waits without a time limit. If only excluded targets accept work, trying one of them again is better
  // than never running the item.
  #candidates (now: number, request: SlotRequest, condition: (target: TargetSlots) => boolean): readonly TargetSlots[] {
    const { holder, excluded, workClass } = request
    const others = this.#slots.candidates(now, holder, excluded, condition)
    if (others.length > 0 || workClass === WorkClass.Online || excluded.length === 0) {
      return others
    }
    const hasOtherTarget = this.#slots.candidates(now, holder, excluded, () => true).length > 0
    return hasOtherTarget ? others : this.#slots.candidates(now, holder, [], condition)
  }

  #recordOutcome (target: string, holder: string, outcome: SlotOutcome, now: number): void {
    const { initialSuspensionMilliseconds, maximumSuspensionMilliseconds } = this.options
    switch (outcome) {
      case SlotOutcome.Finished:
      case SlotOutcome.Failed:
        this.#failureRates.recordOutcome(target, outcome === SlotOutcome.Failed, now)
        this.#slots.onAnswered(target)
        return
      case SlotOutcome.Full:
        // The target is full of requests that this owner does not know. After one suspension they have ended or
        // were reported, so the suspension does not grow.
        this.#slots.onUnreachable(target, holder, now, initialSuspensionMilliseconds, initialSuspensionMilliseconds)
        return
      case SlotOutcome.Unreachable:
        this.#slots.onUnreachable(target, holder, now, initialSuspensionMilliseconds, maximumSuspensionMilliseconds)
        this.#prefixAffinity.removeTarget(target)
        return
      case SlotOutcome.Broken:
        this.#slots.onBroken(target, now, initialSuspensionMilliseconds, maximumSuspensionMilliseconds)
    }
  }

  #refuse (request: SlotRequest, now: number): SlotDecision {
    const retryAfter = Math.max(1, Math.ceil(this.#expectedWait(now)))
    return { kind: DecisionKind.Refuse, permit: request.permit, holder: request.holder, retryAfter }
  }

  /** Expected wait of a new request, in milliseconds. */
  #expectedWait (now: number): number {
    const slots = this.#slots.usableSlots(now)
    if (slots === 0) {
      return this.#holdTime.value
    }
    const timelyCount = this.#waitingOnline.filter(waiting => !isLate(waiting, now)).length
    return (timelyCount + 1) * this.#holdTime.value / slots
  }
}

function isLate ({ request, queuedAt }: WaitingRequest, now: number): boolean {
  return now - queuedAt > request.patience
}

function sortTimelyFirst (waiting: readonly WaitingRequest[], now: number): readonly WaitingRequest[] {
  const late = waiting.filter(entry => isLate(entry, now))
  return late.length === 0 ? waiting : [...waiting.filter(entry => !isLate(entry, now)), ...late]
}
