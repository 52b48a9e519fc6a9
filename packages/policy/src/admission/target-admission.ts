/** Admission of requests to one target, decided by the target's owner. */
import { PermitRefusal, WorkClass } from '@arbutusloft/protocol'
import type { Cost, HeldPermit, TargetLoad } from '@arbutusloft/protocol'
import { MovingAverage } from '../util/moving-average.js'
import { BatchFeedback, defaultBatchFeedback } from './batch-feedback.js'
import type { BatchFeedbackOptions } from './batch-feedback.js'
import { BatchOrder } from './batch-order.js'
import { DecisionKind } from './decision.js'
import type { Decision, RefuseDecision } from './decision.js'

/** A request for a permit. */
export interface AdmissionRequest {
  readonly permit: string
  /** The process that asks, by its link. */
  readonly holder: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the holder is willing to wait. */
  readonly patience: number
  readonly slack: number
  /** The client's share of batch slots relative to others. */
  readonly weight: number
}

/** What a holder saw of a request when it returns the permit. */
export interface AdmissionOutcome {
  readonly timeToFirstToken: number | null
  readonly timeBetweenTokens: number | null
}

/** Options of {@link TargetAdmission}. */
export interface TargetAdmissionOptions {
  /** Requests that the target runs at once without queueing them. */
  readonly concurrency: number
  /** Slots that batch work leaves free for the next online request. */
  readonly headroom: number
  readonly feedback?: BatchFeedbackOptions
}

interface Granted {
  readonly holder: string
  readonly workClass: WorkClass
  readonly cost: Cost
  readonly grantedAt: number
  revoked: boolean
}

interface Waiting extends AdmissionRequest {
  readonly since: number
}

const initialHoldMilliseconds = 1_000
const holdWeight = 0.1
const leavingRetryMilliseconds = 0

/** Soft state: lost with its owner, and rebuilt from what holders register. */
export class TargetAdmission {
  readonly #granted = new Map<string, Granted>()
  readonly #feedback: BatchFeedback
  readonly #order = new BatchOrder()
  readonly #hold = new MovingAverage(initialHoldMilliseconds, holdWeight)
  #online: Waiting[] = []
  #batch: Waiting[] = []
  #leaving = false
  #foreign = 0

  constructor (private readonly target: string, private readonly options: TargetAdmissionOptions) {
    this.#feedback = new BatchFeedback(options.concurrency, options.feedback ?? defaultBatchFeedback)
  }

  /** Decides on a request: at once, or later when a permit comes free. */
  request (request: AdmissionRequest, now: number): readonly Decision[] {
    if (this.#leaving) {
      return [refuse(request, PermitRefusal.TargetLeaving, leavingRetryMilliseconds)]
    }
    if (this.#granted.has(request.permit)) {
      return [grant(request)]
    }
    return request.workClass === WorkClass.Online
      ? this.#requestOnline(request, now)
      : this.#requestBatch(request, now)
  }

  /** Takes a permit back from its holder. Unknown permits were released before. */
  release (permit: string, outcome: AdmissionOutcome, now: number): readonly Decision[] {
    const granted = this.#granted.get(permit)
    if (granted === undefined) {
      return []
    }
    this.#granted.delete(permit)
    if (granted.workClass === WorkClass.Online) {
      this.#hold.add(Math.max(0, now - granted.grantedAt))
      this.#feedback.observe(outcome.timeToFirstToken, outcome.timeBetweenTokens, granted.grantedAt, now)
    }
    return this.#fill(now)
  }

  /** The holder no longer waits. */
  withdraw (permit: string): void {
    this.#online = this.#online.filter(waiting => waiting.permit !== permit)
    this.#batch = this.#batch.filter(waiting => waiting.permit !== permit)
  }

  /** A holder tells of a permit that another owner granted, or that this one forgot. */
  register (held: HeldPermit, holder: string, now: number): void {
    const { workClass, cost } = held
    this.#granted.set(held.permit, { holder, workClass, cost, grantedAt: now, revoked: false })
  }

  /** A holder's link broke: its requests are dropped, and it keeps its permits for now. */
  dropWaiting (holder: string): void {
    this.#online = this.#online.filter(waiting => waiting.holder !== holder)
    this.#batch = this.#batch.filter(waiting => waiting.holder !== holder)
  }

  /** A holder has only these permits left, or none if it is gone: the others come free. */
  keepOnly (holder: string, permits: ReadonlySet<string>, now: number): readonly Decision[] {
    for (const [permit, granted] of this.#granted) {
      if (granted.holder === holder && !permits.has(permit)) {
        this.#granted.delete(permit)
      }
    }
    return this.#fill(now)
  }

  /** The target runs work that this owner did not grant, by its lagging load report. */
  setForeign (requests: number): void {
    this.#foreign = requests
  }

  /** Hands everything over to an admission of the same target with other options. */
  moveTo (successor: TargetAdmission, now: number): void {
    for (const [permit, { holder, workClass, cost }] of this.#granted) {
      successor.register({ permit, target: this.target, workClass, client: '', cost }, holder, now)
    }
    successor.#online = this.#online
    successor.#batch = this.#batch
    successor.#leaving = this.#leaving
  }

  /** Whether nothing is granted and nobody waits. */
  get idle (): boolean {
    return this.#granted.size === 0 && this.#online.length === 0 && this.#batch.length === 0
  }

  /** Number of permits granted and not returned. */
  get granted (): number {
    return this.#granted.size
  }

  /** The target leaves: everything that waits is refused, what runs goes on. */
  leave (): readonly Decision[] {
    this.#leaving = true
    const waiting = [...this.#online, ...this.#batch]
    this.#online = []
    this.#batch = []
    return waiting.map(request => refuse(request, PermitRefusal.TargetLeaving, leavingRetryMilliseconds))
  }

  /** The target takes work again. */
  stay (): void {
    this.#leaving = false
  }

  /** Adjusts to observed latency and refuses those whose patience has run out. */
  tick (now: number): readonly Decision[] {
    this.#feedback.adjust(now)
    const decisions = this.#refuseImpatient(now)
    return [...decisions, ...this.#revokeOver(this.#batchLimit()), ...this.#fill(now)]
  }

  /** The target's load, as told to holders. */
  load (): TargetLoad {
    const online = this.#count(WorkClass.Online)
    return {
      target: this.target,
      online,
      batch: this.#granted.size - online,
      waiting: this.#online.length,
      batchRoom: Math.max(0, this.#batchRoom() - this.#batch.length),
      expectedWait: this.#expectedWait()
    }
  }

  #requestOnline (request: AdmissionRequest, now: number): readonly Decision[] {
    if (this.#count(WorkClass.Online) < this.options.concurrency) {
      return this.#grantOnline(request, now)
    }
    const wait = this.#expectedWait()
    if (wait > request.patience) {
      return [refuse(request, PermitRefusal.Busy, Math.ceil(wait - request.patience))]
    }
    this.#online.push({ ...request, since: now })
    return []
  }

  #requestBatch (request: AdmissionRequest, now: number): readonly Decision[] {
    this.#batch.push({ ...request, since: now })
    return this.#fill(now)
  }

  // The grant does not wait for the revoked stream to stop: the engine may run one request
  // too many for that moment, and the online caller does not pay for the round trip.
  #grantOnline (request: AdmissionRequest, now: number): readonly Decision[] {
    this.#grant(request, now)
    return [grant(request), ...this.#revokeOver(this.#batchLimit())]
  }

  #grant (request: AdmissionRequest, now: number): void {
    const { holder, workClass, cost } = request
    this.#granted.set(request.permit, { holder, workClass, cost, grantedAt: now, revoked: false })
  }

  #fill (now: number): readonly Decision[] {
    const decisions: Decision[] = []
    while (this.#online.length > 0 && this.#count(WorkClass.Online) < this.options.concurrency) {
      const next = this.#online.shift()
      if (next !== undefined) {
        decisions.push(...this.#grantOnline(next, now))
      }
    }
    let room = this.#batchRoom()
    while (room > 0 && this.#batch.length > 0) {
      const [next] = this.#batch.splice(this.#order.next(this.#batch), 1)
      if (next !== undefined) {
        this.#grant(next, now)
        this.#order.onGranted(next)
        decisions.push(grant(next))
      }
      room -= 1
    }
    return decisions
  }

  /** Batch requests that may run now; without online requests there is nobody to harm. */
  #batchLimit (): number {
    const online = this.#count(WorkClass.Online)
    const free = this.options.concurrency - online
    return online === 0 ? free : Math.max(0, Math.min(this.#feedback.limit, free))
  }

  #batchRoom (): number {
    if (this.#leaving || this.#online.length > 0) {
      return 0
    }
    const free = this.options.concurrency - this.options.headroom - this.#granted.size - this.#foreign
    return Math.max(0, Math.min(free, this.#batchLimit() - this.#count(WorkClass.Batch)))
  }

  #revokeOver (limit: number): readonly Decision[] {
    const running = [...this.#granted].filter(([, granted]) => {
      return granted.workClass === WorkClass.Batch && !granted.revoked
    })
    const excess = running.length - limit
    if (excess <= 0) {
      return []
    }
    // The youngest have the least to lose and the most still to do.
    running.sort(([, left], [, right]) => right.grantedAt - left.grantedAt)
    return running.slice(0, excess).map(([permit, granted]) => {
      granted.revoked = true
      return { kind: DecisionKind.Revoke, permit, holder: granted.holder }
    })
  }

  #refuseImpatient (now: number): readonly Decision[] {
    const expired = (waiting: Waiting): boolean => now - waiting.since > waiting.patience
    const refused = [...this.#online, ...this.#batch].filter(expired)
    this.#online = this.#online.filter(waiting => !expired(waiting))
    this.#batch = this.#batch.filter(waiting => !expired(waiting))
    const retryAfter = Math.ceil(this.#expectedWait())
    return refused.map(waiting => refuse(waiting, PermitRefusal.Busy, retryAfter))
  }

  #expectedWait (): number {
    const ahead = this.#count(WorkClass.Online) - this.options.concurrency + this.#online.length + 1
    return Math.max(0, ahead) * this.#hold.value / this.options.concurrency
  }

  #count (workClass: WorkClass): number {
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
