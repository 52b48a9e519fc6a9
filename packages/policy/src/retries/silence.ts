/**
 * How long a target may send nothing before a request goes on at another one. A sound target may be silent for a second or so and go on:
 * the request must not have left it by then, since the target still works on it. A target that hangs must have been left while the
 * client still waits.
 */

/** A call whose target sends nothing. Times are in milliseconds. */
export interface SilentCall {
  /** Time within which the answer should begin. */
  readonly objectiveMilliseconds: number
  /** Time from the arrival of the request until this call was sent. */
  readonly waitedMilliseconds: number
  /** Time from sending the call until the deadline of the request. */
  readonly remainingMilliseconds: number
}

/** Limits of the silence of one call, in milliseconds. */
export interface SilenceLimits {
  /** Until the first data of the answer that is passed on. */
  readonly first: number
  /** After that, between data. */
  readonly next: number
  /** For a target that is not silent, but sends bytes of which no event becomes complete. */
  readonly incomplete: number
}

/** A client leaves a stream after two seconds without an event. The rest is for a slot at another target and the first event from there. */
const maximumGapMilliseconds = 1_400
/** Silence of a sound target: a second, and the way of what it sends after that. */
const soundSilenceMilliseconds = 1_100
/** Time for which the bytes of an event may arrive: ten times a long interval between events. */
const maximumEventMilliseconds = 700
/** Share of the objective that may be over before the answer begins; the rest is for another target. */
const objectiveShare = 0.5
/** Share of the time until the deadline that a silent target may take. */
const remainingShare = 0.7

/** Returns the limits of a call's silence. */
export function silenceLimits ({ objectiveMilliseconds, waitedMilliseconds, remainingMilliseconds }: SilentCall): SilenceLimits {
  // The client has waited since its request arrived.
  const sinceArrival = Math.max(maximumGapMilliseconds, objectiveMilliseconds * objectiveShare)
  const longest = remainingMilliseconds * remainingShare
  return {
    first: Math.min(longest, Math.max(soundSilenceMilliseconds, sinceArrival - waitedMilliseconds)),
    next: Math.min(longest, maximumGapMilliseconds),
    incomplete: Math.min(longest, maximumEventMilliseconds)
  }
}
