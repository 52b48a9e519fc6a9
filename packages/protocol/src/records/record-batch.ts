/** One append to a log stream: a batch of records by one writer. */
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode } from '../codec.js'
import { ProtocolError, ProtocolErrorCode } from '../errors.js'
import { isPlainObject } from '../util/is-plain-object.js'
import type { LogRecord } from './log-record.js'

const { Ok, Err } = tsResults

/**
 * The unit of appending. A batch whose sequence number is not above the last one
 * seen from its writer is a resend and is skipped by every fold.
 */
export interface RecordBatch {
  /** Identifier of the writing process's incarnation. */
  readonly writer: string
  /** Position among the writer's batches in this stream, from 1. */
  readonly sequence: number
  readonly records: readonly LogRecord[]
}

/** Encodes a batch for appending. */
export function encodeRecordBatch (batch: RecordBatch): Buffer {
  return encode(batch)
}

/** Decodes a batch read from the log. */
export function decodeRecordBatch (bytes: Uint8Array): Result<RecordBatch, ProtocolError> {
  const decoded = decode(bytes)
  if (decoded.err) {
    return decoded
  }
  if (!isRecordBatch(decoded.val)) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, 'not a record batch'))
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
