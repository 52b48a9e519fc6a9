/** Reads request bodies up to a maximum size. */
import type { IncomingMessage } from 'node:http'
import { isPlainObject } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, invalidRequest, ExecutionOutcome } from './api-error.js'

/** Reads a body; throws a 413 error if it exceeds the maximum. */
export async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of request) {
    bytes += (part as Buffer).byteLength
    if (bytes > maximumBytes) {
      throw new ApiError(413, ApiErrorType.InvalidRequest, `the body exceeds ${maximumBytes} bytes`, { run: ExecutionOutcome.NotRun })
    }
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts)
}

/** Reads a body that must be a JSON object. */
export async function readJson (request: IncomingMessage, maximumBytes: number): Promise<Record<string, unknown>> {
  const body = await readBody(request, maximumBytes)
  try {
    const value: unknown = JSON.parse(body.toString('utf8'))
    if (isPlainObject(value)) {
      return value
    }
  } catch {
    // Malformed JSON gets the same error as any other body that isn't an object.
  }
  throw invalidRequest('expected the body to be a JSON object')
}
