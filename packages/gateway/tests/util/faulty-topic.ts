/** An in-memory keyed topic with fault injection: rejected calls, lost responses, late appends and failed reads, chosen at random. */
import { AppendEnd, LogUnavailableError } from '../../src/index.js'
import type { KeyedRecord, KeyedTopic, NewRecord, RecordBatch } from '../../src/index.js'

/** Returns a random number from 0 to 1. */
export type Random = () => number

/** The log that all writers share. */
export class FaultyLog {
  readonly records: KeyedRecord[] = []
  /**
   * Probability of each fault: an append that is rejected, whose response is lost after it was applied, or that is
   * applied late; a read that fails.
   */
  readonly faults = { refused: 0.1, lost: 0.1, late: 0.1, unread: 0.1 }

  /** @param isConditional whether appends fail if the log doesn't end at the expected offset */
  constructor (private readonly random: Random, private readonly isConditional = true) {}

  /** Returns a connection of one writer. */
  connect (): KeyedTopic {
    return {
      newest: async () => await this.#read(0),
      read: async from => await this.#read(from),
      append: async (records, expectedEnd) => await this.#append(records, expectedEnd)
    }
  }

  async #read (from: number): Promise<RecordBatch> {
    await this.#delay()
    if (this.random() < this.faults.unread) {
      throw new LogUnavailableError('injected read failure')
    }
    return { records: this.records.slice(from), end: Math.max(from, this.records.length) }
  }

  async #append (records: readonly NewRecord[], expectedEnd: number | null): Promise<AppendEnd> {
    await this.#delay()
    const choice = this.random()
    const { refused, lost, late } = this.faults
    if (choice < refused) {
      return AppendEnd.Refused
    }
    if (choice < refused + late) {
      setTimeout(() => { this.#apply(records, expectedEnd) }, 20 * this.random())
      return AppendEnd.Unknown
    }
    const done = this.#apply(records, expectedEnd)
    if (choice < refused + late + lost) {
      return AppendEnd.Unknown
    }
    return done ? AppendEnd.Done : AppendEnd.Conflict
  }

  #apply (records: readonly NewRecord[], expectedEnd: number | null): boolean {
    if (this.isConditional && expectedEnd !== null && expectedEnd !== this.records.length) {
      return false
    }
    for (const record of records) {
      this.records.push({ ...record, offset: this.records.length })
    }
    return true
  }

  async #delay (): Promise<void> {
    await new Promise(resolve => { setTimeout(resolve, 3 * this.random()) })
  }
}
