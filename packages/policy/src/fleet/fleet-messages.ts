/** Requests to and decisions of {@link FleetAdmission}. Their fields are sent between processes under these names. */
import type { WorkClass } from '@arbutusloft/protocol'
import type { DecisionKind } from '../admission/decision.js'

/** A target as admission control sees it. */
export interface FleetTarget {
  readonly id: string
  readonly zone: string
  /** Number of requests that the target runs concurrently. */
  readonly slots: number
  /** Whether the target takes new work; false while it drains. */
  readonly accepting: boolean
}

/** Request for a slot on any target of the service. */
export interface SlotRequest {
  /** Identifier of the permit, chosen by its holder; the same in a repeated request. */
  readonly permit: string
  /** Name of the process that sends the request and will hold the slot. */
  readonly holder: string
  readonly workClass: WorkClass
  /** Availability zone of the holder. */
  readonly zone: string
  /**
   * Identifiers of the prompt prefixes that the request shares with others, the most specific last; for prefix-cache
   * affinity.
   */
  readonly prefix: readonly string[]
  /** Targets that must not be chosen, because the request failed there. */
  readonly excluded: readonly string[]
  /**
   * Online: milliseconds of waiting after which the answer would be late. A request whose expected wait is longer is
   * rejected at once.
   */
  readonly patience: number
  /** Batch: deadline of the item, in milliseconds since the epoch; 0 for online requests. */
  readonly due: number
}

/** A slot that a holder reports as its own. */
export interface HeldSlot {
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  /** Batch: deadline of the item, in milliseconds since the epoch; 0 for online requests. */
  readonly due: number
}

/** Grants the slot: the holder may send its request to the target. */
export interface SlotGrant {
  readonly kind: typeof DecisionKind.Grant
  readonly permit: string
  readonly holder: string
  readonly target: string
}

/** Revokes a slot: the holder must stop the request and release the slot. */
export interface SlotRevocation {
  readonly kind: typeof DecisionKind.Revoke
  readonly permit: string
  readonly holder: string
}

/** Rejects a request that cannot start in time. */
export interface SlotRefusal {
  readonly kind: typeof DecisionKind.Refuse
  readonly permit: string
  readonly holder: string
  /** Milliseconds until a slot is expected to be free. */
  readonly retryAfter: number
}

export type SlotDecision = SlotGrant | SlotRevocation | SlotRefusal
