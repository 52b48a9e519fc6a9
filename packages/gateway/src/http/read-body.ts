/** Reads request bodies up to a size limit. */
import type { IncomingMessage } from 'node:http'

/** A request body exceeds its size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError'

  /** @param limit bytes */
  constructor (readonly limit: number) {
    super(`the body has more than ${limit} bytes`)
  }
}

/** Reads the whole body of a request; rejects with {@link BodyTooLargeError} if it has more than `limit` bytes, or with the connection's error. */
export async function readBody (request: IncomingMessage, limit: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    const data = chunk as Buffer
    length += data.length
    if (length > limit) {
      throw new BodyTooLargeError(limit)
    }
    chunks.push(data)
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks, length)
}
