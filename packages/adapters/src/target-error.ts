/** Errors of calls to targets. */

/** Why a call to a target failed. */
export const TargetErrorCode = {
  /** No connection could be opened. */
  Unreachable: 'unreachable',
  /** The connection broke, or the stream ended before the answer was complete. */
  Cut: 'cut',
  /** No data arrived within the timeout. */
  Silent: 'silent',
  /** The target responded with an error status, or its response was malformed or too large. */
  Refused: 'refused',
  /** The response belongs to another dispatch. */
  DispatchMismatch: 'crossed',
  /** The target does not know the stream, or the path: it responded with status 404. */
  UnknownStream: 'unknown-stream',
  /** The caller of the adapter aborted the call. */
  Aborted: 'aborted'
} as const

export type TargetErrorCode = typeof TargetErrorCode[keyof typeof TargetErrorCode]

/** A call to a target that did not get a complete response. */
export class TargetError extends Error {
  override readonly name = 'TargetError'

  constructor (
    readonly code: TargetErrorCode,
    message: string,
    /** False only if no byte of the request can have reached the target. */
    readonly reached: boolean,
    /** HTTP status of an error response, or null. */
    readonly status: number | null = null,
    options?: ErrorOptions
  ) {
    super(message, options)
  }
}
