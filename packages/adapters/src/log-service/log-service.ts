/** Interface of the platform's append-only log. */
import type { Result } from 'ts-results'

/** Why an operation on the log failed. */
export const LogErrorCode = {
  /** The log did not respond, responded with an error, or the call was aborted; an append may still have been stored. */
  Unavailable: 'unavailable',
  /** The log rejected the request because of its rate limit; nothing was stored. */
  RateLimited: 'rate-limited',
  /** The entry exceeds the log's size limit; nothing was stored. */
  TooLarge: 'too-large',
  /** The response could not be parsed; an append has probably been stored. */
  Malformed: 'malformed'
} as const

export type LogErrorCode = typeof LogErrorCode[keyof typeof LogErrorCode]

/** A failed operation on the log. */
export class LogError extends Error {
  override readonly name = 'LogError'

  constructor (readonly code: LogErrorCode, message: string, options?: ErrorOptions) {
    super(message, options)
  }
}

/** One entry of a stream. */
export interface LogEntry {
  readonly offset: number
  /** Epoch milliseconds, by the log's clock, at which the log stored the entry. */
  readonly time: number
  readonly data: Uint8Array
}

/** A range of entries read from a stream. */
export interface LogPage {
  /** Offset of the oldest entry that the log has retained. */
  readonly firstOffset: number
  /** End offset of the stream, which the next appended entry gets. */
  readonly endOffset: number
  readonly entries: readonly LogEntry[]
}

/** Options of {@link LogService.read}. */
export interface ReadOptions {
  /** Offset of the first entry to read. */
  readonly from: number
  /** Maximum number of entries to return. */
  readonly limit: number
  /** Milliseconds to wait if there are no entries yet; with 0 the log responds at once. */
  readonly waitMilliseconds: number
  readonly signal?: AbortSignal
}

/** Client for the platform's append-only log. Each entry has an offset in its stream. */
export interface LogService {
  /** Appends one entry and returns its offset. */
  append: (stream: string, data: Uint8Array) => Promise<Result<number, LogError>>
  /** Reads entries, starting at an offset. */
  read: (stream: string, options: ReadOptions) => Promise<Result<LogPage, LogError>>
  close: () => Promise<void>
}
