/** What a request brings to a target, for {@link CrashQuarantine}. */
import type { RequestContent } from './crash-quarantine.js'
import type { SlotRequest } from './fleet-messages.js'

/** Returns the content of a request or a granted slot. */
export function contentOf ({ prefix, digest }: Pick<SlotRequest, 'prefix' | 'digest'>): RequestContent {
  return { parts: prefix, digest }
}
