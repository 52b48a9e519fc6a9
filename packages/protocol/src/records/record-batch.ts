/** Groups of records that one process appends together; each is one entry of a log stream. */
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode } from '../codec.js'
import { ProtocolError, ProtocolErrorCode } from '../errors.js'
import { isPlainObject } from '../util/is-plain-object.js'
import type { LogRecord } from './log-record.js'

const { Ok, Err } = tsResults

/**
 * The records that one append to the log holds. Folds deduplicate resends: they skip a batch
 * whose sequence number is not above the last one seen from its writer.
 */
export interface RecordBatch {
  /** Identifier of the writing process, which changes at each restart. */
  readonly writer: string
  /** Position among the writer's batches in this stream, from 1. */
  readonly sequence: number
  readonly records: readonly LogRecord[]
}

/** Encodes a batch for the log. */
export function encodeRecordBatch (batch: RecordBatch): Buffer {
  return encode(batch)
}

/** Decodes a batch read from the log, or returns a `malformed` error. */
export function decodeRecordBatch (bytes: Uint8Array): Result<RecordBatch, ProtocolError> {
  const decoded = decode(bytes)
  if (decoded.err) {
    return decoded
  }
  if (!isRecordBatch(decoded.val)) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, 'expected a record batch with "writer", "sequence" and typed "records"'))
  }
  return Ok(decoded.val)
}

function isRecordBatch (value: unknown): value is RecordBatch {
  return isPlainObject(value) &&
    typeof value['writer'] === 'string' &&
    typeof value['sequence'] === 'number' &&
    Array.isArray(value['records']) &&
    value['records'].every(record => isPlainObject(record) && typeof record['type'] === 'string')
}
