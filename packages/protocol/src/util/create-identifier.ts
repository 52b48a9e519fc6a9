/** Creation of identifiers. */
import { randomBytes } from 'node:crypto'

const identifierBytes = 12

/** Creates an identifier that no other process will create, such as `batch_5f0c…`. */
export function createIdentifier (prefix: string): string {
  return `${prefix}_${randomBytes(identifierBytes).toString('hex')}`
}
