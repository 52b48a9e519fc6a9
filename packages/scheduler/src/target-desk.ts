/** Permits of all targets for which holders send requests to this scheduler. */
import { defaultBatchFeedback, DecisionKind, TargetAdmission } from '@arbutusloft/policy'
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
export interface TargetView {
  /** Returns the target's configuration, or null if there is none. */
  target: (name: string) => Target | null
  /** Returns whether the instance list shows the target as live. */
  isLive: (name: string) => boolean
  /** Returns a client's share of batch slots relative to other clients. */
  batchWeight: (client: string) => number
}

/** A target with its admission control and the concurrency for which it was created. */
interface Desk {
  readonly admission: TargetAdmission
  readonly concurrency: number
}

/** Slots of a target for each slot that batch work leaves free. */
const slotsPerHeadroomSlot = 16

/**
 * Runs the admission control of each target and sends its decisions to the holders.
 *
 * Requests are answered without a check of ownership. While two schedulers both regard themselves as a target's owner, they
 * may together grant too many permits, which costs latency but violates no guarantee.
 */
export class TargetDesk {
  readonly #desks = new Map<string, Desk>()

  /** @param linkOf returns the open link to a holder, or null */
  constructor (private readonly view: TargetView, private readonly linkOf: (holder: string) => Link | null) {}

  /** Handles a holder's request for a permit. */
  request (link: Link, message: PermitRequest): void {
    const { permit, target } = message
    const desk = this.#deskOf(target)
    if (desk === null || !this.view.isLive(target)) {
      link.send({ type: MessageType.PermitRefuse, permit, reason: PermitRefusal.TargetLeaving, retryAfter: 0 })
      return
    }
    desk.admission.stay()
    const decisions = desk.admission.request({
      ...message,
      holder: link.peer,
      weight: this.view.batchWeight(message.client)
    }, Date.now())
    this.#carryOut(target, decisions)
    if (!decisions.some(decision => decision.permit === permit)) {
      link.send({ type: MessageType.PermitQueued, permit })
    }
  }

  /** Handles a returned permit. */
  release (message: PermitReturn): void {
    const admission = this.#desks.get(message.target)?.admission
    if (admission !== undefined) {
      this.#carryOut(message.target, admission.release(message.permit, message, Date.now()))
    }
  }

  /** Handles the withdrawal of a waiting request. */
  withdraw (message: PermitWithdraw): void {
    this.#desks.get(message.target)?.admission.withdraw(message.permit)
  }

  /** Registers the permits that a holder reports; a complete report frees the holder's other permits. */
  register (holder: string, message: PermitRegister): void {
    const now = Date.now()
    const permits = new Set(message.permits.map(permit => permit.permit))
    if (message.complete) {
      this.keepOnly(holder, permits)
    }
    for (const permit of message.permits) {
      this.#deskOf(permit.target)?.admission.register(permit, holder, now)
    }
  }

  /** Removes the waiting requests of a holder whose link broke. */
  dropWaiting (holder: string): void {
    for (const desk of this.#desks.values()) {
      desk.admission.dropWaiting(holder)
    }
  }

  /** Frees all permits of a holder except the given ones. */
  keepOnly (holder: string, permits: ReadonlySet<string>): void {
    for (const [target, desk] of this.#desks) {
      this.#carryOut(target, desk.admission.keepOnly(holder, permits, Date.now()))
    }
  }

  /** Sets the number of requests on a target that this scheduler did not grant. */
  setForeign (target: string, requests: number): void {
    this.#desks.get(target)?.admission.setForeign(requests)
  }

  /** Returns the number of permits granted at a target. */
  grantedAt (target: string): number {
    return this.#desks.get(target)?.admission.granted ?? 0
  }

  /** Names of all targets that have been requested. */
  get targets (): readonly string[] {
    return [...this.#desks.keys()]
  }

  /** Returns the loads of all targets that have been requested. */
  loads (): readonly TargetLoad[] {
    return [...this.#desks.values()].map(desk => desk.admission.load())
  }

  /** Applies observed latency, expired waits and the instance list to all targets. */
  tick (): void {
    const now = Date.now()
    for (const [target, desk] of this.#desks) {
      if (desk.admission.idle) {
        this.#forgetRemoved(target)
        continue
      }
      if (!this.view.isLive(target)) {
        this.#carryOut(target, desk.admission.leave())
      }
      this.#carryOut(target, desk.admission.tick(now))
    }
  }

  #forgetRemoved (target: string): void {
    if (this.view.target(target) === null) {
      this.#desks.delete(target)
    }
  }

  #deskOf (target: string): Desk | null {
    const configured = this.view.target(target)
    const present = this.#desks.get(target)
    if (configured === null) {
      return present ?? null
    }
    if (present?.concurrency === configured.concurrency) {
      return present
    }
    return this.#createDesk(configured, present)
  }

  /** Creates a target's admission control. After a change of the concurrency it takes over permits and requests from the present one. */
  #createDesk (configured: Target, present: Desk | undefined): Desk {
    const { concurrency } = configured
    const headroom = concurrency > 1 ? Math.max(1, Math.floor(concurrency / slotsPerHeadroomSlot)) : 0
    const admission = new TargetAdmission(configured.name, { concurrency, headroom, feedback: defaultBatchFeedback })
    const desk: Desk = { admission, concurrency }
    present?.admission.moveTo(admission, Date.now())
    this.#desks.set(configured.name, desk)
    return desk
  }

  #carryOut (target: string, decisions: readonly Decision[]): void {
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
