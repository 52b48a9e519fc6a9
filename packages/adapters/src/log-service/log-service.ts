/** The platform's append-only log. */
import type { Result } from 'ts-results'

/** How an operation on the log went wrong. */
export const LogErrorCode = {
  /** The log did not answer; an append may still have happened. */
  Unavailable: 'unavailable',
  /** The log refused for its rate limit; nothing was appended. */
  RateLimited: 'rate-limited',
  /** The record exceeds the log's limit; nothing was appended. */
  TooLarge: 'too-large',
  /** The answer was not understood. */
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
  /** Epoch milliseconds at which the log took the entry. */
  readonly time: number
  readonly data: Uint8Array
}

/** Part of a stream. */
export interface LogPage {
  /** Offset of the earliest entry that the log still keeps. */
  readonly first: number
  /** Offset that the next append to the stream will get. */
  readonly next: number
  readonly entries: readonly LogEntry[]
}

/** Which part of a stream to read. */
export interface ReadOptions {
  readonly from: number
  /** Greatest number of entries. */
  readonly limit: number
  /** Milliseconds to wait for an entry when there is none; 0 answers at once. */
  readonly waitMilliseconds: number
  readonly signal?: AbortSignal
}

/** The platform's append-only log with streams and offsets. */
export interface LogService {
  /** Appends one entry and returns its offset. */
  append: (stream: string, data: Uint8Array) => Promise<Result<number, LogError>>
  /** Reads entries from an offset on. */
  read: (stream: string, options: ReadOptions) => Promise<Result<LogPage, LogError>>
  close: () => Promise<void>
}
