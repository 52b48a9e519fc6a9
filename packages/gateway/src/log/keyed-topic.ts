/** Interface of a compacted topic: the platform's store keeps at least the newest record of each key. */

/** A record of a topic. */
export interface KeyedRecord {
  readonly key: string
  /** Null if the record is a tombstone, which deletes the key. */
  readonly value: Buffer | null
  readonly offset: number
}

/** A record to be appended. */
export type NewRecord = Omit<KeyedRecord, 'offset'>

/** Records that were read from a topic. */
export interface RecordBatch {
  readonly records: readonly KeyedRecord[]
  /** Offset from which to read on. */
  readonly end: number
  /** Whether these records reach to the end of the topic at the time of the read; false if there are more than fit into one read. */
  readonly isComplete: boolean
}

/** What a load of newest records has read so far; a load that fails can go on from it. */
export class PartialLoad {
  readonly records: KeyedRecord[] = []
  /** Offset from which later records are to be read, or null before the first part. */
  end: number | null = null
  /** Last key that was read, or null before the first part. */
  lastKey: string | null = null
}

/** Outcome of an append. */
export const AppendOutcome = {
  Done: 'done',
  /** The topic ends at another offset, because of another append; nothing was appended. */
  Conflict: 'conflict',
  /** The store rejected the call or was not reached; nothing was appended. */
  Refused: 'refused',
  /** No response: the records may have been appended, or may be appended later. */
  Unknown: 'unknown'
} as const
export type AppendOutcome = typeof AppendOutcome[keyof typeof AppendOutcome]

/** The requested records have expired; the topic must be loaded again. */
export class ExpiredOffsetError extends Error {
  override readonly name = 'ExpiredOffsetError'
}

/** The store did not give a usable response. */
export class LogUnavailableError extends Error {
  override readonly name = 'LogUnavailableError'
}

/** One partition of a keyed topic. Reads reject with {@link LogUnavailableError} or {@link ExpiredOffsetError}. */
export interface KeyedTopic {
  /**
   * Returns the newest record of each key, and the offset from which later records are to be read.
   *
   * @param partial what an earlier call has read, from which this one may go on; gets what this one reads. A call that goes on returns a
   * batch that is not complete, since records may have been appended since the earlier call
   */
  newest: (partial?: PartialLoad) => Promise<RecordBatch>
  /** Returns records from an offset on; waits up to `waitMilliseconds` for the first one. */
  read: (from: number, waitMilliseconds: number) => Promise<RecordBatch>
  /** Appends either all records or none. Unless `expectedEnd` is null, appends only if the topic ends at that offset. Never rejects. */
  append: (records: readonly NewRecord[], expectedEnd: number | null) => Promise<AppendOutcome>
}
