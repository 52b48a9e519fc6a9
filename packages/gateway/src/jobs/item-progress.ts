/** Progress of a batch item, from which another process can resume it, and its encoding as a record. */
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'

/** Which targets wrote an output; only such a target can go on with it. */
export interface OutputOrigin {
  readonly service: string
  readonly softwareVersion: string
}

/** Complete events of an item's output so far. */
export interface ItemProgress {
  /** Id of the last event. */
  readonly lastId: number
  readonly origin: OutputOrigin
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

/** Greatest event id that a record can hold. */
export const maximumEventId = 4_294_967_295

const idBytes = 4
/** Length of the length of a name. */
const lengthBytes = 1
const maximumNameBytes = 255
/**
 * The second form of the key. Records with the first form, without the suffix, come from earlier builds and do not tell the version, so that an
 * item cannot go on from them; earlier builds ignore the second form.
 */
const keyForm = /^(.+)\/(\d+)\/v$/

/**
 * Encodes an entry as records: the event id as four bytes, big-endian, the service and the software version, each after its length as one byte, then the
 * text. Null progress deletes the key, in both of its forms.
 */
export function progressRecords ({ job, index, progress }: ProgressEntry): readonly NewRecord[] {
  const key = `${job}/${index}/v`
  if (progress === null) {
    return [{ key, value: null }, { key: `${job}/${index}`, value: null }]
  }
  const { lastId, origin: { service, softwareVersion }, text } = progress
  const id = Buffer.alloc(idBytes)
  id.writeUInt32BE(lastId)
  return [{ key, value: Buffer.concat([id, encodeName(service), encodeName(softwareVersion), Buffer.from(text)]) }]
}

/** Decodes a record; returns null if it holds no progress that an item can go on from. */
export function parseProgressRecord ({ key, value }: KeyedRecord): ProgressEntry | null {
  const [, job, index] = keyForm.exec(key) ?? []
  const service = value === null ? null : decodeName(value, idBytes)
  const version = value === null || service === null ? null : decodeName(value, service.end)
  if (job === undefined || value === null || service === null || version === null) {
    return null
  }
  const origin = { service: service.name, softwareVersion: version.name }
  return { job, index: Number(index), progress: { lastId: value.readUInt32BE(), origin, text: value.toString('utf8', version.end) } }
}

/** Encodes a name after its length; one that is too long is cut, and then equals no other. */
function encodeName (name: string): Buffer {
  const bytes = Buffer.from(name).subarray(0, maximumNameBytes)
  return Buffer.concat([Buffer.from([bytes.length]), bytes])
}

/** Returns the name at a position and the position after it, or null if the record is too short. */
function decodeName (value: Buffer, position: number): { readonly name: string, readonly end: number } | null {
  const start = position + lengthBytes
  const end = start + (value[position] ?? 0)
  return value.length < start || value.length < end ? null : { name: value.toString('utf8', start, end), end }
}
