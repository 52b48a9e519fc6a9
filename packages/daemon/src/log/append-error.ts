/** Errors of appending records. */

/** What is known of records that were not acknowledged. */
export const AppendErrorCode = {
  /** No try was made with the records; they will not appear. */
  NotAppended: 'not-appended',
  /** The records may be in the log now or appear later. */
  Unknown: 'unknown'
} as const

export type AppendErrorCode = typeof AppendErrorCode[keyof typeof AppendErrorCode]

/** Records were not acknowledged in time. */
export class AppendError extends Error {
  override readonly name = 'AppendError'

  constructor (readonly code: AppendErrorCode, message: string) {
    super(message)
  }
}
