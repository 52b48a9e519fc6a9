/**
 * The owner side of slot allocation: runs admission control for every service for which other processes, the holders,
 * send slot requests to this one.
 */
import { DecisionKind, defaultFleetAdmissionOptions, defaultZoneRoutingOptions, FleetAdmission, RefusalReason, TargetRateLimits, WaitCause } from '@arbutusloft/policy'
import type { AnswerTiming, CrashReport, ExpectedTime, FleetTarget, HeldSlot, LeavingTargets, CrashQuarantine, RateLimitChange, RateLimitReport, SoundReport, SlotDecision, SlotOutcome, SlotRequest, VersionHistory, SlotWait, ZoneCause, ZoneRoutingOptions } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { AccountCharging } from '../accounts/account-charging.js'
import type { VersionConfirmation } from '../streams/version-confirmation.js'
import type { TargetFreshness } from '../targets/target-freshness.js'
import type { TargetRegistry, Target } from '../targets/target-registry.js'
import { TargetState } from '../targets/target-registry.js'
import { Alarm } from '../util/alarm.js'

/** Receives the owner's decisions; `decision.holder` is the process to deliver each one to. */
export type DecisionListener = (service: string, decision: SlotDecision) => void

/** A change of a target's rate limit, for logs and metrics. */
export interface ObservedRateLimitChange extends RateLimitChange {
  readonly service: string
  /** Process that told the change: the one to whose request the target answered, or one that passes it on. */
  readonly holder: string
  /** Milliseconds since the answer's head arrived. */
  readonly age: number
  /** Requests that this process has granted on the target in the last 4 s. */
  readonly recentGrants: number
}

/** A change of whether the speeds of a service's targets decide where requests go, for logs. */
export interface SpeedsChange {
  readonly service: string
  readonly areUnequal: boolean
  /** What is known of the targets, the slowest first. */
  readonly times: readonly ExpectedTime[]
}

/** Where the requests of an availability zone went, for metrics. */
export interface ZoneGrants {
  readonly service: string
  /** Zone of the instances that sent the requests. */
  readonly zone: string
  /** Share of its requests that is to leave it while it has free slots. */
  readonly share: number
  /** Grants so far by cause. */
  readonly counts: ReadonlyMap<ZoneCause, number>
}

/** Slots that batch work of a service leaves free for steps of online load, beyond the usual ones. */
export interface ServiceBatchRoom {
  readonly service: string
  readonly slots: number
}

/** Interval at which waiting requests are decided anew: their time may be up, and targets may have become available again. */
const waitingCheckIntervalMilliseconds = 25
/** Interval at which holders are checked for timeouts. */
const holderCheckIntervalMilliseconds = 500
/** Time without a message from a holder after which its slots are freed; holders report several times a second. */
const holderTimeoutMilliseconds = 2_500

/**
 * Time after the first message of a service's first holder during which no batch slots are granted. A new owner does not know what its
 * predecessor granted until every holder has reported the slots that it holds, which takes less than this.
 */
const batchBlockMilliseconds = 400

interface OwnedService {
  readonly admission: FleetAdmission
  /** Time of each holder's last request or report, in milliseconds since the epoch. */
  readonly holders: Map<string, number>
  /** Whether the speeds of targets decide where requests go. */
  areSpeedsUnequal: boolean
}

/** Keeps the soft state of each service for which this process was sent a message; holders' reports rebuild it after a takeover. */
export class SlotOwner {
  readonly #services = new Map<string, OwnedService>()
  readonly #alarm = new Alarm(now => this.#check(now))
  /** Requests, by permit, that arrived while the list of targets was out of date. */
  readonly #deferred = new Map<string, { readonly service: string, readonly request: SlotRequest }>()
  /** Holders of requests, by permit, that wait for {@link SlotOwner.#confirmationOf}. */
  readonly #unconfirmed = new Map<string, string>()
  readonly #speedListeners: Array<(change: SpeedsChange) => void> = []
  readonly #rateLimitListeners: Array<(change: ObservedRateLimitChange) => void> = []
  /** Whether slots are granted, which the list of targets may be too old for. */
  #isGranting = true

  constructor (
    private readonly targets: TargetRegistry,
    private readonly freshness: TargetFreshness,
    private readonly leaving: LeavingTargets,
    private readonly quarantine: CrashQuarantine,
    private readonly versions: VersionHistory,
    private readonly listener: DecisionListener,
    private readonly confirmation: Pick<VersionConfirmation, 'confirm'> | null = null,
    private readonly limits = new TargetRateLimits(),
    private readonly charging: AccountCharging | null = null,
    private readonly zoneOptions: ZoneRoutingOptions = defaultZoneRoutingOptions
  ) {
    targets.onChange(() => { this.#updateTargets() })
    freshness.onRefreshed(() => { this.#updateGranting() })
  }

  /** Passes a request to admission control; returns false if it was queued, and true if it was granted or rejected. */
  request (service: string, request: SlotRequest): boolean {
    const owned = this.#recordContact(service, request.holder)
    const refusal = this.charging?.admit(request) ?? null
    if (refusal !== null) {
      this.#emit(service, [refusal])
      return true
    }
    this.#updateGranting()
    if (!this.#isGranting) {
      this.#deferred.set(request.permit, { service, request })
      return false
    }
    const confirmation = this.#confirmationOf(service, request)
    if (confirmation !== null) {
      void this.#decideOnceConfirmed(service, request, confirmation)
      return false
    }
    return this.#decide(service, owned, request)
  }

  /** Returns why the request of a permit waits, or null if it does not wait here, or only for its stream's version to be confirmed. */
  waitOf (service: string, permit: string): SlotWait | null {
    if (this.#deferred.has(permit)) {
      return { cause: WaitCause.NoTarget, until: 0 }
    }
    return this.#services.get(service)?.admission.waitOf(permit, Date.now()) ?? null
  }

  #decide (service: string, owned: OwnedService, request: SlotRequest): boolean {
    const now = Date.now()
    const known = this.#withOrigin(service, request, now)
    if (known === null) {
      this.#refuseUnknown(service, request)
      return true
    }
    const decisions = owned.admission.request(known, now)
    this.#emit(service, decisions)
    if (owned.admission.hasWaiting) {
      this.#alarm.setBy(now + waitingCheckIntervalMilliseconds)
    }
    return decisions.some(decision => decision.permit === request.permit)
  }

  /**
   * Returns what has to be awaited before a request that continues a stream is decided on, and whether it can be then; null if nothing has to be. The version
   * of a stream that only the history tells has to be confirmed. If it is known, the list is read if possible, since a target may have started again
   * under its id with another version; items are not worth a read each time that they go on.
   */
  #confirmationOf (service: string, { continues, workClass }: SlotRequest): (() => Promise<boolean>) | null {
    const { confirmation, freshness } = this
    if (confirmation === null || continues === null || workClass !== WorkClass.Online) {
      return null
    }
    if (continues.softwareVersion !== '') {
      return async () => {
        await freshness.confirm()
        return true
      }
    }
    return this.versions.soleVersion(service, Date.now()) === null ? null : async () => await confirmation.confirm(service)
  }

  /** Decides on a request once it is confirmed, and rejects it if it cannot be. */
  async #decideOnceConfirmed (service: string, request: SlotRequest, confirm: () => Promise<boolean>): Promise<void> {
    const { permit } = request
    if (this.#unconfirmed.has(permit)) {
      return
    }
    this.#unconfirmed.set(permit, request.holder)
    const isConfirmed = await confirm()
    if (!this.#unconfirmed.delete(permit)) {
      return
    }
    this.#updateGranting()
    if (!isConfirmed) {
      this.#refuseUnknown(service, request)
    } else if (this.#isGranting) {
      this.#decide(service, this.#ensureService(service), request)
    } else {
      this.#deferred.set(permit, { service, request })
    }
  }

  #refuseUnknown (service: string, { permit, holder, latestReturn }: SlotRequest): void {
    this.#emit(service, [{ kind: DecisionKind.Refuse, permit, holder, reason: RefusalReason.VersionUnknown, retryAfter: Math.max(1, latestReturn) }])
  }

  /**
   * Fills in the version that began the stream which a request continues if its holder does not know that: it is certain where the service has
   * had one version for long enough. Returns null if it is not.
   */
  #withOrigin (service: string, request: SlotRequest, now: number): SlotRequest | null {
    if (request.continues === null || request.continues.softwareVersion !== '') {
      return request
    }
    const softwareVersion = this.versions.soleVersion(service, now)
    return softwareVersion === null ? null : { ...request, continues: { ...request.continues, softwareVersion } }
  }

  /**
   * Frees the slot of a permit; the outcome tells admission control about the target's health.
   *
   * @param crash the request that the target crashed under, or null if it has not crashed
   * @param sender as in {@link FleetAdmission.release}
   * @param sound as in {@link FleetAdmission.release}
   * @param timing times of the answer, or null if they are unknown
   */
  release (service: string, permit: string, outcome: SlotOutcome, crash: CrashReport | null, sender = '', sound: SoundReport | null = null, timing: AnswerTiming | null = null): void {
    this.#forgetRequest(permit)
    this.charging?.onReleased(permit, outcome)
    this.#updateGranting()
    const owned = this.#ensureService(service)
    if (timing !== null) {
      this.#recordTiming(service, owned, permit, timing)
    }
    this.#emit(service, owned.admission.release(permit, outcome, Date.now(), crash, sender, sound))
  }

  #recordTiming (service: string, owned: OwnedService, permit: string, timing: AnswerTiming): void {
    const now = Date.now()
    owned.admission.recordTiming(permit, timing, now)
    const areUnequal = owned.admission.areSpeedsUnequal(now)
    if (areUnequal !== owned.areSpeedsUnequal) {
      owned.areSpeedsUnequal = areUnequal
      const times = owned.admission.expectedTimes(Infinity, now)
      this.#speedListeners.forEach(listener => { listener({ service, areUnequal, times }) })
    }
  }

  /** Calls the listener when the speeds of a service's targets begin to decide where requests go, and when they no longer do. */
  onSpeedsChange (listener: (change: SpeedsChange) => void): void {
    this.#speedListeners.push(listener)
  }

  /** Returns what is known of the times to the first event at targets whose slots this process grants, the slowest ones of each service. */
  expectedTimes (maximum: number): readonly ExpectedTime[] {
    const now = Date.now()
    return [...this.#services.values()].flatMap(({ admission }) => admission.expectedTimes(maximum, now)).sort((left, right) => right.expected - left.expected).slice(0, maximum)
  }

  /** Takes note that targets do not crash under a request. */
  onSound (service: string, sound: SoundReport): void {
    this.#emit(service, this.#ensureService(service).admission.onSound(sound, Date.now()))
  }

  /** Removes a waiting request. */
  withdraw (service: string, permit: string): void {
    this.#forgetRequest(permit)
    this.charging?.onWithdrawn(permit)
    this.#ensureService(service).admission.withdraw(permit)
  }

  /** Reconciles the slots of a holder with its report of all slots that it holds. */
  report (service: string, holder: string, held: readonly HeldSlot[]): void {
    const owned = this.#recordContact(service, holder)
    this.#updateGranting()
    this.#emit(service, owned.admission.synchronize(holder, held, Date.now()))
  }

  /** Returns the slots in use and waiting requests of a service, for metrics; null if this process keeps no state for it. */
  serviceLoad (service: string): ReturnType<FleetAdmission['load']> | null {
    return this.#services.get(service)?.admission.load() ?? null
  }

  /** Returns where the requests of each zone went that this process has granted slots. */
  zoneGrants (): readonly ZoneGrants[] {
    return [...this.#services].flatMap(([service, { admission }]) => admission.zoneGrants().map(grants => ({ service, ...grants })))
  }

  /** Returns what batch work of each service whose slots this process grants leaves free for steps of online load. */
  batchRooms (): readonly ServiceBatchRoom[] {
    return [...this.#services].map(([service, { admission }]) => ({ service, slots: admission.batchRoom.current }))
  }

  /** Grants no more slots on targets that have been added to those that leave. */
  onTargetLeaving (): void {
    this.#updateTargets()
  }

  /** Calls the listener when the rate limit of a target changes whose slots this process keeps. */
  onRateLimitChange (listener: (change: ObservedRateLimitChange) => void): void {
    this.#rateLimitListeners.push(listener)
  }

  /**
   * Takes note of what an answer said about the rate limit of its target, or of a request that another owner has granted within it.
   *
   * @param holder process that tells it
   * @param permit as in {@link FleetAdmission.onRateLimit}
   */
  onRateLimit (report: RateLimitReport, holder: string, permit: string | null): void {
    const now = Date.now()
    const change = this.limits.observe(report, now)
    const { service, target, heardAgo } = report
    const admission = this.#services.get(service)?.admission
    if (admission === undefined || (change === null && permit === null)) {
      return
    }
    if (change !== null && this.targets.get(target)?.born === report.born) {
      const observed = { ...change, service, holder, age: heardAgo, recentGrants: admission.recentGrants(target, now) }
      this.#rateLimitListeners.forEach(listener => { listener(observed) })
    }
    this.#emit(service, admission.onRateLimit(target, permit, now))
  }

  close (): void {
    this.#alarm.close()
  }

  /** Records that a holder has sent a message; for the first holder of a service, also blocks batch grants. */
  #recordContact (service: string, holder: string): OwnedService {
    const owned = this.#ensureService(service)
    if (owned.holders.size === 0) {
      owned.admission.blockBatchUntil(Date.now() + batchBlockMilliseconds)
    }
    const now = Date.now()
    owned.holders.set(holder, now)
    this.#alarm.setBy(now + holderCheckIntervalMilliseconds)
    return owned
  }

  /** Returns the state of a service, which is created if there is none. */
  #ensureService (service: string): OwnedService {
    const known = this.#services.get(service)
    if (known !== undefined) {
      return known
    }
    const owned = { admission: new FleetAdmission({ ...defaultFleetAdmissionOptions, ...this.zoneOptions }, this.quarantine, this.limits), holders: new Map<string, number>(), areSpeedsUnequal: false }
    this.#services.set(service, owned)
    owned.admission.setTargets(this.#targetsOf(service), Date.now())
    return owned
  }

  #updateTargets (): void {
    for (const [service, { admission }] of this.#services) {
      this.#emit(service, admission.setTargets(this.#targetsOf(service), Date.now()))
    }
  }

  /** Stops granting slots while the list of targets is out of date, and goes on once it has been read. */
  #updateGranting (): void {
    const isGranting = this.freshness.check()
    if (isGranting === this.#isGranting) {
      return
    }
    this.#isGranting = isGranting
    this.#updateTargets()
    if (isGranting) {
      const deferred = [...this.#deferred.values()]
      this.#deferred.clear()
      for (const { service, request } of deferred) {
        this.request(service, request)
      }
    }
  }

  #targetsOf (service: string): readonly FleetTarget[] {
    return this.targets.ofService(service).map(target => {
      const isLeaving = target.state !== TargetState.Ready || this.leaving.has(target.id, target.born)
      return toFleetTarget(target, this.#isGranting, isLeaving)
    })
  }

  /** Removes holders that have fallen silent and decides waiting requests anew; returns when to check again. */
  #check (now: number): number {
    this.#updateGranting()
    let next = Infinity
    for (const [service, { admission, holders }] of this.#services) {
      for (const [holder, lastMessageAt] of holders) {
        if (now - lastMessageAt > holderTimeoutMilliseconds) {
          holders.delete(holder)
          // Holders say nothing about services whose slots they do not need, and go on with others.
          if (![...this.#services.values()].some(other => other.holders.has(holder))) {
            this.#forgetHolder(holder)
            this.charging?.onHolderLost(holder)
          }
          this.#emit(service, admission.removeHolder(holder, now))
        }
      }
      if (admission.hasWaiting) {
        this.#emit(service, admission.tick(now))
        next = Math.min(next, now + waitingCheckIntervalMilliseconds)
      }
      if (holders.size > 0) {
        next = Math.min(next, now + holderCheckIntervalMilliseconds)
      }
    }
    return next
  }

  #forgetRequest (permit: string): void {
    this.#deferred.delete(permit)
    this.#unconfirmed.delete(permit)
  }

  #forgetHolder (holder: string): void {
    const deferred = [...this.#deferred].filter(([, { request }]) => request.holder === holder)
    const unconfirmed = [...this.#unconfirmed].filter(([, other]) => other === holder)
    for (const [permit] of [...deferred, ...unconfirmed]) {
      this.#forgetRequest(permit)
    }
  }

  #emit (service: string, decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      this.charging?.onDecision(decision)
      this.listener(service, decision)
    }
  }
}

function toFleetTarget (target: Target, isGranting: boolean, isLeaving: boolean): FleetTarget {
  const { id, address, zone, slots, born, softwareVersion } = target
  return { id, address, zone, slots, born, softwareVersion, leaving: isLeaving, accepting: isGranting && !isLeaving }
}
