/** Tells whether an event stream whose response has ended in order is complete. */
import { endsWithConnection } from '../targets/response-parser.js'
import type { ResponseHead } from '../targets/response-parser.js'
import type { EventSplitter } from './event-splitter.js'

/**
 * Returns why the events of a complete response with status 200 were broken off, or null if they are complete.
 *
 * @param splitter has received the whole body
 * @param resumesAfter id of the event after which the request resumed the stream, or null if it did not
 */
export function truncationOf (splitter: EventSplitter, head: ResponseHead, resumesAfter: number | null): string | null {
  if (splitter.rest.length > 0) {
    return 'the stream ended inside an event'
  }
  // Nothing may be left after the last event. If the body ends with its connection, it may have been cut before the next event.
  const mayBeEmpty = resumesAfter !== null && !endsWithConnection(head)
  return splitter.hasEvents || mayBeEmpty ? null : 'the stream ended before its first event'
}
