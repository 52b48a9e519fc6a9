/** Errors of appending records to the log. */

/** Whether records that were not acknowledged can be in the log. */
export const AppendErrorCode = {
  /** The records were not appended and will not be. */
  NotAppended: 'not-appended',
  /** The records may be in the log, or may be appended later. */
  Unknown: 'unknown'
} as const

export type AppendErrorCode = typeof AppendErrorCode[keyof typeof AppendErrorCode]

/** The log did not acknowledge records. */
export class AppendError extends Error {
  override readonly name = 'AppendError'

  constructor (readonly code: AppendErrorCode, message: string) {
    super(message)
  }
}
