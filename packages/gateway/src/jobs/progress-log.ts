/**
 * Saves the progress of items to the log, so that a process that takes a job over resumes its items. Progress is only
 * an optimisation: with outdated or missing progress, targets generate more events again.
 */
import { hash32 } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { maximumEventId, parseProgressRecord, progressRecords } from './item-progress.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'

/** Size of the text above which progress is not saved; the store accepts records of up to a quarter of a megabyte. */
const maximumTextBytes = 200_000
/** Upper bound of one append; the store accepts two megabytes. */
const maximumAppendBytes = 1_500_000

/** Progress of items by job and index. */
export type JobProgress = ReadonlyMap<string, ReadonlyMap<number, ItemProgress>>

/** Saves and loads progress. All progress of a job is in one partition, with the number of the job's own partition. */
export class ProgressLog {
  constructor (private readonly partitions: readonly KeyedTopic[], private readonly logger: Logger) {}

  /** Saves entries; skips those that a record cannot hold, and logs appends that fail. */
  async save (entries: readonly ProgressEntry[]): Promise<void> {
    const byPartition = new Map<KeyedTopic, NewRecord[]>()
    for (const entry of entries) {
      if (entry.progress === null || isStorable(entry.progress)) {
        const partition = this.#partitionOf(entry.job)
        byPartition.set(partition, [...byPartition.get(partition) ?? [], ...progressRecords(entry)])
      }
    }
    await Promise.all([...byPartition].flatMap(([partition, records]) => {
      return splitByBytes(records).map(async part => { await this.#append(partition, part) })
    }))
  }

  /** Loads the progress of all items in a partition; returns an empty map if the read fails. */
  async loadPartition (number: number): Promise<JobProgress> {
    const progressByJob = new Map<string, Map<number, ItemProgress>>()
    try {
      const { records } = await this.#partition(number).newest()
      for (const { job, index, progress } of records.flatMap(record => parseProgressRecord(record) ?? [])) {
        if (progress !== null) {
          progressByJob.set(job, (progressByJob.get(job) ?? new Map<number, ItemProgress>()).set(index, progress))
        }
      }
    } catch (error) {
      this.logger.warn('progress not read', { partition: number, error: messageOf(error) })
    }
    return progressByJob
  }

  async #append (partition: KeyedTopic, records: readonly NewRecord[]): Promise<void> {
    const outcome = await partition.append(records, null)
    if (outcome !== AppendOutcome.Done) {
      this.logger.info('progress not kept', { items: records.length, end: outcome })
    }
  }

  #partitionOf (job: string): KeyedTopic {
    return this.#partition(hash32(job) % this.partitions.length)
  }

  #partition (number: number): KeyedTopic {
    const partition = this.partitions[number]
    if (partition === undefined) {
      throw new RangeError(`partition ${number} of the progress topic does not exist; it has ${this.partitions.length}`)
    }
    return partition
  }
}

/** Whether a record can hold progress. The id is that of a target's event, which may be any number. */
function isStorable ({ lastId, text }: ItemProgress): boolean {
  return lastId <= maximumEventId && Buffer.byteLength(text) <= maximumTextBytes
}

function splitByBytes (records: readonly NewRecord[]): ReadonlyArray<readonly NewRecord[]> {
  const parts: NewRecord[][] = []
  let bytes = Infinity
  for (const record of records) {
    const size = record.key.length + (record.value?.length ?? 0)
    if (bytes + size > maximumAppendBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)?.push(record)
    bytes += size
  }
  return parts
}
