/** Permits of all targets that this scheduler is asked about. */
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

/** What the desk needs to know of targets. */
export interface TargetView {
  /** The target's configuration, or null if there is none. */
  target: (name: string) => Target | null
  /** Whether the instance list shows the target as live. */
  isLive: (name: string) => boolean
  /** A client's share of batch slots relative to others. */
  batchWeight: (client: string) => number
}

interface Desk {
  readonly admission: TargetAdmission
  readonly concurrency: number
}

const slotsPerHeadroomSlot = 16

/**
 * Serves whoever asks: when two schedulers both believe that they own a target they may
 * admit too much for a moment, which costs latency but breaks no promise.
 */
export class TargetDesk {
  readonly #desks = new Map<string, Desk>()

  /** @param linkOf the open link to a holder, or null */
  constructor (private readonly view: TargetView, private readonly linkOf: (holder: string) => Link | null) {}

  /** A holder asks for a permit. */
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

  /** A holder gives a permit back. */
  release (message: PermitReturn): void {
    const admission = this.#desks.get(message.target)?.admission
    if (admission !== undefined) {
      this.#carryOut(message.target, admission.release(message.permit, message, Date.now()))
    }
  }

  /** A holder no longer waits. */
  withdraw (message: PermitWithdraw): void {
    this.#desks.get(message.target)?.admission.withdraw(message.permit)
  }

  /** A holder tells which permits it has. */
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

  /** A holder's link broke. */
  dropWaiting (holder: string): void {
    for (const desk of this.#desks.values()) {
      desk.admission.dropWaiting(holder)
    }
  }

  /** A holder has only these permits left. */
  keepOnly (holder: string, permits: ReadonlySet<string>): void {
    for (const [target, desk] of this.#desks) {
      this.#carryOut(target, desk.admission.keepOnly(holder, permits, Date.now()))
    }
  }

  /** Work on a target that nobody was granted. */
  setForeign (target: string, requests: number): void {
    this.#desks.get(target)?.admission.setForeign(requests)
  }

  /** Permits granted at a target. */
  grantedAt (target: string): number {
    return this.#desks.get(target)?.admission.granted ?? 0
  }

  /** Targets that somebody asked about. */
  get targets (): readonly string[] {
    return [...this.#desks.keys()]
  }

  /** Loads of all targets that somebody asked about. */
  loads (): readonly TargetLoad[] {
    return [...this.#desks.values()].map(desk => desk.admission.load())
  }

  /** Adjusts to latency, patience and the instance list. */
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

  /** A changed concurrency makes a new desk, which takes over what the old one had granted. */
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
