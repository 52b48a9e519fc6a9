/** Errors of calls to targets. */

/** Why a call to a target failed. */
export const TargetErrorCode = {
  /** No connection could be opened. */
  Unreachable: 'unreachable',
  /** The connection broke, the stream ended before the answer was complete, a control call timed out, or JSON could not be parsed. */
  Interrupted: 'cut',
  /** No headers or no data of a generation stream or service call arrived within the timeout. */
  TimedOut: 'silent',
  /** The target responded with an error status, or its response did not match the schema or was too large. */
  Refused: 'refused',
  /** The response belongs to another dispatch. */
  DispatchMismatch: 'crossed',
  /** The target responded with status 404, to any path: it does not know the stream or the path. */
  NotFound: 'unknown-stream',
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
    /** Whether the target may have received a part of the request; false only if the connection could not be opened. */
    readonly mayHaveReachedTarget: boolean,
    /** HTTP status of an error response, or null. */
    readonly status: number | null = null,
    options?: ErrorOptions
  ) {
    super(message, options)
  }
}
