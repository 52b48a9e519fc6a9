/** What a fold is. */
import type { LogRecord } from '@arbutusloft/protocol'

/** Where a record stands in its stream. */
export interface RecordContext {
  /** Rising number; see `positionOf`. */
  readonly position: number
  /** Epoch milliseconds by the log service, the same for every reader. */
  readonly time: number
  /** Incarnation of the process that wrote the record. */
  readonly writer: string
}

/** State that is a pure function of a stream's records. */
export interface Fold {
  /** Applies one record; records of other kinds change nothing. */
  apply: (record: LogRecord, context: RecordContext) => void
  /** Drops what is older than is promised; called at the same offsets in every process. */
  prune: (time: number) => void
  /** The whole state as a value that MessagePack can carry. */
  serialize: () => unknown
  /** Replaces the state by one made by {@link Fold.serialize}. */
  restore: (state: unknown) => void
}
