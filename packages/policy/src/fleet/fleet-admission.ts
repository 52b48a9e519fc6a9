/** Admission control for all targets of one service: one owner process grants their slots to all holders. */
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind } from '../admission/decision.js'
import { TargetRateLimits } from '../limits/target-rate-limits.js'
import { MovingAverage } from '../util/moving-average.js'
import { BatchQueue } from './batch-queue.js'
import { BatchRoom } from './batch-room.js'
import { CrashAttribution } from './crash-attribution.js'
import { CrashQuarantine, QuarantineAdmission, TrialEnd } from './crash-quarantine.js'
import type { CrashReport, SoundReport } from './crash-quarantine.js'
import { refusalOf, RefusalReason, SlotOutcome } from './fleet-messages.js'
import type { FleetTarget, HeldSlot, SlotDecision, SlotGrant, SlotRequest } from './fleet-messages.js'
import { FleetSlots } from './fleet-slots.js'
import type { GrantedSlot, TargetSlots } from './fleet-slots.js'
import { OnlineQueue } from './online-queue.js'
import { OverloadForecast } from './overload-forecast.js'
import { PrefixAffinity } from './prefix-affinity.js'
import { standingMark } from './rank-order.js'
import type { RequestsAhead } from './rank-order.js'
import { contentOf } from './request-content.js'
import { isOfVersion, versionOf } from './software-version.js'
import { TargetChoice } from './target-choice.js'
import type { ChoiceMoment } from './target-choice.js'
import { TargetAvailability, TargetHealth } from './target-health.js'
import type { SuspensionOptions } from './target-health.js'
import { TargetIndex } from './target-index.js'
import { TargetPacing } from './target-pacing.js'
import { TargetSpeeds } from './target-speeds.js'
import type { AnswerTiming, ExpectedTime } from './target-speeds.js'
import { WaitCause } from './wait-cause.js'
import type { SlotWait } from './wait-cause.js'
import { defaultZoneRoutingOptions, ZoneRouting } from './zone-routing.js'
import type { ZoneCause, ZoneRoutingOptions } from './zone-routing.js'

/** Options of {@link FleetAdmission}. */
export interface FleetAdmissionOptions extends SuspensionOptions, Partial<ZoneRoutingOptions> {
  /** Slots of the whole fleet that batch work leaves free, so that the next online requests start at once. */
  readonly headroom: number
}

export const defaultFleetAdmissionOptions: FleetAdmissionOptions = {
  headroom: 2,
  initialSuspensionMilliseconds: 300,
  maximumSuspensionMilliseconds: 2_000
}

/** Initial value of the moving average of the time for which online requests hold their slots. */
const initialHoldTimeMilliseconds = 650
/** Weight of the newest sample in that average. */
const holdTimeWeight = 0.1
/** Time from a grant within which an item has probably produced nothing yet and would begin again from the start. */
const fruitlessMilliseconds = 250
/** Makes such an item the last choice for preemption; in milliseconds of remaining work, more than any item has. */
const fruitlessPenalty = 1_000_000
/** Time from a grant within which the trial of an item has probably not shown yet whether targets crash under it. */
const trialMilliseconds = 1_000
/** Makes an item on a target with a rate limit the choice after those on others. */
const limitedPenalty = 500_000
const millisecondsPerSecond = 1_000
/** Milliseconds of remaining work that the requester's availability zone outweighs when an item is preempted. */
const sameZoneMilliseconds = 500

/**
 * Slots that a holder which probably reaches no target gets within {@link cutOffGrantMilliseconds} while half of all are in use, and
 * requests of it that may wait: enough to find that it reaches one again.
 */
const maximumCutOffGrants = 2
const cutOffGrantMilliseconds = 1_000
/** Time after an online request had to wait or was rejected in which batch work takes no slots of targets with rate limits. */
const onlinePressureMilliseconds = 500
/** Time after which a slot is held because its target answers: longer than it takes to give up a silent one. */
const answeringMilliseconds = 1_500
/** Share of free slots above which a holder that probably reaches no target gets as many as it asks for. */
const plentyShare = 0.5

/** Time for which the trial of what is in quarantine is left to holders that have not failed since they last reached a target. */
const trialLeftMilliseconds = 1_000

/** Outcomes that say that the request has not run. */
const outcomesWithoutRun: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Unreachable, SlotOutcome.Replaced, SlotOutcome.Full])

/** Outcomes that say that the target has answered. */
const answerOutcomes: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Finished, SlotOutcome.Unsuccessful, SlotOutcome.Failed])

/**
 * Grants slots of a service's targets to the processes (holders) that send requests to them.
 *
 * The state is soft state: it is lost when the owner fails, and the next owner rebuilds it from the holders' reports.
 */
export class FleetAdmission {
  readonly #slots = new FleetSlots(target => { this.#onTargetChanged(target) })
  readonly #health: TargetHealth
  readonly #crashes: CrashAttribution
  readonly #pacing: TargetPacing
  /** Accepting targets of which nothing bad is known, and which name no rate limit. */
  readonly #sound = new TargetIndex()
  /** The other accepting targets; each decision examines all of these. */
  readonly #unsound = new Set<TargetSlots>()
  readonly #prefixAffinity = new PrefixAffinity()
  readonly #speeds = new TargetSpeeds()
  readonly #zones: ZoneRouting
  /** Grants by availability zone of the holder and cause. */
  readonly #zoneGrants = new Map<string, Map<ZoneCause, number>>()
  readonly #choice: TargetChoice
  readonly #holdTime = new MovingAverage(initialHoldTimeMilliseconds, holdTimeWeight)
  readonly #forecast = new OverloadForecast()
  readonly #online = new OnlineQueue()
  readonly #batch = new BatchQueue()
  /** Slots that batch work leaves free for steps of online load. */
  readonly batchRoom = new BatchRoom()
  /** Times of the last grants to holders that probably reach no target, in milliseconds since the epoch. */
  readonly #cutOffGrants = new Map<string, readonly number[]>()
  #batchBlockedUntil = 0
  /** Time at which an online request last had to wait or was rejected, in milliseconds since the epoch. */
  #onlinePressureAt = -Infinity
  /** Time of the present call, in milliseconds since the epoch. */
  #now = 0

  /**
   * @param quarantine what is held back; services may share it
   * @param limits what targets name; services may share it
   */
  constructor (private readonly options = defaultFleetAdmissionOptions, private readonly quarantine = new CrashQuarantine(), limits = new TargetRateLimits()) {
    this.#health = new TargetHealth(options)
    this.#zones = new ZoneRouting({ ...defaultZoneRoutingOptions, ...options })
    this.#pacing = new TargetPacing(limits)
    this.#crashes = new CrashAttribution(quarantine)
    this.#choice = new TargetChoice({ slots: this.#slots, health: this.#health, pacing: this.#pacing, prefixAffinity: this.#prefixAffinity, speeds: this.#speeds, zones: this.#zones, sound: this.#sound, unsound: this.#unsound })
  }

  /** Replaces the list of targets and returns the resulting decisions. */
  setTargets (targets: readonly FleetTarget[], now: number): readonly SlotDecision[] {
    this.#begin(now)
    const ids = new Set(targets.map(target => target.id))
    this.#health.retainTargets(ids)
    this.#crashes.retainTargets(ids)
    this.#pacing.retainTargets(ids)
    this.#speeds.retainTargets(targets)
    this.#slots.setTargets(targets)
    this.#sound.retainVersions(this.#slots.versions)
    return [...this.#refuseWithoutVersion(), ...this.#grantWaiting()]
  }

  /**
   * Decides on a request. Returns no decision for it if it has to wait; a later call then returns the decision. A repeated
   * request whose slot was granted before gets the same grant again while the target accepts work and can serve it.
   */
  request (request: SlotRequest, now: number): readonly SlotDecision[] {
    this.#begin(now)
    const reason = this.#versionRefusalOf(request)
    if (reason !== null) {
      this.withdraw(request.permit)
      this.#drop(request.permit)
      return [refusalOf(request, reason, request.latestReturn)]
    }
    const held = this.#slots.get(request.permit)
    const target = this.#slots.target(held?.target ?? '')
    if (held !== undefined && (target?.accepting !== true || !isOfVersion(target, request))) {
      // The holder may not have got the grant, and must not use it any more.
      this.#drop(request.permit)
    } else if (held !== undefined) {
      return [{ kind: DecisionKind.Grant, permit: request.permit, holder: request.holder, target: held.target, address: held.address }]
    }
    return request.workClass === WorkClass.Online ? this.#requestOnline(request) : this.#requestBatch(request)
  }

  /**
   * Releases a slot and returns the resulting decisions. Ignores unknown permits but for crashes, since they were released before.
   *
   * @param crash the request that the target crashed under, or null if it has not crashed
   * @param sender process that releases the slot; matters only for crashes under permits that are unknown
   * @param sound the request, if it was stopped while its answer went well; else null
   */
  release (permit: string, outcome: SlotOutcome, now: number, crash: CrashReport | null = null, sender = '', sound: SoundReport | null = null): readonly SlotDecision[] {
    this.#begin(now)
    this.withdraw(permit)
    const held = this.#slots.release(permit)
    if (sound !== null && outcome === SlotOutcome.Stopped) {
      this.quarantine.onSound(sound)
    }
    if (held === undefined) {
      if (crash !== null) {
        this.#crashes.onCrashed(permit, sender, crash, this.#health.isTrusted(sender), now)
      }
      return sound === null ? [] : this.#grantWaiting()
    }
    this.#recordOutcome(held, outcome)
    if (crash !== null) {
      this.#crashes.onCrashed(permit, held.holder, crash, this.#health.isTrusted(held.holder), now)
    }
    return this.#grantWaiting()
  }

  /** Takes note of the times of a complete answer, just before its slot is released; ignores unknown permits. */
  recordTiming (permit: string, timing: AnswerTiming, now: number): void {
    const slot = this.#slots.get(permit)
    const target = this.#slots.target(slot?.target ?? '')
    if (slot?.slotsInUse !== undefined && target?.born === slot.born) {
      this.#speeds.record(target, { workClass: slot.workClass, isPrefixCached: slot.isPrefixCached === true, slotsAtStart: slot.slotsInUse, slotsAtEnd: target.granted }, timing, now)
    }
  }

  /** Whether the speeds of targets differ so much that they matter. */
  areSpeedsUnequal (now: number): boolean {
    return this.#speeds.areUnequal(WorkClass.Online, now) || this.#speeds.areUnequal(WorkClass.Batch, now)
  }

  /** Returns what is known of the times to the first event, of the slowest targets. */
  expectedTimes (maximum: number, now: number): readonly ExpectedTime[] {
    return this.#speeds.expectedTimes(this.#sound.targets, maximum, now)
  }

  /** Returns the grants so far by zone of the holder and cause, and the share of each zone that is to leave it. */
  zoneGrants (): ReadonlyArray<{ readonly zone: string, readonly share: number, readonly counts: ReadonlyMap<ZoneCause, number> }> {
    return [...this.#zoneGrants].map(([zone, counts]) => ({ zone, share: this.#zones.shareOf(zone), counts }))
  }

  /** Takes note that targets do not crash under a request, and returns the resulting decisions. */
  onSound (sound: SoundReport, now: number): readonly SlotDecision[] {
    this.#begin(now)
    this.quarantine.onSound(sound)
    return this.#grantWaiting()
  }

  /**
   * Takes note that the rate limit of a target may have changed, and returns the resulting decisions.
   *
   * @param permit permit of a request that the target got or gets, which counts towards the limit also if another owner granted it; null for none
   */
  onRateLimit (id: string, permit: string | null, now: number): readonly SlotDecision[] {
    this.#begin(now)
    const target = this.#slots.target(id)
    if (target === undefined) {
      return []
    }
    if (permit !== null && !this.#hasGranted(permit, id)) {
      this.#pacing.onGrantedElsewhere(target, permit, now)
    }
    this.#onTargetChanged(target)
    return this.#grantWaiting()
  }

  /** Whether the slot of a permit was granted here on this target; the address of one that its holder has reported is unknown. */
  #hasGranted (permit: string, target: string): boolean {
    const slot = this.#slots.get(permit)
    return slot !== undefined && slot.target === target && slot.address !== ''
  }

  /** Returns the number of requests that a target was granted in the last 4 s. */
  recentGrants (target: string, now: number): number {
    return this.#pacing.recentGrants(target, now)
  }

  /** Removes a waiting request that its holder has given up. */
  withdraw (permit: string): void {
    if (this.#online.has(permit)) {
      this.#online.remove(({ request }) => request.permit === permit)
    }
    this.#batch.delete(permit)
  }

  /**
   * Replaces what is known of a holder's permits by the holder's report: frees the slots of permits that the report lacks
   * (unless they were granted so recently that it may not contain them yet), takes over permits that were unknown, and
   * revokes again those that were revoked before.
   */
  synchronize (holder: string, held: readonly HeldSlot[], now: number): readonly SlotDecision[] {
    this.#begin(now)
    const { revoked, dropped, adopted } = this.#slots.synchronize(holder, held, now)
    this.#online.recordHeld(adopted)
    this.#onEndsLost(dropped, TrialEnd.Unreported)
    return [
      ...revoked.map(permit => ({ kind: DecisionKind.Revoke, permit, holder })),
      ...this.#grantWaiting()
    ]
  }

  /** Removes a failed holder with its waiting requests, and frees its slots. */
  removeHolder (holder: string, now: number): readonly SlotDecision[] {
    this.#begin(now)
    this.#online.remove(({ request }) => request.holder === holder)
    this.#batch.deleteHolder(holder)
    const { dropped } = this.#slots.synchronize(holder, [], now, true)
    this.#onEndsLost(dropped, TrialEnd.HolderLost)
    this.#health.forgetHolder(holder, now)
    this.#cutOffGrants.delete(holder)
    return this.#grantWaiting()
  }

  /**
   * Grants no batch work before the given time, in milliseconds since the epoch. A new owner does not know yet which slots
   * its predecessor granted: an online request on such a slot only queues briefly, but batch work would be
   * granted slots that the predecessor's holders still use.
   */
  blockBatchUntil (time: number): void {
    this.#batchBlockedUntil = Math.max(this.#batchBlockedUntil, time)
  }

  /**
   * Rejects online requests that have waited too long (batch requests wait without a limit), and grants free slots. Requests without a
   * target of their software version do not wait for this: {@link setTargets} rejects them.
   */
  tick (now: number): readonly SlotDecision[] {
    this.#begin(now)
    const expired = this.#online.removeExpired(now)
    return [...this.#refuseQuarantined(), ...expired.map(({ request, ahead }) => this.#refuse(request, ahead)), ...this.#grantWaiting()]
  }

  /**
   * Returns the number of slots granted to each class of work, of waiting online requests, and of slots of accepting targets
   * (suspended ones included).
   */
  load (): { readonly online: number, readonly batch: number, readonly waiting: number, readonly slots: number } {
    return { ...this.#slots.load(), waiting: this.#online.length }
  }

  /** Returns why the request of a permit waits, or null if it does not wait. */
  waitOf (permit: string, now: number): SlotWait | null {
    const request = this.#batch.get(permit) ?? this.#online.get(permit)
    if (request === undefined) {
      return null
    }
    this.#begin(now)
    const version = versionOf(request)
    const accepting = version === null ? this.#sound.size + this.#unsound.size : this.#slots.acceptingOf(version)
    if (accepting === 0) {
      return { cause: WaitCause.NoTarget, until: 0 }
    }
    if (!this.#admitsContent(request)) {
      return { cause: WaitCause.HeldBack, until: this.#quarantinedFor(request) }
    }
    if (this.#isHeldBack(request)) {
      return { cause: WaitCause.CutOff, until: 0 }
    }
    if (request.workClass === WorkClass.Batch && (now < this.#batchBlockedUntil || this.#isOnlineWaiting())) {
      return { cause: WaitCause.Yields, until: Math.max(0, this.#batchBlockedUntil - now) }
    }
    return { cause: this.#slotCauseOf(request), until: 0 }
  }

  /** Whether requests wait, so that {@link tick} has something to do. */
  get hasWaiting (): boolean {
    return this.#online.length > 0 || this.#batch.length > 0
  }

  #begin (now: number): void {
    this.#now = now
    // The wall clock may have been set back.
    this.#onlinePressureAt = Math.min(this.#onlinePressureAt, now)
    this.#choice.begin(now, this.#holdTime.value)
    this.batchRoom.observe(now, this.#batch.length, () => this.#slots.load().online + this.#online.length)
    for (const target of this.#unsound) {
      if (this.#isSound(target)) {
        this.#unsound.delete(target)
        this.#choice.place(target, this.#now)
      }
    }
  }

  #isSound (target: TargetSlots): boolean {
    return this.#health.isSound(target.id, this.#now) && !this.#pacing.isLimited(target, this.#now)
  }

  #onTargetChanged (target: TargetSlots): void {
    if (!target.accepting) {
      this.#sound.remove(target)
      this.#unsound.delete(target)
    } else if (this.#isSound(target)) {
      this.#unsound.delete(target)
      this.#choice.place(target, this.#now)
    } else {
      this.#sound.remove(target)
      this.#unsound.add(target)
    }
  }

  #requestOnline (request: SlotRequest): readonly SlotDecision[] {
    const { admission, retryAfter } = this.quarantine.decide(contentOf(request), this.#now)
    if (admission === QuarantineAdmission.Quarantined) {
      this.#online.remove(entry => entry.request.permit === request.permit)
      return [refusalOf(request, RefusalReason.Quarantined, retryAfter)]
    }
    const now = this.#now
    this.#online.recordAsked(request, now)
    const granted = this.#grantOnline(request)
    if (granted.length > 0) {
      // It may have waited, and be sent again.
      this.withdraw(request.permit)
      return granted
    }
    if (this.#online.has(request.permit)) {
      return []
    }
    const { patience, spent, latestReturn } = request
    if (request.continues !== null) {
      // However long it waits, its caller, who has a part of the answer, is served nowhere sooner.
      this.#online.add(request, now)
      return []
    }
    if (this.#isHeldBack(request) && this.#online.countOf(request.holder) >= maximumCutOffGrants) {
      return [refusalOf(request, RefusalReason.Busy, Math.min(cutOffGrantMilliseconds, latestReturn))]
    }
    // Newcomers have to let those pass who were told to come back meanwhile.
    const returns = spent > 0 ? 0 : this.#forecast.returnsWithin(now, patience, request.caller)
    const ahead = this.#online.aheadOf(request, now)
    if (this.#expectedWait(ahead.count + returns + 1) > patience) {
      return [this.#refuse(request, ahead)]
    }
    this.#onlinePressureAt = now
    this.#online.add(request, now)
    const displaced = this.#online.mayDisplace(request) ? this.#online.removeDisplaced(request, now, this.#millisecondsPerRequest()) : null
    return displaced === null ? [] : [this.#refuse(displaced.request, displaced.ahead)]
  }

  #requestBatch (request: SlotRequest): readonly SlotDecision[] {
    if (!this.#batch.has(request.permit)) {
      this.#batch.add(request)
    }
    return this.#grantWaiting()
  }

  // The grant is returned together with the revocation, without waiting until the preempted batch work has stopped: the
  // target may queue one request for that moment, and the online request is spared a round trip.
  #grantOnline (request: SlotRequest): readonly SlotDecision[] {
    if (!this.#hasRoom(versionOf(request)) || !this.#admitsContent(request) || this.#isHeldBack(request)) {
      return []
    }
    const free = this.#selectTarget(request, TargetAvailability.Available)
    if (free !== null) {
      return [this.#grant(request, free)]
    }
    const victim = this.#selectVictim(request)
    const target = this.#slots.target(victim?.target ?? '')
    if (victim !== null && target !== undefined) {
      this.#slots.revoke(victim)
      return [this.#grant(request, target), { kind: DecisionKind.Revoke, permit: victim.permit, holder: victim.holder }]
    }
    const onTrial = this.#selectTarget(request, TargetAvailability.OnTrial)
    return onTrial === null ? [] : [this.#grant(request, onTrial)]
  }

  /**
   * Selects the batch slot to preempt, or null if there is none. The output that an item has received is kept, so
   * preemption costs it little more than its slot. Among equally urgent items, one that has just begun is spared, since
   * it has received nothing, and then the one that has come furthest, since it soon frees its slot by itself.
   */
  #selectVictim (request: SlotRequest): GrantedSlot | null {
    const victim = this.#selectVictimOf(request, slot => !this.#isOpenTrial(slot))
    return victim === null && this.quarantine.isActive ? this.#selectVictimOf(request, () => true) : victim
  }

  /** Whether an item is the trial of what is in quarantine, and has probably not shown anything yet. */
  #isOpenTrial ({ permit, grantedAt }: GrantedSlot): boolean {
    return this.#now - grantedAt < trialMilliseconds && this.quarantine.isTrial(permit)
  }

  #selectVictimOf (request: SlotRequest, isCandidate: (slot: GrantedSlot) => boolean): GrantedSlot | null {
    const now = this.#now
    return this.#slots.preemptible.select(
      versionOf(request),
      slot => this.#batch.isLost({ due: slot.due, ran: slot.ran + now - slot.grantedAt }, now),
      slot => {
        const target = this.#slots.target(slot.target)
        // A slot that is freed is no new allowance of a target with a rate limit, which isUsable checks.
        if (target === undefined || !isCandidate(slot) || target.online >= target.slots || !this.#choice.isUsable(target, request, TargetAvailability.Available, this.#moment)) {
          return null
        }
        const held = now - slot.grantedAt
        const penalty = held < fruitlessMilliseconds ? fruitlessPenalty : 0
        const zone = target.zone === request.zone ? sameZoneMilliseconds : 0
        // An item that loses its slot needs another allowance to go on.
        const limitPenalty = this.#pacing.isLimited(target, now) ? limitedPenalty : 0
        return this.#batch.remainingOf({ ran: slot.ran + held }) + zone - penalty - limitPenalty - held / millisecondsPerSecond
      }
    )
  }

  #grant (request: SlotRequest, granted: TargetSlots): SlotGrant {
    const { id: target, address, born } = granted
    const { permit, holder, workClass, prefix, digest, due, ran, sinceStart, caller } = request
    const now = this.#now
    this.#countZone(request.zone, this.#choice.zoneCauseOf(granted, request))
    this.#slots.recordGrant({ permit, holder, target, address, born, workClass, account: caller?.account, prefix, digest, due, ran, startedAt: now - sinceStart, grantedAt: now, zone: request.zone, slotsInUse: granted.granted + 1, isPrefixCached: this.#prefixAffinity.targetOf(prefix) === target, revoked: false })
    this.#online.recordGranted(request, now)
    this.#health.onGranted(target, now)
    this.#pacing.onGranted(granted, permit, now)
    this.#countCutOffGrant(holder)
    this.#prefixAffinity.recordGrant(prefix, target)
    this.quarantine.onDispatched(permit, contentOf(request), now)
    return { kind: DecisionKind.Grant, permit, holder, target, address }
  }

  #countZone (zone: string, cause: ZoneCause): void {
    const counts = this.#zoneGrants.get(zone) ?? new Map<ZoneCause, number>()
    this.#zoneGrants.set(zone, counts)
    counts.set(cause, (counts.get(cause) ?? 0) + 1)
  }

  #countCutOffGrant (holder: string): void {
    if (this.#health.isCutOff(holder, this.#now)) {
      this.#cutOffGrants.set(holder, [...this.#cutOffGrants.get(holder) ?? [], this.#now].slice(-maximumCutOffGrants))
    } else {
      this.#cutOffGrants.delete(holder)
    }
  }

  #grantWaiting (): readonly SlotDecision[] {
    const decisions: SlotDecision[] = []
    if (this.#online.versions.some(version => this.#hasRoom(version))) {
      this.#grantWaitingOnline(decisions)
    }
    if (!this.#isOnlineWaiting() && this.#batch.length > 0 && this.#now >= this.#batchBlockedUntil) {
      this.#grantWaitingBatch(decisions)
    }
    return decisions
  }

  /**
   * Whether an online request waits for any slot, and not for the end of another request with some of its content or for its holder to
   * reach targets. Those that continue a stream do not count: a slot that is free after {@link #grantWaitingOnline} is of no use to them.
   */
  #isOnlineWaiting (): boolean {
    if (!this.#online.versions.includes(null) || (!this.quarantine.isActive && !this.#health.hasCutOffHolders)) {
      return this.#online.versions.includes(null)
    }
    return this.#online.some(request => {
      return request.continues === null && !this.#health.isCutOff(request.holder, this.#now) && this.#admitsContent(request)
    })
  }

  /** Whether a request has to leave the free slots to holders that reach targets, since its own probably reaches none. */
  #isHeldBack ({ holder }: SlotRequest): boolean {
    const now = this.#now
    const [earliest = -Infinity, ...later] = this.#cutOffGrants.get(holder) ?? []
    const hasSpentGrants = later.length + 1 >= maximumCutOffGrants && now - earliest < cutOffGrantMilliseconds
    if (!hasSpentGrants || !this.#health.isCutOff(holder, now)) {
      return false
    }
    const failingSince = this.#health.failingSince(holder) ?? now
    return this.#slots.countGranted(holder, failingSince, now - answeringMilliseconds) === 0 && this.#freeSlots() <= this.#usableSlots() * plentyShare
  }

  /** Appends the grants to `decisions`. */
  #grantWaitingOnline (decisions: SlotDecision[]): void {
    const granted = new Set<string>()
    for (const { request } of this.#online.inOrder(this.#now)) {
      const result = this.#grantOnline(request)
      if (result.length > 0) {
        granted.add(request.permit)
        decisions.push(...result)
      }
      if (!this.#hasRoom(null)) {
        break
      }
    }
    if (granted.size > 0) {
      this.#online.remove(({ request }) => granted.has(request.permit))
    }
  }

  /** Appends the grants to `decisions`. */
  #grantWaitingBatch (decisions: SlotDecision[]): void {
    if (!this.#hasRoomForBatch()) {
      return
    }
    const heldBack = new Set<string>()
    for (const request of this.#batch.inOrder(this.#now, account => this.#slots.heldBy(account))) {
      // A holder that is held back stays so until all items have been examined.
      if (heldBack.has(request.holder) || this.#isHeldBack(request)) {
        heldBack.add(request.holder)
        continue
      }
      const version = versionOf(request)
      const mayFit = this.#sound.freeOf(version) > 0 || this.#hasUnsound(version)
      if (!mayFit || !this.#admitsContent(request)) {
        continue
      }
      // A target on trial is no use to online requests, so batch work tries it whatever the headroom.
      const target = this.#selectTarget(request, TargetAvailability.OnTrial) ??
        (this.#freeSlots() > this.#headroom() ? this.#selectTarget(request, TargetAvailability.Available) : null)
      if (target !== null) {
        this.#batch.delete(request.permit)
        decisions.push(this.#grant(request, target))
      }
      if (!this.#hasRoomForBatch()) {
        return
      }
    }
  }

  /** Returns why no slot suits a waiting request that may get one otherwise. */
  #slotCauseOf (request: SlotRequest): WaitCause {
    const hasRoom = request.workClass === WorkClass.Online || this.#freeSlots() > this.#headroom()
    const isUnserved = this.#selectTarget(request, TargetAvailability.Available) === null && this.#selectTarget(request, TargetAvailability.OnTrial) === null
    if (request.continues !== null && hasRoom && isUnserved && this.#selectTarget({ ...request, continues: null }, TargetAvailability.Available) !== null) {
      return WaitCause.VersionTaken
    }
    let cause: WaitCause = hasRoom && isUnserved && this.#sound.freeOf(versionOf(request)) > 0 ? WaitCause.Suspended : WaitCause.Full
    for (const target of this.#unsound) {
      if (target.granted >= target.slots || !isOfVersion(target, request)) {
        continue
      }
      if (!this.#choice.hasAllowance(target, this.#now)) {
        return WaitCause.Limited
      }
      if (!this.#choice.allows(target, request, this.#moment)) {
        cause = WaitCause.Yields
      } else if (cause === WaitCause.Full && this.#health.availabilityFor(target.id, request.holder, this.#now) === TargetAvailability.Suspended) {
        cause = WaitCause.Suspended
      }
    }
    return cause
  }

  #hasRoomForBatch (): boolean {
    return this.#freeSlots() > this.#headroom() ||
      [...this.#unsound].some(target => this.#health.availabilityFor(target.id, null, this.#now) === TargetAvailability.OnTrial && this.#choice.hasAllowance(target, this.#now))
  }

  /** Slots that batch work leaves free: fewer than rate limits ever allow at once, so that it runs when nothing else does. */
  #headroom (): number {
    const { headroom } = this.options
    if (this.#sound.slots > headroom) {
      return this.batchRoom.slotsLeft(this.#now, { slots: this.#sound.slots, minimum: headroom, hasUrgent: milliseconds => this.#batch.hasUrgent(this.#now, milliseconds) })
    }
    const greatest = this.#sound.slots + this.#sumOfUnsound(target => Math.min(target.slots, this.#pacing.greatestAllowanceOf(target, this.#now)))
    return Math.min(headroom, Math.max(0, greatest - 1))
  }

  /** Whether an online request might get a slot on a target of the version, or on any for null: one is free, or can be taken from batch work. */
  #hasRoom (version: string | null): boolean {
    return this.#sound.freeOf(version) > 0 || this.#hasUnsound(version) || this.#preemptibleOf(version) > 0
  }

  /** Whether an unsound target has a slot for some holder, so that waiting requests are worth examining. */
  #hasUnsound (version: string | null): boolean {
    for (const target of this.#unsound) {
      const isFree = target.granted < target.slots && this.#choice.hasAllowance(target, this.#now)
      if (isFree && (version === null || target.softwareVersion === version) && this.#health.availabilityFor(target.id, null, this.#now) !== TargetAvailability.Suspended) {
        return true
      }
    }
    return false
  }

  /** Returns the number of batch slots that may be preempted, without those of targets whose rate limits allow no request at present. */
  #preemptibleOf (version: string | null): number {
    let count = this.#slots.preemptible.countOf(version)
    for (const target of this.#unsound) {
      const isOther = version !== null && target.softwareVersion !== version
      count -= isOther || this.#choice.hasAllowance(target, this.#now) ? 0 : target.granted - target.online
    }
    return count
  }

  /** Returns the best target with a free slot of those that are available in this way, or null if there is none. */
  #selectTarget (request: SlotRequest, availability: TargetAvailability): TargetSlots | null {
    return this.#choice.select(request, availability, this.#moment)
  }

  get #moment (): ChoiceMoment {
    return { now: this.#now, isOnlinePressed: this.#now - this.#onlinePressureAt < onlinePressureMilliseconds }
  }

  #recordOutcome (held: GrantedSlot, outcome: SlotOutcome): void {
    const now = this.#now
    if (outcome === SlotOutcome.Finished) {
      this.quarantine.onCompleted(contentOf(held))
    } else if (outcome === SlotOutcome.NotRun || outcome === SlotOutcome.Full) {
      this.quarantine.onNotRun(held.permit, contentOf(held), now)
    } else {
      // What its holder stopped for its own reasons, or a target that lives broke off or answered with a failure, is no crash.
      const isWithdrawn = outcome === SlotOutcome.Broken || answerOutcomes.has(outcome) || (held.workClass === WorkClass.Batch && outcome === SlotOutcome.Stopped)
      this.quarantine.onEnded(held.permit, contentOf(held), now, !outcomesWithoutRun.has(outcome), outcome === SlotOutcome.Crashed, isWithdrawn)
    }
    this.#health.recordOutcome(held.target, held.holder, outcome, now)
    if (answerOutcomes.has(outcome)) {
      this.#onAnswered(held)
    }
    if (outcome === SlotOutcome.Finished && held.workClass === WorkClass.Online) {
      this.#holdTime.add(Math.max(0, now - held.grantedAt))
    } else if (outcome === SlotOutcome.Finished) {
      this.#batch.recordFinished(held.ran + Math.max(0, now - held.grantedAt), Math.max(0, now - held.startedAt))
    } else if (outcome === SlotOutcome.Unreachable || outcome === SlotOutcome.Replaced) {
      this.#prefixAffinity.removeTarget(held.target)
    }
    const target = this.#slots.target(held.target)
    if (target !== undefined) {
      this.#onTargetChanged(target)
    }
  }

  /** Frees the slot of a permit without a release of its holder. */
  #drop (permit: string): void {
    const slot = this.#slots.release(permit)
    if (slot !== undefined) {
      this.#onEndsLost([slot], TrialEnd.Unreported)
    }
  }

  #onEndsLost (slots: readonly GrantedSlot[], end: typeof TrialEnd.HolderLost | typeof TrialEnd.Unreported): void {
    for (const slot of slots) {
      const mayHaveCrashed = this.#slots.target(slot.target)?.born !== slot.born || this.#crashes.isReportedSince(slot.target, slot.grantedAt)
      this.quarantine.onEndLost(slot, end, mayHaveCrashed, this.#now, slot.workClass === WorkClass.Batch)
    }
  }

  #onAnswered ({ target, holder, grantedAt }: GrantedSlot): void {
    this.#crashes.onContact(holder)
    for (const other of this.#crashes.onAnswered(target, holder, grantedAt, this.#now)) {
      this.#health.onRefuted(target, other, this.#now)
    }
  }

  /** @param ahead what is served before the request; null where no request has a client account */
  #refuse (request: SlotRequest, ahead: RequestsAhead | null): SlotDecision {
    this.#onlinePressureAt = this.#now
    if (!this.#admitsContent(request)) {
      return refusalOf(request, RefusalReason.Quarantined, this.#quarantinedFor(request))
    }
    const retryAfter = Math.ceil(this.#forecast.nextReturn(this.#now, this.#requestsPerMillisecond(), request.latestReturn, request.caller))
    return { ...refusalOf(request, RefusalReason.Busy, retryAfter), ...standingMark(request, ahead, count => this.#expectedWait(count + 1) <= request.patience) }
  }

  /** Returns why no target can continue the stream of a request, or null if one can, or may again, and for requests that continue none. */
  #versionRefusalOf ({ continues }: SlotRequest): RefusalReason | null {
    if (continues === null) {
      return null
    }
    const beginner = this.#slots.target(continues.target)
    if (beginner !== undefined && beginner.born !== continues.born && beginner.softwareVersion !== continues.softwareVersion) {
      return RefusalReason.VersionUnknown
    }
    // Without any target, those of the version are as likely to come back as others.
    const isGone = this.#slots.stayingOf(continues.softwareVersion) === 0 && this.#slots.stayingOf(null) > 0
    return isGone ? RefusalReason.VersionGone : null
  }

  /** Rejects the waiting requests that no target can continue, batch work included, whose holders may begin anew. */
  #refuseWithoutVersion (): readonly SlotDecision[] {
    const online = this.#online.remove(({ request }) => this.#versionRefusalOf(request) !== null).map(({ request }) => request)
    const batch = this.#batch.remove(request => this.#versionRefusalOf(request) !== null)
    return [...online, ...batch].flatMap(request => {
      const reason = this.#versionRefusalOf(request)
      return reason === null ? [] : [refusalOf(request, reason, request.latestReturn)]
    })
  }

  #admitsContent (request: SlotRequest): boolean {
    return this.quarantine.decide(contentOf(request), this.#now).admission === QuarantineAdmission.Admitted && this.#trialLeftFor(request) === 0
  }

  /**
   * Returns the milliseconds for which a request is held back because it would be a trial of what is in quarantine and its holder may be cut
   * off: a trial that fails for that extends the quarantine.
   */
  #trialLeftFor (request: SlotRequest): number {
    const due = this.#health.failingSince(request.holder) === null ? null : this.quarantine.trialDueFor(contentOf(request), this.#now)
    return due === null ? 0 : Math.max(0, trialLeftMilliseconds - due)
  }

  #quarantinedFor (request: SlotRequest): number {
    return Math.max(this.quarantine.decide(contentOf(request), this.#now).retryAfter, this.#trialLeftFor(request))
  }

  /** Rejects the waiting online requests that have been quarantined since they were queued. */
  #refuseQuarantined (): readonly SlotDecision[] {
    if (!this.quarantine.hasQuarantined) {
      return []
    }
    const isQuarantined = (request: SlotRequest): boolean => this.quarantine.decide(contentOf(request), this.#now).admission === QuarantineAdmission.Quarantined
    return this.#online.remove(({ request }) => isQuarantined(request)).map(({ request }) => {
      return refusalOf(request, RefusalReason.Quarantined, this.quarantine.decide(contentOf(request), this.#now).retryAfter)
    })
  }

  /** Milliseconds in which the next waiting request can start. */
  #millisecondsPerRequest (): number {
    const rate = this.#requestsPerMillisecond()
    return rate > 0 ? 1 / rate : this.#holdTime.value
  }

  /** Returns the milliseconds in which a request can start that is at this position of the queue, counted from 1. */
  #expectedWait (position: number): number {
    const perRequest = this.#millisecondsPerRequest()
    return Math.min(position * perRequest, this.#nextAllowance() + (position - 1) * perRequest)
  }

  /** Milliseconds until a rate limit allows a request on a target with a free slot; Infinity if no target names one. */
  #nextAllowance (): number {
    let next = Infinity
    for (const target of this.#unsound) {
      const isCandidate = target.granted < target.slots && this.#pacing.isLimited(target, this.#now)
      next = isCandidate ? Math.min(next, this.#pacing.waitFor(target, this.#now)) : next
    }
    return next
  }

  /** Requests a millisecond that can start: as slots become free, and no more than rate limits allow. */
  #requestsPerMillisecond (): number {
    return this.#sound.slots / this.#holdTime.value + this.#sumOfUnsound(target => Math.min(target.slots / this.#holdTime.value, this.#pacing.rateOf(target)))
  }

  #usableSlots (): number {
    return this.#sound.slots + this.#sumOfUnsound(target => target.slots)
  }

  #freeSlots (): number {
    return this.#sound.free + this.#sumOfUnsound(target => Math.min(Math.max(0, target.slots - target.granted), this.#pacing.allowanceOf(target, this.#now)))
  }

  #sumOfUnsound (valueOf: (target: TargetSlots) => number): number {
    let sum = 0
    for (const target of this.#unsound) {
      sum += this.#health.availabilityFor(target.id, null, this.#now) === TargetAvailability.Available ? valueOf(target) : 0
    }
    return sum
  }
}
