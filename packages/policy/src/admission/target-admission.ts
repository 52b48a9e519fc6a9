/** Admission control for one target, run by the target's owner. */
import { PermitRefusal, WorkClass } from '@arbutusloft/protocol'
import type { Cost, HeldPermit, TargetLoad } from '@arbutusloft/protocol'
import { MovingAverage } from '../util/moving-average.js'
import { BatchFeedback, defaultBatchFeedbackOptions } from './batch-feedback.js'
import type { BatchFeedbackOptions } from './batch-feedback.js'
import { BatchOrder } from './batch-order.js'
import { DecisionKind } from './decision.js'
import type { Decision, RefuseDecision } from './decision.js'

/** Request for a permit. */
export interface AdmissionRequest {
  readonly permit: string
  /** Process that sends the request and will hold the permit, as identified on its link. */
  readonly holder: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the holder waits for the permit at most. */
  readonly patience: number
  /**
   * Batch: milliseconds from the estimated end of the job's remaining work to its deadline, negative if it will be late;
   * 0 for online requests.
   */
  readonly slack: number
  /** The client's share of batch slots relative to other clients. */
  readonly weight: number
}

/** Latencies that a holder measured by the time it returned the permit, in milliseconds; null if not measured. */
export interface AdmissionOutcome {
  readonly timeToFirstToken: number | null
  readonly timeBetweenTokens: number | null
}

/** Options of {@link TargetAdmission}. */
export interface TargetAdmissionOptions {
  /** Number of requests that the target runs concurrently without queueing. */
  readonly concurrency: number
  /** Slots that batch work leaves free, so that the next online request starts at once. */
  readonly headroom: number
  readonly feedback?: BatchFeedbackOptions
}

interface GrantedPermit {
  readonly holder: string
  readonly workClass: WorkClass
  readonly cost: Cost
  /** Time in milliseconds since the epoch. */
  readonly grantedAt: number
  revoked: boolean
}

interface WaitingRequest extends AdmissionRequest {
  /** Time in milliseconds since the epoch. */
  readonly queuedAt: number
}

/** Initial value of the moving average of the time for which online requests hold their permits. */
const initialHoldTimeMilliseconds = 1_000
/** Weight of the newest sample in that average. */
const holdTimeWeight = 0.1
/** Holders need not wait before they ask for a permit of another target. */
const drainingRetryMilliseconds = 0

/**
 * Grants permits for one target: online requests first, batch requests as far as online latency allows.
 *
 * The state is soft state: it is lost when the owner fails, and the next owner rebuilds it from the permits that holders register.
 */
export class TargetAdmission {
  readonly #granted = new Map<string, GrantedPermit>()
  readonly #feedback: BatchFeedback
  readonly #batchOrder = new BatchOrder()
  readonly #holdTime = new MovingAverage(initialHoldTimeMilliseconds, holdTimeWeight)
  #waitingOnline: WaitingRequest[] = []
  #waitingBatch: WaitingRequest[] = []
  #draining = false
  #externalRequests = 0

  constructor (private readonly target: string, private readonly options: TargetAdmissionOptions) {
    this.#feedback = new BatchFeedback(options.concurrency, options.feedback ?? defaultBatchFeedbackOptions)
  }

  /** Decides on a request. Returns no decision for it if it has to wait; a later call then returns the decision. */
  request (request: AdmissionRequest, now: number): readonly Decision[] {
    if (this.#draining) {
      return [refuse(request, PermitRefusal.TargetLeaving, drainingRetryMilliseconds)]
    }
    if (this.#granted.has(request.permit)) {
      return [grant(request)]
    }
    return request.workClass === WorkClass.Online
      ? this.#requestOnline(request, now)
      : this.#requestBatch(request, now)
  }

  /**
   * Releases a permit and returns the resulting decisions. Ignores unknown permits: they were released before, or granted
   * by an earlier owner and not registered here.
   */
  release (permit: string, outcome: AdmissionOutcome, now: number): readonly Decision[] {
    const granted = this.#granted.get(permit)
    if (granted === undefined) {
      return []
    }
    this.#granted.delete(permit)
    if (granted.workClass === WorkClass.Online) {
      this.#holdTime.add(Math.max(0, now - granted.grantedAt))
      this.#feedback.observe(outcome.timeToFirstToken, outcome.timeBetweenTokens, granted.grantedAt, now)
    }
    return this.#grantWaiting(now)
  }

  /** Removes a waiting request that its holder has given up. */
  withdraw (permit: string): void {
    this.#waitingOnline = this.#waitingOnline.filter(waiting => waiting.permit !== permit)
    this.#waitingBatch = this.#waitingBatch.filter(waiting => waiting.permit !== permit)
  }

  /** Registers a held permit that another owner granted, or that this owner freed while the holder was disconnected. */
  register (held: HeldPermit, holder: string, now: number): void {
    const { workClass, cost } = held
    this.#granted.set(held.permit, { holder, workClass, cost, grantedAt: now, revoked: false })
  }

  /** Removes the waiting requests of a holder whose link broke; its permits stay granted until it reconnects or is given up. */
  dropWaiting (holder: string): void {
    this.#waitingOnline = this.#waitingOnline.filter(waiting => waiting.holder !== holder)
    this.#waitingBatch = this.#waitingBatch.filter(waiting => waiting.holder !== holder)
  }

  /** Frees all permits of a holder except the given ones (none if the holder failed) and returns the resulting decisions. */
  freeOtherPermits (holder: string, permits: ReadonlySet<string>, now: number): readonly Decision[] {
    for (const [permit, granted] of this.#granted) {
      if (granted.holder === holder && !permits.has(permit)) {
        this.#granted.delete(permit)
      }
    }
    return this.#grantWaiting(now)
  }

  /** Sets the number of requests on the target that this owner did not grant, derived from the target's delayed load reports. */
  setExternalRequests (requests: number): void {
    this.#externalRequests = requests
  }

  /** Transfers permits and waiting requests to an admission of the same target that has other options. */
  transferTo (successor: TargetAdmission, now: number): void {
    for (const [permit, { holder, workClass, cost }] of this.#granted) {
      // Admission control does not need the client after the grant, so it is left empty.
      successor.register({ permit, target: this.target, workClass, client: '', cost }, holder, now)
    }
    successor.#waitingOnline = this.#waitingOnline
    successor.#waitingBatch = this.#waitingBatch
    successor.#draining = this.#draining
  }

  /** Whether no permit is granted and no request waits. */
  get isIdle (): boolean {
    return this.#granted.size === 0 && this.#waitingOnline.length === 0 && this.#waitingBatch.length === 0
  }

  /** Number of permits granted and not returned. */
  get grantedCount (): number {
    return this.#granted.size
  }

  /** Starts draining the target: rejects all waiting requests and those that follow; granted requests run on. */
  startDraining (): readonly Decision[] {
    this.#draining = true
    const waiting = [...this.#waitingOnline, ...this.#waitingBatch]
    this.#waitingOnline = []
    this.#waitingBatch = []
    return waiting.map(request => refuse(request, PermitRefusal.TargetLeaving, drainingRetryMilliseconds))
  }

  /** Ends draining, so that requests are granted again. */
  stopDraining (): void {
    this.#draining = false
  }

  /**
   * Adjusts the batch limit to observed latency, rejects requests that have waited too long, revokes batch permits over
   * the limit and grants free slots.
   */
  tick (now: number): readonly Decision[] {
    this.#feedback.adjust(now)
    const decisions = this.#refuseExpired(now)
    return [...decisions, ...this.#revokeExcessBatch(this.#batchLimit()), ...this.#grantWaiting(now)]
  }

  /** Returns the target's load, as reported to holders. */
  load (): TargetLoad {
    const online = this.#countGranted(WorkClass.Online)
    return {
      target: this.target,
      online,
      batch: this.#granted.size - online,
      waiting: this.#waitingOnline.length,
      batchRoom: Math.max(0, this.#availableBatchSlots() - this.#waitingBatch.length),
      expectedWait: this.#expectedWait()
    }
  }

  #requestOnline (request: AdmissionRequest, now: number): readonly Decision[] {
    if (this.#countGranted(WorkClass.Online) < this.options.concurrency) {
      return this.#grantOnline(request, now)
    }
    const wait = this.#expectedWait()
    if (wait > request.patience) {
      return [refuse(request, PermitRefusal.Busy, Math.ceil(wait - request.patience))]
    }
    this.#waitingOnline.push({ ...request, queuedAt: now })
    return []
  }

  #requestBatch (request: AdmissionRequest, now: number): readonly Decision[] {
    this.#waitingBatch.push({ ...request, queuedAt: now })
    return this.#grantWaiting(now)
  }

  // The grant is returned together with the revocations, without waiting until the revoked requests have stopped: the
  // engine may run one request too many for that moment, and the online request is spared a round trip.
  #grantOnline (request: AdmissionRequest, now: number): readonly Decision[] {
    this.#grant(request, now)
    return [grant(request), ...this.#revokeExcessBatch(this.#batchLimit())]
  }

  #grant (request: AdmissionRequest, now: number): void {
    const { holder, workClass, cost } = request
    this.#granted.set(request.permit, { holder, workClass, cost, grantedAt: now, revoked: false })
  }

  #grantWaiting (now: number): readonly Decision[] {
    const decisions: Decision[] = []
    while (this.#waitingOnline.length > 0 && this.#countGranted(WorkClass.Online) < this.options.concurrency) {
      const next = this.#waitingOnline.shift()
      if (next !== undefined) {
        decisions.push(...this.#grantOnline(next, now))
      }
    }
    let availableSlots = this.#availableBatchSlots()
    while (availableSlots > 0 && this.#waitingBatch.length > 0) {
      const [next] = this.#waitingBatch.splice(this.#batchOrder.next(this.#waitingBatch), 1)
      if (next !== undefined) {
        this.#grant(next, now)
        this.#batchOrder.onGranted(next)
        decisions.push(grant(next))
      }
      availableSlots -= 1
    }
    return decisions
  }

  /**
   * Maximum number of batch requests that may run now. Without online requests there is no latency to protect, so batch
   * work may use all slots; otherwise the latency feedback limits it.
   */
  #batchLimit (): number {
    const online = this.#countGranted(WorkClass.Online)
    const free = this.options.concurrency - online
    return online === 0 ? free : Math.max(0, Math.min(this.#feedback.limit, free))
  }

  #availableBatchSlots (): number {
    if (this.#draining || this.#waitingOnline.length > 0) {
      return 0
    }
    const free = this.options.concurrency - this.options.headroom - this.#granted.size - this.#externalRequests
    return Math.max(0, Math.min(free, this.#batchLimit() - this.#countGranted(WorkClass.Batch)))
  }

  #revokeExcessBatch (limit: number): readonly Decision[] {
    const running = [...this.#granted].filter(([, granted]) => {
      return granted.workClass === WorkClass.Batch && !granted.revoked
    })
    const excess = running.length - limit
    if (excess <= 0) {
      return []
    }
    // The requests granted last lose the least progress and have the most work left.
    running.sort(([, left], [, right]) => right.grantedAt - left.grantedAt)
    return running.slice(0, excess).map(([permit, granted]) => {
      granted.revoked = true
      return { kind: DecisionKind.Revoke, permit, holder: granted.holder }
    })
  }

  #refuseExpired (now: number): readonly Decision[] {
    const expired = (waiting: WaitingRequest): boolean => now - waiting.queuedAt > waiting.patience
    const refused = [...this.#waitingOnline, ...this.#waitingBatch].filter(expired)
    this.#waitingOnline = this.#waitingOnline.filter(waiting => !expired(waiting))
    this.#waitingBatch = this.#waitingBatch.filter(waiting => !expired(waiting))
    const retryAfter = Math.ceil(this.#expectedWait())
    return refused.map(waiting => refuse(waiting, PermitRefusal.Busy, retryAfter))
  }

  /** Expected wait of a new request, in milliseconds. */
  #expectedWait (): number {
    // Includes the new request.
    const requestsWithoutSlot = this.#countGranted(WorkClass.Online) - this.options.concurrency + this.#waitingOnline.length + 1
    return Math.max(0, requestsWithoutSlot) * this.#holdTime.value / this.options.concurrency
  }

  #countGranted (workClass: WorkClass): number {
    let count = 0
    for (const granted of this.#granted.values()) {
      if (granted.workClass === workClass) {
        count += 1
      }
    }
    return count
  }
}

function grant (request: AdmissionRequest): Decision {
  return { kind: DecisionKind.Grant, permit: request.permit, holder: request.holder }
}

function refuse (request: AdmissionRequest, reason: PermitRefusal, retryAfter: number): RefuseDecision {
  return { kind: DecisionKind.Refuse, permit: request.permit, holder: request.holder, reason, retryAfter }
}
