/**
 * Which target a request goes to. Load: requests of many holders on targets of several availability zones, of which some cache the prompt, fail often,
 * name rate limits or are suspended, with 1,000 targets of one service.
 */
import { WorkClass } from '@arbutusloft/protocol'
import type { SlotRequest } from './fleet-messages.js'
import type { FleetSlots, TargetSlots } from './fleet-slots.js'
import type { PrefixAffinity } from './prefix-affinity.js'
import { isOfVersion, versionOf } from './software-version.js'
import { TargetAvailability } from './target-health.js'
import type { TargetHealth } from './target-health.js'
import type { TargetIndex } from './target-index.js'
import type { TargetPacing } from './target-pacing.js'
import type { TargetSpeeds } from './target-speeds.js'
import { ZoneCause } from './zone-routing.js'
import type { ZoneRouting } from './zone-routing.js'

/** What is known of the targets of one service. */
export interface ChoiceState {
  readonly slots: Pick<FleetSlots, 'target' | 'acceptingOf' | 'inUseByZone'>
  readonly health: Pick<TargetHealth, 'availabilityFor' | 'isSuspendedFor' | 'penaltyOf'>
  readonly pacing: Pick<TargetPacing, 'allowanceOf' | 'isLimited' | 'isProbeDue'>
  readonly prefixAffinity: Pick<PrefixAffinity, 'targetOf'>
  readonly speeds: TargetSpeeds
  readonly zones: Pick<ZoneRouting, 'isActive' | 'isDue' | 'leaves' | 'update' | 'weightOf'>
  /** Accepting targets of which nothing bad is known, and which name no rate limit. */
  readonly sound: TargetIndex
  /** The other accepting targets; each choice examines all of these. */
  readonly unsound: ReadonlySet<TargetSlots>
}

/** What a choice depends on beside the state of the targets. */
export interface ChoiceMoment {
  /** Milliseconds since the epoch. */
  readonly now: number
  /** Whether an online request has lately had to wait, so that batch work leaves the targets with rate limits alone. */
  readonly isOnlinePressed: boolean
}

/** Number of busy slots that a probably cached prompt prefix outweighs in a target's score. */
const prefixAffinityWeight = 1.5
/**
 * Number of busy slots that a rate limit outweighs in a target's score: against it for an online request, and for it for a batch item, which takes
 * a slot for longer and no more of the limit.
 */
const rateLimitWeight = 4
/**
 * Number of busy slots that a failure rate of 1 weighs as much as in a target's score: more than a typical target has, so
 * that such a target is chosen only if all others are full.
 */
const failureRateWeight = 10

/** Scores targets and chooses the best one. */
export class TargetChoice {
  /** Whether the index holds targets by their speeds. */
  #areUnequal = false
  /** Number of the latest choice of each target, and of all choices. */
  readonly #chosen = new WeakMap<TargetSlots, number>()
  #choices = 0

  constructor (private readonly state: ChoiceState) {}

  /** Adds a target to those of which nothing bad is known, or moves it after a change. */
  place (target: TargetSlots, now: number): void {
    this.state.sound.place(target, this.state.speeds.speedClassOf(target, now))
  }

  /**
   * Takes note of the time; by then, what is known of the speeds of targets and of the load of zones may have changed.
   *
   * @param holdMilliseconds mean time for which an online request holds its slot
   */
  begin (now: number, holdMilliseconds: number): void {
    const { slots, speeds, sound, zones } = this.state
    if (zones.isDue(now)) {
      const names = new Set([...sound.slotsByZone.keys(), ...slots.inUseByZone.keys()])
      zones.update(new Map([...names].map(zone => [zone, { slots: sound.slotsByZone.get(zone) ?? 0, demand: slots.inUseByZone.get(zone) ?? 0 }])), holdMilliseconds, now)
    }
    const areUnequal = speeds.areUnequal(WorkClass.Online, now) || speeds.areUnequal(WorkClass.Batch, now)
    if (areUnequal !== this.#areUnequal) {
      this.#areUnequal = areUnequal
      for (const target of [...sound.targets]) {
        this.place(target, now)
      }
    }
  }

  /** Returns the best target with a free slot of those that are available in this way, or null if there is none. */
  select (request: SlotRequest, availability: TargetAvailability, moment: ChoiceMoment): TargetSlots | null {
    const candidates = [...this.state.unsound].filter(target => target.granted < target.slots && this.isUsable(target, request, availability, moment))
    if (availability === TargetAvailability.Available) {
      candidates.push(...this.#soundCandidates(request, moment))
    }
    let best: TargetSlots | null = null
    let bestScore = -Infinity
    for (const candidate of candidates) {
      const score = this.#scoreOf(candidate, request, moment)
      if (score > bestScore || (score === bestScore && best !== null && this.#precedes(candidate, best, request))) {
        best = candidate
        bestScore = score
      }
    }
    if (best !== null) {
      this.#choices += 1
      this.#chosen.set(best, this.#choices)
      this.state.speeds.onChosen(best, request.workClass, moment.now)
    }
    return best
  }

  /**
   * Whether a target takes precedence over another one that is as good and comes before it: where the index holds targets by their speeds, it does if it was
   * chosen less recently. Without this, targets of one speed class would get all requests for which the speeds do not matter. A request's own zone comes first.
   */
  #precedes (target: TargetSlots, other: TargetSlots, { zone }: SlotRequest): boolean {
    const { sound } = this.state
    const areComparable = this.#areUnequal && sound.has(target) && sound.has(other) && (target.zone === zone) === (other.zone === zone)
    return areComparable && (this.#chosen.get(target) ?? 0) < (this.#chosen.get(other) ?? 0)
  }

  /** Returns why a request gets a slot on this target's zone; called before the slot is counted. */
  zoneCauseOf (target: TargetSlots, request: SlotRequest): ZoneCause {
    const { sound, zones } = this.state
    if (target.zone === request.zone) {
      return ZoneCause.Own
    }
    if ((sound.slotsByZone.get(request.zone) ?? 0) === 0) {
      return ZoneCause.Empty
    }
    if (!sound.hasFreeIn(request.zone)) {
      return ZoneCause.Full
    }
    return zones.isActive && zones.leaves(request.zone, request.permit) ? ZoneCause.Share : ZoneCause.Better
  }

  /** Whether a target that is available in this way may get a request, if it has a free slot. */
  isUsable (target: TargetSlots, request: SlotRequest, availability: TargetAvailability, moment: ChoiceMoment): boolean {
    return target.accepting && isOfVersion(target, request) && !this.#isExcluded(target, request) && this.allows(target, request, moment) &&
      this.state.health.availabilityFor(target.id, request.holder, moment.now) === availability
  }

  /**
   * Whether the rate limit of a target, if it names one, allows a request at present. What batch work takes cannot be taken back, so that it leaves it
   * to online requests while some have lately had to wait.
   */
  allows (target: TargetSlots, { workClass }: SlotRequest, { now, isOnlinePressed }: ChoiceMoment): boolean {
    const isLeftToOnline = workClass === WorkClass.Batch && isOnlinePressed
    return this.hasAllowance(target, now) && !(isLeftToOnline && this.state.pacing.isLimited(target, now))
  }

  /** Whether the rate limit of a target, if it names one, allows a request at present. */
  hasAllowance (target: TargetSlots, now: number): boolean {
    return this.state.pacing.allowanceOf(target, now) > 0
  }

  /** Returns the sound targets that can be the best for a request: one that probably caches its prefix, and the least loaded ones. */
  #soundCandidates (request: SlotRequest, { now }: ChoiceMoment): readonly TargetSlots[] {
    const { slots, health, prefixAffinity, sound } = this.state
    const isCandidate = (target: TargetSlots): boolean => !this.#isExcluded(target, request) && !health.isSuspendedFor(target.id, request.holder, now)
    const candidates = sound.leastLoaded(request.zone, versionOf(request), isCandidate)
    const caching = slots.target(prefixAffinity.targetOf(request.prefix) ?? '')
    const isCachingUsable = caching !== undefined && sound.has(caching) && caching.granted < caching.slots && isOfVersion(caching, request) && isCandidate(caching)
    return isCachingUsable ? [caching, ...candidates] : candidates
  }

  // A batch item waits without a time limit. If only excluded targets accept work, trying one of them again is better
  // than never running the item; so it is for a stream that no other target can continue.
  #isExcluded ({ id }: TargetSlots, request: SlotRequest): boolean {
    const { excluded, continues, workClass } = request
    if (!excluded.includes(id)) {
      return false
    }
    if (continues !== null) {
      return this.state.slots.acceptingOf(continues.softwareVersion) > this.#countAcceptingExcluded(request)
    }
    return workClass === WorkClass.Online || this.state.sound.size + this.state.unsound.size > excluded.length
  }

  /** Returns the number of accepting targets that could serve a request, were they not excluded. */
  #countAcceptingExcluded (request: SlotRequest): number {
    let count = 0
    for (const id of new Set(request.excluded)) {
      const target = this.state.slots.target(id)
      count += target?.accepting === true && isOfVersion(target, request) ? 1 : 0
    }
    return count
  }

  /** Scores a target for a request; higher is better, and one busy slot of a target of the mean speed lowers the score by one. */
  #scoreOf (target: TargetSlots, request: SlotRequest, { now }: ChoiceMoment): number {
    const { health, pacing, prefixAffinity, sound, speeds, zones } = this.state
    const prefix = prefixAffinity.targetOf(request.prefix) === target.id ? prefixAffinityWeight : 0
    const zone = zones.weightOf(target.zone, request, sound.has(target))
    const limit = pacing.isLimited(target, now) ? rateLimitWeight : 0
    const isPreferred = request.workClass === WorkClass.Batch || pacing.isProbeDue(target, now)
    return prefix + zone + (isPreferred ? limit : -limit) - health.penaltyOf(target.id, now) * failureRateWeight - speeds.loadOf(target, request.workClass, now)
  }
}
