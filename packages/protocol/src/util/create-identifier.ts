/** Creates random identifiers. */
import { randomBytes } from 'node:crypto'

const identifierBytes = 12

/** Creates a globally unique identifier with a prefix, such as `batch_5f0c…`. */
export function createIdentifier (prefix: string): string {
  return `${prefix}_${randomBytes(identifierBytes).toString('hex')}`
}
