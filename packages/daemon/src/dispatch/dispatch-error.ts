/** Errors of requests that the system sends to targets. */

/** How a request ended without a whole answer. */
export const DispatchErrorCode = {
  /** No target serves the model or service now. */
  NoTarget: 'no-target',
  /** The targets are busy beyond the request's patience. */
  Busy: 'busy',
  /** The target refused the request as such; repeating it is useless. */
  Rejected: 'rejected',
  /** Targets failed, and no try is left. */
  Failed: 'failed',
  /** A second target's answer did not go on where the first one's broke off. */
  Diverged: 'diverged',
  /** The caller or the job was cancelled. */
  Cancelled: 'cancelled'
} as const

export type DispatchErrorCode = typeof DispatchErrorCode[keyof typeof DispatchErrorCode]

/** A request without a whole answer. */
export class DispatchError extends Error {
  override readonly name = 'DispatchError'

  constructor (
    readonly code: DispatchErrorCode,
    message: string,
    /** True only if no byte of the request can have reached a target. */
    readonly notRun: boolean,
    /** Milliseconds after which asking again is sensible, or null. */
    readonly retryAfter: number | null = null,
    /** The target's status when it rejected the request, or null. */
    readonly status: number | null = null
  ) {
    super(message)
  }
}
