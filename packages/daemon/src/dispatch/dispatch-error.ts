/** Errors of dispatching requests to targets. */

/** Reasons for which a request ended without a complete answer. */
export const DispatchErrorCode = {
  /** No available target serves the model or service. */
  NoTarget: 'no-target',
  /** No target had a free slot within the time that the request may wait. */
  Busy: 'busy',
  /** The target rejected the request itself, so a retry would fail as well. */
  Rejected: 'rejected',
  /** Targets failed, and the attempts or the retry budget are used up. */
  Failed: 'failed',
  /** The answer was interrupted, and the tokens of the next attempt do not match those already delivered. */
  Diverged: 'diverged',
  /** The caller cancelled the request, or its job was cancelled. */
  Cancelled: 'cancelled'
} as const

export type DispatchErrorCode = typeof DispatchErrorCode[keyof typeof DispatchErrorCode]

/** A request ended without a complete answer. */
export class DispatchError extends Error {
  override readonly name = 'DispatchError'

  constructor (
    readonly code: DispatchErrorCode,
    message: string,
    /** Whether it is certain that no byte of the request reached a target. */
    readonly notRun: boolean,
    /** Milliseconds to wait before a retry, or null if there is no estimate. */
    readonly retryAfterMilliseconds: number | null = null,
    /** HTTP status with which the target rejected the request, or null. */
    readonly status: number | null = null
  ) {
    super(message)
  }
}
