/** Tells whether an event stream whose response has ended in order is complete. */
import { endsWithConnection } from '../targets/response-parser.js'
import type { ResponseHead } from '../targets/response-parser.js'
import { CallOutcome } from '../targets/target-call.js'
import type { CallEnd } from '../targets/target-call.js'
import type { EventSplitter } from './event-splitter.js'

/**
 * Returns how the call has really ended if the events of its response with status 200 were broken off, or null if they are complete.
 *
 * @param splitter has received the whole body
 * @param resumesAfter id of the event after which the request resumed the stream, or null if it did not
 */
export function truncationOf (splitter: EventSplitter, head: ResponseHead, resumesAfter: number | null): CallEnd | null {
  const end = endsWithConnection(head) ? CallOutcome.Disconnected : CallOutcome.Broken
  if (splitter.rest.length > 0) {
    return { end, reason: 'the stream ended inside an event' }
  }
  // Nothing may be left after the last event. If the body ends with its connection, it may have been cut before the next event.
  const mayBeEmpty = resumesAfter !== null && !endsWithConnection(head)
  return splitter.hasEvents || mayBeEmpty ? null : { end, reason: 'the stream ended before its first event' }
}
