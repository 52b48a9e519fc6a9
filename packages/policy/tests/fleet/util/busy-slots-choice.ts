/** The scoring of targets as it was inside `FleetAdmission`, as the reference of a test: by busy slots, whatever the speeds of targets. */
import { WorkClass } from '@arbutusloft/protocol'
import type { SlotRequest } from '../../../src/index.js'
import type { TargetSlots } from '../../../src/fleet/fleet-slots.js'
import { isOfVersion, versionOf } from '../../../src/fleet/software-version.js'
import type { ChoiceMoment, ChoiceState } from '../../../src/fleet/target-choice.js'
import { TargetAvailability } from '../../../src/fleet/target-health.js'

const prefixAffinityWeight = 1.5
const sameZoneWeight = 1
const rateLimitWeight = 4
const failureRateWeight = 10

/** Chooses by busy slots. */
export class BusySlotsChoice {
  constructor (private readonly state: ChoiceState) {}

  selectTarget (request: SlotRequest, availability: TargetAvailability, moment: ChoiceMoment): TargetSlots | null {
    const candidates = [...this.state.unsound].filter(target => target.granted < target.slots && this.#isUsable(target, request, availability, moment))
    if (availability === TargetAvailability.Available) {
      candidates.push(...this.#soundCandidates(request, moment))
    }
    let best: TargetSlots | null = null
    let bestScore = -Infinity
    for (const candidate of candidates) {
      const score = this.#scoreOf(candidate, request, moment)
      if (score > bestScore) {
        best = candidate
        bestScore = score
      }
    }
    return best
  }

  #soundCandidates (request: SlotRequest, { now }: ChoiceMoment): readonly TargetSlots[] {
    const { sound, slots, health, prefixAffinity } = this.state
    const isCandidate = (target: TargetSlots): boolean => !this.#isExcluded(target, request) && !health.isSuspendedFor(target.id, request.holder, now)
    const candidates = sound.leastLoaded(request.zone, versionOf(request), isCandidate)
    const caching = slots.target(prefixAffinity.targetOf(request.prefix) ?? '')
    const isUsable = caching !== undefined && sound.has(caching) && caching.granted < caching.slots && isOfVersion(caching, request) && isCandidate(caching)
    return isUsable ? [caching, ...candidates] : candidates
  }

  #isUsable (target: TargetSlots, request: SlotRequest, availability: TargetAvailability, moment: ChoiceMoment): boolean {
    return target.accepting && isOfVersion(target, request) && !this.#isExcluded(target, request) && this.#allows(target, request, moment) &&
      this.state.health.availabilityFor(target.id, request.holder, moment.now) === availability
  }

  #allows (target: TargetSlots, { workClass }: SlotRequest, { now, isOnlinePressed }: ChoiceMoment): boolean {
    const isLeftToOnline = workClass === WorkClass.Batch && isOnlinePressed
    return this.state.pacing.allowanceOf(target, now) > 0 && !(isLeftToOnline && this.state.pacing.isLimited(target, now))
  }

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

  #countAcceptingExcluded (request: SlotRequest): number {
    let count = 0
    for (const id of new Set(request.excluded)) {
      const target = this.state.slots.target(id)
      count += target?.accepting === true && isOfVersion(target, request) ? 1 : 0
    }
    return count
  }

  #scoreOf (target: TargetSlots, request: SlotRequest, { now }: ChoiceMoment): number {
    const { prefixAffinity, pacing, health } = this.state
    const prefix = prefixAffinity.targetOf(request.prefix) === target.id ? prefixAffinityWeight : 0
    const zone = target.zone === request.zone ? sameZoneWeight : 0
    const limit = pacing.isLimited(target, now) ? rateLimitWeight : 0
    const isPreferred = request.workClass === WorkClass.Batch || pacing.isProbeDue(target, now)
    return prefix + zone + (isPreferred ? limit : -limit) - health.penaltyOf(target.id, now) * failureRateWeight - target.granted
  }
}
