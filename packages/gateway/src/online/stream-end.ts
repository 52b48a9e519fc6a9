/** Tells how a call whose response is an event stream has ended: the events can show that the target broke it off in order. */
import { CallOutcome } from '../targets/target-call.js'
import type { CallEnd } from '../targets/target-call.js'
import type { EventSplitter } from './event-splitter.js'

/** Reason of the end of a stream without events. */
export const emptyStreamReason = 'the stream ended before its first event'

/**
 * Returns the end of a call whose response with status 200 is a stream.
 *
 * @param ended end of the call by its framing and connection
 * @param splitter has received the whole body
 * @param mayBeEmpty whether the request resumed the stream and no earlier response has shown that another event follows; the caller judges an end
 * that is then unknown
 */
export function streamEndOf (ended: CallEnd, splitter: EventSplitter, mayBeEmpty: boolean): CallEnd {
  const { end } = ended
  if (end !== CallOutcome.Complete && end !== CallOutcome.EndUnknown) {
    return ended
  }
  const brokenOff = end === CallOutcome.EndUnknown ? CallOutcome.Disconnected : CallOutcome.Broken
  if (splitter.rest.length > 0) {
    return { end: brokenOff, reason: 'the stream ended inside an event' }
  }
  return splitter.hasEvents || mayBeEmpty ? ended : { end: brokenOff, reason: emptyStreamReason }
}
