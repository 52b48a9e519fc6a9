/** The interface of folds, the state machines that replay the records of a stream. */
import type { LogRecord } from '@arbutusloft/protocol'

/** Position, time and writer of a record in its stream. */
export interface RecordContext {
  /** Increases from record to record; see `positionOf`. */
  readonly position: number
  /** Time of the append in epoch milliseconds by the log service's clock, the same for every reader. */
  readonly time: number
  /** Incarnation of the process that wrote the record. */
  readonly writer: string
}

/** State that depends only on the records of a stream and their order. */
export interface Fold {
  /** Applies one record; ignores records of types that the fold does not handle. */
  apply: (record: LogRecord, context: RecordContext) => void
  /**
   * Deletes state whose retention has ended. Called at the same offsets in every process.
   *
   * @param time log time in epoch milliseconds
   */
  prune: (time: number) => void
  /** Returns the whole state as a value that MessagePack can encode. */
  serialize: () => unknown
  /** Replaces the state by a value of {@link Fold.serialize}. */
  restore: (state: unknown) => void
}
