/** A topic that keeps the newest record of each key, as the platform's store offers it. */

/** A record with its position. */
export interface KeyedRecord {
  readonly key: string
  /** Null where the key was dropped. */
  readonly value: Buffer | null
  readonly offset: number
}

/** A record to be appended. */
export type NewRecord = Omit<KeyedRecord, 'offset'>

/** Records behind a position. */
export interface RecordBatch {
  readonly records: readonly KeyedRecord[]
  /** Offset behind the last record. */
  readonly end: number
}

/** How an append ended. */
export const AppendEnd = {
  Done: 'done',
  /** The topic ends elsewhere: somebody else has appended. */
  Conflict: 'conflict',
  /** The store refused the call; nothing was done. */
  Refused: 'refused',
  /** No answer: it may have been done, or may be done later. */
  Unknown: 'unknown'
} as const
export type AppendEnd = typeof AppendEnd[keyof typeof AppendEnd]

/** The records that were asked for have expired. */
export class ExpiredOffsetError extends Error {
  override readonly name = 'ExpiredOffsetError'
}

/** The store gave no usable answer. */
export class LogUnavailableError extends Error {
  override readonly name = 'LogUnavailableError'
}

/** One partition of a topic with keys. Calls reject with the errors above. */
export interface KeyedTopic {
  /** The newest record of each key, by offset, and an offset from which all later ones can be read. */
  newest: () => Promise<RecordBatch>
  /** Records from an offset on; waits up to `waitMilliseconds` for the first. */
  read: (from: number, waitMilliseconds: number) => Promise<RecordBatch>
  /** Appends all records if the topic ends at `at`, or wherever it ends if that is null; never rejects. */
  append: (records: readonly NewRecord[], at: number | null) => Promise<AppendEnd>
}
