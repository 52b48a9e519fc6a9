/** What a process asks of the owner of slots, and what it gets. */
import type { SlotOutcome, SlotRequest } from '@arbutusloft/policy'

/** A slot that this process holds. */
export interface Slot {
  readonly permit: string
  /** Id of the target. */
  readonly target: string
  /** Aborted when the owner takes the slot back. */
  readonly revoked: AbortSignal
  /** Gives the slot back; calls after the first do nothing. */
  release: (outcome: SlotOutcome) => void
}

/** The answer to a request for a slot. */
export type SlotAnswer =
  | { readonly granted: true, readonly slot: Slot }
  /** @property retryAfter milliseconds */
  | { readonly granted: false, readonly retryAfter: number }

/** What a request for a slot asks for. */
export type SlotDemand = Omit<SlotRequest, 'permit' | 'holder' | 'zone'> & { readonly service: string }
