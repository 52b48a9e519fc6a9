/** Reads a request's body up to a limit. */
import type { IncomingMessage } from 'node:http'

/** The body is larger than allowed. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError'

  constructor (readonly limit: number) {
    super(`the body has more than ${limit} bytes`)
  }
}

/** The whole body; rejects with {@link BodyTooLargeError}, or with the connection's error. */
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
