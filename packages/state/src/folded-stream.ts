/** A fold together with the offset up to which it has applied its stream. */
import { decode, decodeRecordBatch, encode } from '@arbutusloft/protocol'
import type { LogRecord, RecordBatch } from '@arbutusloft/protocol'
import type { Fold, RecordContext } from './fold.js'
import { positionOf } from './position.js'

/** One entry of the log, as read from the log service or received from a peer. */
export interface StreamEntry {
  readonly offset: number
  /** Log time of the append, in epoch milliseconds. */
  readonly time: number
  /** An encoded record batch. */
  readonly data: Uint8Array
}

/** Called after the fold has applied a record. */
export type RecordObserver = (record: LogRecord, context: RecordContext) => void

/** A writer's last applied batch. */
interface WriterState {
  readonly sequence: number
  readonly time: number
}

/** The snapshot form; its property names are part of the stored format. */
interface SerializedStream {
  readonly next: number
  /** For each writer its name, and the sequence number and log time of its last applied batch. */
  readonly writers: ReadonlyArray<readonly [string, number, number]>
  readonly state: unknown
}

/** Folds are pruned at offsets that are multiples of this number, so that all processes prune at the same entries and come to the same state. */
const pruneIntervalEntries = 1_024

/**
 * Milliseconds of log time for which a writer's last sequence number is kept after its last batch. A writer must not
 * resend a batch later, since it would not be recognised as a duplicate any more.
 */
const writerRetentionMilliseconds = 86_400_000

/** Returns the offset of the entry that follows those in a serialized stream, without restoring it. */
export function decodeNextOffset (bytes: Uint8Array): number {
  return (decode(bytes).unwrap() as SerializedStream).next
}

/** Applies entries in the order of their offsets and each batch of a writer at most once. */
export class FoldedStream {
  #next = 0
  #writers = new Map<string, WriterState>()

  constructor (private readonly fold: Fold) {}

  /** Offset of the entry to apply next. */
  get next (): number {
    return this.#next
  }

  /** Applies an entry, unless its offset is below {@link FoldedStream.next}: such entries have been applied before. */
  apply (entry: StreamEntry, observer: RecordObserver): void {
    if (entry.offset < this.#next) {
      return
    }
    this.#next = entry.offset + 1
    const batch = decodeRecordBatch(entry.data)
    if (batch.ok && this.#isNew(batch.val)) {
      this.#writers.set(batch.val.writer, { sequence: batch.val.sequence, time: entry.time })
      this.#applyBatch(batch.val, entry, observer)
    }
    if (entry.offset % pruneIntervalEntries === 0) {
      this.#prune(entry.time)
    }
  }

  /** Returns the highest sequence number applied of a writer, or 0. */
  lastSequenceOf (writer: string): number {
    return this.#writers.get(writer)?.sequence ?? 0
  }

  /** Returns the state and its offset, encoded for a snapshot. */
  serialize (): Uint8Array {
    const writers = [...this.#writers].map(([writer, state]) => [writer, state.sequence, state.time] as const)
    const value: SerializedStream = { next: this.#next, writers, state: this.fold.serialize() }
    return encode(value)
  }

  /** Replaces the state and the offset by those of {@link FoldedStream.serialize}. */
  restore (bytes: Uint8Array): void {
    const value = decode(bytes).unwrap() as SerializedStream
    this.#next = value.next
    this.#writers = new Map(value.writers.map(([writer, sequence, time]) => [writer, { sequence, time }]))
    this.fold.restore(value.state)
  }

  #isNew (batch: RecordBatch): boolean {
    return batch.sequence > this.lastSequenceOf(batch.writer)
  }

  #applyBatch (batch: RecordBatch, entry: StreamEntry, observer: RecordObserver): void {
    batch.records.forEach((record, index) => {
      const context = { position: positionOf(entry.offset, index), time: entry.time, writer: batch.writer }
      this.fold.apply(record, context)
      observer(record, context)
    })
  }

  #prune (time: number): void {
    for (const [writer, state] of this.#writers) {
      if (time - state.time > writerRetentionMilliseconds) {
        this.#writers.delete(writer)
      }
    }
    this.fold.prune(time)
  }
}
