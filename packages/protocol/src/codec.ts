/** MessagePack encoding of messages between processes and of records in the log. */
import { Packr } from 'msgpackr/pack'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { ProtocolError, ProtocolErrorCode } from './errors.js'
import { messageOf } from './util/message-of.js'

const { Ok, Err } = tsResults

// msgpackr's record extension would make a value depend on earlier ones, but readers may start anywhere in the log.
const packr = new Packr({ useRecords: false })

/** Encodes a value as MessagePack. */
export function encode (value: unknown): Buffer {
  return packr.pack(value) as Buffer
}

/**
 * Decodes bytes made by {@link encode}. The caller validates the shape of the value.
 * Returns a `malformed` error for bytes that aren't MessagePack.
 */
export function decode (bytes: Uint8Array): Result<unknown, ProtocolError> {
  try {
    return Ok(packr.unpack(bytes) as unknown)
  } catch (error) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, `not MessagePack: ${messageOf(error)}`, { cause: error }))
  }
}
