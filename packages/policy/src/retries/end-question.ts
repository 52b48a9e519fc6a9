/**
 * Whether to ask a target what follows the last event of a stream that nobody has said to be whole: its connection was closed in order, without
 * framing, by a target that lives. The client has all events by then and waits for the end alone.
 */

/** A stream that ended so. Times are in milliseconds. */
export interface UnknownStreamEnd {
  /** Number of answers in a row that ended so after the same event; 0 if another event follows, or if events have no ids. */
  readonly unknownEnds: number
  /** Time within which an answer of the route should begin. */
  readonly objectiveMilliseconds: number
  /** Time until the deadline of the request. */
  readonly remainingMilliseconds: number
}

/** Limits of the question, in milliseconds. */
export interface EndQuestion {
  /** Time for which it may wait for another slot, if it cannot use that of the stream: some round trips. */
  readonly patience: number
  /** Time until an event or the end has to arrive, the wait included. */
  readonly limit: number
}

const patienceMilliseconds = 100
/** A quarter of the time after which a client leaves a stream without events, so that the rest has time to follow. */
const maximumLimitMilliseconds = 500
/** Time that is left for what follows. */
const minimumRestMilliseconds = 50

/** Returns the limits of a question for the rest of the stream, or null if none is to be sent. */
export function questionAfterEnd ({ unknownEnds, objectiveMilliseconds, remainingMilliseconds }: UnknownStreamEnd): EndQuestion | null {
  // Two closes at the same event are not to be expected unless it is the last one.
  if (unknownEnds !== 1) {
    return null
  }
  const limit = Math.min(maximumLimitMilliseconds, objectiveMilliseconds, remainingMilliseconds - minimumRestMilliseconds)
  return limit <= 0 ? null : { patience: Math.min(patienceMilliseconds, limit), limit }
}
