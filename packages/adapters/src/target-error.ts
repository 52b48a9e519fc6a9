/** Errors of calls to targets. */

/** How a call to a target went wrong. */
export const TargetErrorCode = {
  /** No connection came about. */
  Unreachable: 'unreachable',
  /** The connection broke, or the answer had no terminator. */
  Cut: 'cut',
  /** Nothing arrived within the limit on silence. */
  Silent: 'silent',
  /** The target answered with an error status. */
  Refused: 'refused',
  /** The answer belongs to another dispatch. */
  Crossed: 'crossed',
  /** The target does not know the stream that was to be resumed. */
  UnknownStream: 'unknown-stream',
  /** The caller of the adapter aborted the call. */
  Aborted: 'aborted'
} as const

export type TargetErrorCode = typeof TargetErrorCode[keyof typeof TargetErrorCode]

/** A call to a target that did not yield a whole answer. */
export class TargetError extends Error {
  override readonly name = 'TargetError'

  constructor (
    readonly code: TargetErrorCode,
    message: string,
    /** False only if no byte of the request can have reached the target. */
    readonly reached: boolean,
    /** HTTP status of a refusal, or null. */
    readonly status: number | null = null,
    options?: ErrorOptions
  ) {
    super(message, options)
  }
}
