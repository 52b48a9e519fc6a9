/** Decisions of a target's owner on permits. Their fields are sent between processes under these names. */
import type { PermitRefusal } from '@arbutusloft/protocol'

/** Kinds of decisions. */
export const DecisionKind = {
  Grant: 'grant',
  Refuse: 'refuse',
  Revoke: 'revoke'
} as const

/** Grants a permit. */
export interface GrantDecision {
  readonly kind: typeof DecisionKind.Grant
  /** Identifier of the permit, chosen by its holder. */
  readonly permit: string
  /** Name of the process that sent the request for the permit. */
  readonly holder: string
}

/** Rejects a request for a permit. */
export interface RefuseDecision {
  readonly kind: typeof DecisionKind.Refuse
  /** Identifier of the permit, chosen by its holder. */
  readonly permit: string
  /** Name of the process that sent the request for the permit. */
  readonly holder: string
  readonly reason: PermitRefusal
  /** Milliseconds after which the holder may ask again. */
  readonly retryAfter: number
}

/** Revokes a batch permit: its holder must stop the request and return the permit. */
export interface RevokeDecision {
  readonly kind: typeof DecisionKind.Revoke
  /** Identifier of the permit, chosen by its holder. */
  readonly permit: string
  /** Name of the process that sent the request for the permit. */
  readonly holder: string
}

export type Decision = GrantDecision | RefuseDecision | RevokeDecision
