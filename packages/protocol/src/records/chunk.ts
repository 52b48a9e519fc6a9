/** Chunks: groups of lines of job inputs and results, stored in the chunks stream. */
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode } from '../codec.js'
import { ProtocolError, ProtocolErrorCode } from '../errors.js'
import { isPlainObject } from '../util/is-plain-object.js'

const { Ok, Err } = tsResults

/** Lines of an input or result file, without line ends. */
export interface Chunk {
  readonly lines: readonly string[]
}

/** Encodes a chunk for the log. */
export function encodeChunk (chunk: Chunk): Buffer {
  return encode(chunk)
}

/** Decodes a chunk read from the log, or returns a `malformed` error. */
export function decodeChunk (bytes: Uint8Array): Result<Chunk, ProtocolError> {
  const decoded = decode(bytes)
  if (decoded.err) {
    return decoded
  }
  const value = decoded.val
  if (!isPlainObject(value) || !Array.isArray(value['lines'])) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, 'not a chunk'))
  }
  return Ok({ lines: value['lines'] as readonly string[] })
}
