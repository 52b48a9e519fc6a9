/** Decisions of a target's owner. */
import type { PermitRefusal } from '@arbutusloft/protocol'

/** Kinds of decisions. */
export const DecisionKind = {
  Grant: 'grant',
  Refuse: 'refuse',
  Revoke: 'revoke'
} as const

/** A permit is granted. */
export interface GrantDecision {
  readonly kind: typeof DecisionKind.Grant
  readonly permit: string
  readonly holder: string
}

/** A permit is refused. */
export interface RefuseDecision {
  readonly kind: typeof DecisionKind.Refuse
  readonly permit: string
  readonly holder: string
  readonly reason: PermitRefusal
  /** Milliseconds after which asking again is sensible. */
  readonly retryAfter: number
}

/** A batch permit is taken back. */
export interface RevokeDecision {
  readonly kind: typeof DecisionKind.Revoke
  readonly permit: string
  readonly holder: string
}

export type Decision = GrantDecision | RefuseDecision | RevokeDecision
