/** Permits from the view of the processes that request and hold them. */
import type { Cost, PermitRefusal, WorkClass } from '@arbutusloft/protocol'

/** The request for which a permit is needed. */
export interface PermitRequestOptions {
  readonly target: string
  /** Availability zone of the target; its owner is chosen among the schedulers of that zone if there are any. */
  readonly targetZone: string
  /** Requests that the target runs at once. */
  readonly concurrency: number
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the request may wait for the permit. */
  readonly maximumWaitMilliseconds: number
  /** Milliseconds from the estimated end of the job's remaining work to its deadline, negative if it will be late; 0 for online requests. */
  readonly slackMilliseconds: number
  /** Aborts the wait. */
  readonly signal?: AbortSignal
}

/** The measurements of a finished request that its holder reports to the target's owner. */
export interface PermitOutcome {
  /** Milliseconds from the dispatch to the first token, or null if none came. */
  readonly timeToFirstToken: number | null
  /** Mean milliseconds between tokens, or null with fewer than two tokens. */
  readonly timeBetweenTokens: number | null
  /** Whether the target failed the request. */
  readonly targetFailed: boolean
}

/** The outcome of a request without measurements, such as one that was never sent. */
export const emptyPermitOutcome: PermitOutcome = {
  timeToFirstToken: null,
  timeBetweenTokens: null,
  targetFailed: false
}

/** A permit to send one request to one target. */
export interface Permit {
  readonly id: string
  readonly target: string
  /** Aborts when the owner revokes the permit; the holder then cancels the request. */
  readonly revoked: AbortSignal
  /** Returns the permit to the owner; calls after the first do nothing. */
  finish: (outcome: PermitOutcome) => void
}

/** Reasons for which no permit was granted. */
export const PermitErrorCode = {
  /** The target's owner rejected the request. */
  Rejected: 'refused',
  /** The target has no reachable owner, and the local limit is used up or, for batch work, does not apply. */
  NoOwner: 'no-owner',
  /** The caller aborted the wait, or the process is stopping. */
  Aborted: 'aborted'
} as const

export type PermitErrorCode = typeof PermitErrorCode[keyof typeof PermitErrorCode]

/** No permit was granted, so the request must not be sent. */
export class PermitError extends Error {
  override readonly name = 'PermitError'

  constructor (
    readonly code: PermitErrorCode,
    /** The owner's reason for a rejection, or null. */
    readonly rejectionReason: PermitRefusal | null,
    /** Milliseconds to wait before the next request for a permit. */
    readonly retryAfterMilliseconds: number
  ) {
    super(`no permit was granted: ${rejectionReason ?? code}`)
  }
}
