/** What goes into and comes out of {@link FleetAdmission}. */
import type { WorkClass } from '@arbutusloft/protocol'
import type { DecisionKind } from '../admission/decision.js'

/** A target as the admission sees it. */
export interface FleetTarget {
  readonly id: string
  readonly zone: string
  /** Requests that the target runs at once. */
  readonly slots: number
  /** Whether the target takes new work; false while it drains. */
  readonly accepting: boolean
}

/** A request for a slot on any target of the fleet. */
export interface SlotRequest {
  readonly permit: string
  /** The process that asks. */
  readonly holder: string
  readonly workClass: WorkClass
  /** Availability zone of the holder. */
  readonly zone: string
  /** Identifiers of the prompt's shared parts, the most specific last. */
  readonly prefix: readonly string[]
  /** Targets that must not be chosen, because the request failed there. */
  readonly excluded: readonly string[]
  /** Online: milliseconds after which the answer is late; a longer expected wait is refused at once. */
  readonly patience: number
  /** Batch: time at which the item is due, in milliseconds since the epoch. */
  readonly due: number
}

/** A permit that a holder says it has. */
export interface HeldSlot {
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  readonly due: number
}

/** The holder may send its request to the target. */
export interface SlotGrant {
  readonly kind: typeof DecisionKind.Grant
  readonly permit: string
  readonly holder: string
  readonly target: string
}

/** The holder must stop the request and give the slot back. */
export interface SlotRevocation {
  readonly kind: typeof DecisionKind.Revoke
  readonly permit: string
  readonly holder: string
}

/** The request cannot start in time. */
export interface SlotRefusal {
  readonly kind: typeof DecisionKind.Refuse
  readonly permit: string
  readonly holder: string
  /** Milliseconds until a slot is expected to be free. */
  readonly retryAfter: number
}

export type SlotDecision = SlotGrant | SlotRevocation | SlotRefusal
