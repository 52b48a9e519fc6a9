/** How far an item has come: what another process needs to go on with it. */
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'

/** Whole events of an item's output so far. */
export interface ItemProgress {
  /** Id of the last event. */
  readonly lastId: number
  /** Data of all events with line feeds between them. */
  readonly text: string
}

/** Progress of one item of a job. */
export interface ProgressEntry {
  readonly job: string
  /** Index of the item in the submission. */
  readonly index: number
  /** Null once it is of no more use. */
  readonly progress: ItemProgress | null
}

const idBytes = 4

/** The record of an entry; the key of progress that is of no more use is dropped. */
export function progressRecord ({ job, index, progress }: ProgressEntry): NewRecord {
  const key = `${job}/${index}`
  if (progress === null) {
    return { key, value: null }
  }
  const head = Buffer.alloc(idBytes)
  head.writeUInt32BE(progress.lastId)
  return { key, value: Buffer.concat([head, Buffer.from(progress.text)]) }
}

/** Reads a record; null if it has none of this job's progress. */
export function parseProgressRecord (job: string, { key, value }: KeyedRecord): ProgressEntry | null {
  const separator = key.lastIndexOf('/')
  const index = Number(key.slice(separator + 1))
  if (value === null || value.length < idBytes || key.slice(0, separator) !== job || !Number.isInteger(index)) {
    return null
  }
  return { job, index, progress: { lastId: value.readUInt32BE(), text: value.toString('utf8', idBytes) } }
}
