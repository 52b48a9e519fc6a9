/** Progress of a batch item, from which another process can resume it, and its encoding as a record. */
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'

/** Complete events of an item's output so far. */
export interface ItemProgress {
  /** Id of the last event. */
  readonly lastId: number
  /** Data of all events, separated by line feeds. */
  readonly text: string
}

/** Progress of one item of a job. */
export interface ProgressEntry {
  readonly job: string
  /** Index of the item in the submission. */
  readonly index: number
  /** Null to delete the progress, once the item has a result or its job has ended or expired. */
  readonly progress: ItemProgress | null
}

const idBytes = 4

/** Encodes an entry as a record: the event id as four bytes, big-endian, then the text. Null progress deletes the key. */
export function progressRecord ({ job, index, progress }: ProgressEntry): NewRecord {
  const key = `${job}/${index}`
  if (progress === null) {
    return { key, value: null }
  }
  const head = Buffer.alloc(idBytes)
  head.writeUInt32BE(progress.lastId)
  return { key, value: Buffer.concat([head, Buffer.from(progress.text)]) }
}

/** Decodes a record; returns null if it holds no progress. */
export function parseProgressRecord ({ key, value }: KeyedRecord): ProgressEntry | null {
  const separator = key.lastIndexOf('/')
  const index = Number(key.slice(separator + 1))
  if (value === null || value.length < idBytes || separator < 0 || !Number.isInteger(index)) {
    return null
  }
  return { job: key.slice(0, separator), index, progress: { lastId: value.readUInt32BE(), text: value.toString('utf8', idBytes) } }
}
