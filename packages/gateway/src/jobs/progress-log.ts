/**
 * Saves the progress of items to the log, so that a process that takes a job over resumes its items. Progress is only
 * an optimisation: with outdated or missing progress, targets generate more events again.
 */
import { ownersOf } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { parseProgressRecord, progressRecord } from './item-progress.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'

/** Size of the text above which progress is not saved; the store accepts records of up to a quarter of a megabyte. */
const maximumTextBytes = 200_000
/** Upper bound of one append; the store accepts two megabytes. */
const maximumAppendBytes = 1_500_000

/** Saves and loads progress. All progress of a job is in one partition, so that a process reads little else when it loads a job. */
export class ProgressLog {
  constructor (private readonly partitions: readonly KeyedTopic[], private readonly logger: Logger) {}

  /** Saves entries; skips those whose text is too large, and logs appends that fail. */
  async save (entries: readonly ProgressEntry[]): Promise<void> {
    const byPartition = new Map<KeyedTopic, NewRecord[]>()
    for (const entry of entries) {
      if (entry.progress === null || Buffer.byteLength(entry.progress.text) <= maximumTextBytes) {
        const partition = this.#partitionOf(entry.job)
        byPartition.set(partition, [...byPartition.get(partition) ?? [], progressRecord(entry)])
      }
    }
    await Promise.all([...byPartition].flatMap(([partition, records]) => {
      return splitByBytes(records).map(async part => { await this.#append(partition, part) })
    }))
  }

  /** Loads the progress of a job's items by index; returns an empty map if the read fails. */
  async load (job: string): Promise<ReadonlyMap<number, ItemProgress>> {
    try {
      const { records } = await this.#partitionOf(job).newest()
      const found = records.flatMap(record => parseProgressRecord(job, record) ?? [])
      return new Map(found.flatMap(({ index, progress }) => progress === null ? [] : [[index, progress]]))
    } catch (error) {
      this.logger.warn('progress not read', { job, error: messageOf(error) })
      return new Map()
    }
  }

  async #append (partition: KeyedTopic, records: readonly NewRecord[]): Promise<void> {
    const outcome = await partition.append(records, null)
    if (outcome !== AppendOutcome.Done) {
      this.logger.info('progress not kept', { items: records.length, end: outcome })
    }
  }

  #partitionOf (job: string): KeyedTopic {
    const candidates = this.partitions.map((topic, number) => ({ id: String(number), topic }))
    const [chosen] = ownersOf(job, candidates, 1)
    if (chosen === undefined) {
      throw new RangeError('the progress topic has no partitions')
    }
    return chosen.topic
  }
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
