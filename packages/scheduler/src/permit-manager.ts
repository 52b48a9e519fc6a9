/** Permits of all targets for which holders send requests to this scheduler. */
import { defaultBatchFeedbackOptions, DecisionKind, TargetAdmission } from '@arbutusloft/policy'
import type { Decision } from '@arbutusloft/policy'
import type { Target } from '@arbutusloft/configuration'
import { MessageType, PermitRefusal } from '@arbutusloft/protocol'
import type {
  PermitRegister,
  PermitRequest,
  PermitReturn,
  PermitWithdraw,
  TargetLoad
} from '@arbutusloft/protocol'
import type { Link } from '@arbutusloft/daemon'

/** Information on targets and clients from the configuration and the instance list. */
export interface TargetInformation {
  /** Returns the target's configuration, or null if there is none. */
  target: (name: string) => Target | null
  /** Returns whether the instance list shows the target as live. */
  isLive: (name: string) => boolean
  /** Returns a client's share of batch slots relative to other clients. */
  batchWeight: (client: string) => number
}

/** A target with its admission control and the concurrency for which it was created. */
interface TrackedTarget {
  readonly admission: TargetAdmission
  readonly concurrency: number
}

/** One slot in this many is kept free of batch work. */
const slotsPerHeadroomSlot = 16

/**
 * Runs the admission control of each target and sends its decisions to the holders.
 *
 * Requests are answered without a check of ownership. While two schedulers both regard themselves as a target's owner, they
 * may together grant too many permits, which costs latency but violates no guarantee.
 */
export class PermitManager {
  readonly #tracked = new Map<string, TrackedTarget>()

  /** @param linkOf returns the open link to a holder, or null if there is none */
  constructor (private readonly information: TargetInformation, private readonly linkOf: (holder: string) => Link | null) {}

  /** Handles a holder's request for a permit. */
  request (link: Link, message: PermitRequest): void {
    const { permit, target } = message
    const tracked = this.#getOrCreateTracked(target)
    if (tracked === null || !this.information.isLive(target)) {
      link.send({ type: MessageType.PermitRefuse, permit, reason: PermitRefusal.TargetLeaving, retryAfter: 0 })
      return
    }
    // The target is live again if it was draining.
    tracked.admission.stopDraining()
    const decisions = tracked.admission.request({
      ...message,
      holder: link.peer,
      weight: this.information.batchWeight(message.client)
    }, Date.now())
    this.#sendDecisions(target, decisions)
    if (!decisions.some(decision => decision.permit === permit)) {
      link.send({ type: MessageType.PermitQueued, permit })
    }
  }

  /** Handles a returned permit. */
  release (message: PermitReturn): void {
    const admission = this.#tracked.get(message.target)?.admission
    if (admission !== undefined) {
      this.#sendDecisions(message.target, admission.release(message.permit, message, Date.now()))
    }
  }

  /** Handles the withdrawal of a waiting request. */
  withdraw (message: PermitWithdraw): void {
    this.#tracked.get(message.target)?.admission.withdraw(message.permit)
  }

  /** Registers the permits that a holder reports; a complete report frees the holder's other permits. */
  register (holder: string, message: PermitRegister): void {
    const now = Date.now()
    const permits = new Set(message.permits.map(permit => permit.permit))
    if (message.complete) {
      this.freeOtherPermits(holder, permits)
    }
    for (const permit of message.permits) {
      this.#getOrCreateTracked(permit.target)?.admission.register(permit, holder, now)
    }
  }

  /** Removes the waiting requests of a holder whose link broke. */
  dropWaiting (holder: string): void {
    for (const tracked of this.#tracked.values()) {
      tracked.admission.dropWaiting(holder)
    }
  }

  /** Frees all permits of a holder except the given ones. */
  freeOtherPermits (holder: string, permits: ReadonlySet<string>): void {
    for (const [target, tracked] of this.#tracked) {
      this.#sendDecisions(target, tracked.admission.freeOtherPermits(holder, permits, Date.now()))
    }
  }

  /** Sets the number of requests on a target that this scheduler did not grant. */
  setExternalRequests (target: string, requests: number): void {
    this.#tracked.get(target)?.admission.setExternalRequests(requests)
  }

  /** Returns the number of permits granted at a target. */
  grantedCount (target: string): number {
    return this.#tracked.get(target)?.admission.grantedCount ?? 0
  }

  /** Names of all targets for which permits have been requested or registered. */
  get targets (): readonly string[] {
    return [...this.#tracked.keys()]
  }

  /** Returns the loads of all targets for which permits have been requested or registered. */
  loads (): readonly TargetLoad[] {
    return [...this.#tracked.values()].map(tracked => tracked.admission.load())
  }

  /**
   * Updates the admission control of every target: drains targets that are not live, adjusts to observed latency and
   * rejects expired requests. Stops tracking idle targets that are no longer configured.
   */
  tick (): void {
    const now = Date.now()
    for (const [target, tracked] of this.#tracked) {
      if (tracked.admission.isIdle) {
        this.#removeUnconfigured(target)
        continue
      }
      if (!this.information.isLive(target)) {
        this.#sendDecisions(target, tracked.admission.startDraining())
      }
      this.#sendDecisions(target, tracked.admission.tick(now))
    }
  }

  #removeUnconfigured (target: string): void {
    if (this.information.target(target) === null) {
      this.#tracked.delete(target)
    }
  }

  #getOrCreateTracked (target: string): TrackedTarget | null {
    const configured = this.information.target(target)
    const existing = this.#tracked.get(target)
    if (configured === null) {
      return existing ?? null
    }
    if (existing?.concurrency === configured.concurrency) {
      return existing
    }
    return this.#createTracked(configured, existing)
  }

  /**
   * Creates a target's admission control. After a change of the concurrency it takes over permits and requests from the
   * existing one.
   */
  #createTracked (configured: Target, existing: TrackedTarget | undefined): TrackedTarget {
    const { concurrency } = configured
    const headroom = concurrency > 1 ? Math.max(1, Math.floor(concurrency / slotsPerHeadroomSlot)) : 0
    const admission = new TargetAdmission(configured.name, { concurrency, headroom, feedback: defaultBatchFeedbackOptions })
    const tracked: TrackedTarget = { admission, concurrency }
    existing?.admission.transferTo(admission, Date.now())
    this.#tracked.set(configured.name, tracked)
    return tracked
  }

  #sendDecisions (target: string, decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const { permit } = decision
      const link = this.linkOf(decision.holder)
      switch (decision.kind) {
        case DecisionKind.Grant:
          link?.send({ type: MessageType.PermitGrant, permit, target })
          break
        case DecisionKind.Refuse:
          link?.send({ type: MessageType.PermitRefuse, permit, reason: decision.reason, retryAfter: decision.retryAfter })
          break
        case DecisionKind.Revoke:
          link?.send({ type: MessageType.PermitRevoke, permit })
          break
      }
    }
  }
}
