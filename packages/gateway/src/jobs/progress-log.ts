/**
 * Keeps the progress of items in the log, so that a process which takes a job over goes on where
 * the last one was. A hint only: older progress, or none, means that more events are made again.
 */
import { ownersOf } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { AppendEnd } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { parseProgressRecord, progressRecord } from './item-progress.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'

/** Bytes of text beyond which progress is not kept; the store takes a quarter of a megabyte in one record. */
const greatestTextBytes = 200_000
/** Bytes of one append; the store takes two megabytes. */
const greatestAppendBytes = 1_500_000

/** Progress by job, each job in one partition, so that a process reads little besides what it needs. */
export class ProgressLog {
  constructor (private readonly partitions: readonly KeyedTopic[], private readonly logger: Logger) {}

  /** Appends entries; those that the store does not take are left out. */
  async save (entries: readonly ProgressEntry[]): Promise<void> {
    const byPartition = new Map<KeyedTopic, NewRecord[]>()
    for (const entry of entries) {
      if (entry.progress === null || Buffer.byteLength(entry.progress.text) <= greatestTextBytes) {
        const partition = this.#partitionOf(entry.job)
        byPartition.set(partition, [...byPartition.get(partition) ?? [], progressRecord(entry)])
      }
    }
    await Promise.all([...byPartition].flatMap(([partition, records]) => {
      return splitByBytes(records).map(async part => { await this.#append(partition, part) })
    }))
  }

  /** Progress of a job's items by index; none if the store does not answer. */
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
    const end = await partition.append(records, null)
    if (end !== AppendEnd.Done) {
      this.logger.info('progress not kept', { items: records.length, end })
    }
  }

  #partitionOf (job: string): KeyedTopic {
    const numbers = this.partitions.map((topic, number) => ({ id: String(number), topic }))
    const [owner] = ownersOf(job, numbers, 1)
    if (owner === undefined) {
      throw new RangeError('progress needs a partition')
    }
    return owner.topic
  }
}

function splitByBytes (records: readonly NewRecord[]): ReadonlyArray<readonly NewRecord[]> {
  const parts: NewRecord[][] = []
  let bytes = Infinity
  for (const record of records) {
    const size = record.key.length + (record.value?.length ?? 0)
    if (bytes + size > greatestAppendBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)?.push(record)
    bytes += size
  }
  return parts
}
