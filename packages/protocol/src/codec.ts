/** MessagePack encoding of messages between processes and of records in the log. */
import { Packr } from 'msgpackr'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { ProtocolError, ProtocolErrorCode } from './errors.js'
import { messageOf } from './util/message-of.js'

const { Ok, Err } = tsResults

// Record extensions keep per-connection state, which a log read from the middle cannot have.
const packr = new Packr({ useRecords: false })

/** Encodes a plain value. */
export function encode (value: unknown): Buffer {
  return packr.pack(value) as Buffer
}

/** Decodes bytes made by {@link encode}; the caller checks the shape. */
export function decode (bytes: Uint8Array): Result<unknown, ProtocolError> {
  try {
    return Ok(packr.unpack(bytes) as unknown)
  } catch (error) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, `not MessagePack: ${messageOf(error)}`, { cause: error }))
  }
}
