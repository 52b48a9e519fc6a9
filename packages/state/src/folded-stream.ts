/** A stream's fold together with how far it has come. */
import { decode, decodeRecordBatch, encode } from '@arbutusloft/protocol'
import type { LogRecord, RecordBatch } from '@arbutusloft/protocol'
import type { Fold, RecordContext } from './fold.js'
import { positionOf } from './position.js'

/** One entry of the log, as read. */
export interface StreamEntry {
  readonly offset: number
  readonly time: number
  readonly data: Uint8Array
}

/** Called after a record was applied. */
export type RecordObserver = (record: LogRecord, context: RecordContext) => void

interface WriterState {
  readonly sequence: number
  readonly time: number
}

interface SerializedStream {
  readonly next: number
  readonly writers: ReadonlyArray<readonly [string, number, number]>
  readonly state: unknown
}

/** Pruning happens at multiples of this many entries, so that every process does it alike. */
const entriesBetweenPrunes = 1_024

/** Milliseconds of log time after which a silent writer cannot resend any more. */
const writerMilliseconds = 86_400_000

/** Offset up to which a serialized stream reaches, without restoring it. */
export function nextOfSerialized (bytes: Uint8Array): number {
  return (decode(bytes).unwrap() as SerializedStream).next
}

/** Applies entries in offset order, each writer's batches once. */
export class FoldedStream {
  #next = 0
  #writers = new Map<string, WriterState>()

  constructor (private readonly fold: Fold) {}

  /** Offset of the entry to apply next. */
  get next (): number {
    return this.#next
  }

  /** Applies an entry; entries before {@link FoldedStream.next} were applied already. */
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
    if (entry.offset % entriesBetweenPrunes === 0) {
      this.#prune(entry.time)
    }
  }

  /** Highest sequence number seen from a writer, or 0. */
  sequenceOf (writer: string): number {
    return this.#writers.get(writer)?.sequence ?? 0
  }

  /** The state and its place in the stream, for a snapshot. */
  serialize (): Uint8Array {
    const writers = [...this.#writers].map(([writer, state]) => [writer, state.sequence, state.time] as const)
    const value: SerializedStream = { next: this.#next, writers, state: this.fold.serialize() }
    return encode(value)
  }

  /** Replaces the state by a snapshot's. */
  restore (bytes: Uint8Array): void {
    const value = decode(bytes).unwrap() as SerializedStream
    this.#next = value.next
    this.#writers = new Map(value.writers.map(([writer, sequence, time]) => [writer, { sequence, time }]))
    this.fold.restore(value.state)
  }

  #isNew (batch: RecordBatch): boolean {
    return batch.sequence > this.sequenceOf(batch.writer)
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
      if (time - state.time > writerMilliseconds) {
        this.#writers.delete(writer)
      }
    }
    this.fold.prune(time)
  }
}
