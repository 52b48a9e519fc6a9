/** Progress of a batch item, from which another process can resume it, and its encoding as a record. */
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'

/** Complete events of an item's output so far. */
export interface ItemProgress {
  /** Id of the last event. */
  readonly lastId: number
  /** Software version of the targets that wrote the events; only such a target can go on. */
  readonly softwareVersion: string
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
/** Length of the length of the version. */
const lengthBytes = 1
const maximumVersionBytes = 255
/**
 * The second form of the key. Records with the first form, without the suffix, come from earlier builds and do not tell the version, so that an
 * item cannot go on from them; earlier builds ignore the second form.
 */
const keyForm = /^(.+)\/(\d+)\/v$/

/**
 * Encodes an entry as records: the event id as four bytes, big-endian, the length of the version as one byte, the version, then the text. Null progress deletes
 * the key, in both of its forms.
 */
export function progressRecords ({ job, index, progress }: ProgressEntry): readonly NewRecord[] {
  const key = `${job}/${index}/v`
  if (progress === null) {
    return [{ key, value: null }, { key: `${job}/${index}`, value: null }]
  }
  const version = Buffer.from(progress.softwareVersion).subarray(0, maximumVersionBytes)
  const head = Buffer.alloc(idBytes + lengthBytes)
  head.writeUInt32BE(progress.lastId)
  head.writeUInt8(version.length, idBytes)
  return [{ key, value: Buffer.concat([head, version, Buffer.from(progress.text)]) }]
}

/** Decodes a record; returns null if it holds no progress that an item can go on from. */
export function parseProgressRecord ({ key, value }: KeyedRecord): ProgressEntry | null {
  const [, job, index] = keyForm.exec(key) ?? []
  if (job === undefined || value === null || value.length < idBytes + lengthBytes) {
    return null
  }
  const textStart = idBytes + lengthBytes + value.readUInt8(idBytes)
  if (value.length < textStart) {
    return null
  }
  const softwareVersion = value.toString('utf8', idBytes + lengthBytes, textStart)
  return { job, index: Number(index), progress: { lastId: value.readUInt32BE(), softwareVersion, text: value.toString('utf8', textStart) } }
}
