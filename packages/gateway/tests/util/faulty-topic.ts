/** An in-memory keyed topic with fault injection: rejected calls, lost responses, late appends and failed reads, chosen at random. */
import { AppendOutcome, LogUnavailableError } from '../../src/index.js'
import type { KeyedRecord, KeyedTopic, NewRecord, RecordBatch } from '../../src/index.js'

/** Returns a random number from 0 to 1. */
export type Random = () => number

/** The log that all writers share. */
export class FaultyLog {
  readonly records: KeyedRecord[] = []
  /** Probability of each fault. A lost response belongs to an append that was applied; a late append is applied without a response. */
  readonly faults = { rejectedAppend: 0.1, lostResponse: 0.1, lateAppend: 0.1, failedRead: 0.1 }

  /**
   * @param isConditional whether appends fail if the log doesn't end at the expected offset
   * @param onAppended called with the key of each record that is appended
   */
  constructor (
    private readonly random: Random,
    private readonly isConditional = true,
    private readonly onAppended: (key: string) => void = () => {}
  ) {}

  /** Returns a connection of one writer. */
  connect (): KeyedTopic {
    return {
      newest: async () => await this.#readNewest(),
      read: async from => await this.#read(from),
      append: async (records, expectedEnd) => await this.#append(records, expectedEnd)
    }
  }

  async #readNewest (): Promise<RecordBatch> {
    const { records, end } = await this.#read(0)
    const newest = new Map(records.map(record => [record.key, record]))
    return { records: [...newest.values()].filter(record => record.value !== null), end, isComplete: true }
  }

  async #read (from: number): Promise<RecordBatch> {
    await this.#delay()
    if (this.random() < this.faults.failedRead) {
      throw new LogUnavailableError('injected read failure')
    }
    return { records: this.records.slice(from), end: Math.max(from, this.records.length), isComplete: true }
  }

  async #append (records: readonly NewRecord[], expectedEnd: number | null): Promise<AppendOutcome> {
    await this.#delay()
    const choice = this.random()
    const { rejectedAppend, lostResponse, lateAppend } = this.faults
    if (choice < rejectedAppend) {
      return AppendOutcome.Refused
    }
    if (choice < rejectedAppend + lateAppend) {
      setTimeout(() => { this.#apply(records, expectedEnd) }, 20 * this.random())
      return AppendOutcome.Unknown
    }
    const done = this.#apply(records, expectedEnd)
    if (choice < rejectedAppend + lateAppend + lostResponse) {
      return AppendOutcome.Unknown
    }
    return done ? AppendOutcome.Done : AppendOutcome.Conflict
  }

  #apply (records: readonly NewRecord[], expectedEnd: number | null): boolean {
    if (this.isConditional && expectedEnd !== null && expectedEnd !== this.records.length) {
      return false
    }
    for (const record of records) {
      this.records.push({ ...record, offset: this.records.length })
      this.onAppended(record.key)
    }
    return true
  }

  async #delay (): Promise<void> {
    await new Promise(resolve => { setTimeout(resolve, 3 * this.random()) })
  }
}
