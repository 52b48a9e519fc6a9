/** Permits as their holders see them. */
import type { Cost, PermitRefusal, WorkClass } from '@arbutusloft/protocol'

/** A request for a permit. */
export interface PermitWish {
  readonly target: string
  /** Availability zone of the target, which its owner is preferred to be in. */
  readonly targetZone: string
  /** Requests that the target runs at once. */
  readonly concurrency: number
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the request may wait. */
  readonly patience: number
  /** Milliseconds between a job's deadline and the end of its remaining work; 0 online. */
  readonly slack: number
  readonly signal?: AbortSignal
}

/** What a holder saw of its request. */
export interface PermitOutcome {
  readonly timeToFirstToken: number | null
  readonly timeBetweenTokens: number | null
  readonly targetFailed: boolean
}

/** The outcome of a request that was never sent. */
export const unusedPermit: PermitOutcome = {
  timeToFirstToken: null,
  timeBetweenTokens: null,
  targetFailed: false
}

/** A permit to send one request to one target. */
export interface Permit {
  readonly id: string
  readonly target: string
  /** Aborts when the owner takes the permit back. */
  readonly revoked: AbortSignal
  /** Gives the permit back; calls after the first do nothing. */
  finish: (outcome: PermitOutcome) => void
}

/** Reasons for which there is no permit. */
export const PermitErrorCode = {
  /** The target's owner refused. */
  Refused: 'refused',
  /** No owner can be reached, and the request may not go on without. */
  NoOwner: 'no-owner',
  /** The caller stopped waiting. */
  Aborted: 'aborted'
} as const

export type PermitErrorCode = typeof PermitErrorCode[keyof typeof PermitErrorCode]

/** There is no permit; nothing may be sent. */
export class PermitError extends Error {
  override readonly name = 'PermitError'

  constructor (
    readonly code: PermitErrorCode,
    /** The owner's reason, or null. */
    readonly refusal: PermitRefusal | null,
    /** Milliseconds after which asking again is sensible. */
    readonly retryAfter: number
  ) {
    super(refusal ?? code)
  }
}
