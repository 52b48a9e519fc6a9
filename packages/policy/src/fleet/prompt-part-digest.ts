/** Digests of prompt parts, for log lines and messages: the ids that callers choose stay out of these. */
import { hash64 } from '../util/hash.js'

/** Returns the digest under which a prompt part is known in logs and messages. */
export function promptPartDigest (part: string): string {
  return hash64(part)
}
