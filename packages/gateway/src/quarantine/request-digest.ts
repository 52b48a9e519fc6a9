/** Digests of whole requests, under which logs and messages name a request that comes again; callers' content stays out of these. */
import { createHash } from 'node:crypto'

/** Length in hexadecimal digits: 64 bits, enough to tell the requests apart that a fleet remembers. */
const digestDigits = 16

/** What makes two requests the same for a target. */
export interface DigestedRequest {
  readonly host: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly body: Buffer | null
}

/** Returns the digest of a request. It is cryptographic, so that no caller can make a request that shares the digest of another one. */
export function requestDigest ({ host, method, path, body }: DigestedRequest): string {
  const hash = createHash('sha256').update(`${method} ${path}\n${host}\n`)
  return hash.update(body ?? '').digest('hex').slice(0, digestDigits)
}
