/** Rate limit for reads of the jobs topic, which changes continuously while jobs run. */

/** Lower bound of the pause; with it, results are listed within 200 ms. */
const minimumPauseMilliseconds = 150
/** Upper bound of the pause; reads of results need data that is at most 700 ms old. */
const maximumPauseMilliseconds = 500
/** Pause per process of the fleet, which limits fleets of up to 62 processes to 125 reads a second in total. */
const millisecondsPerProcess = 8

/** Returns the pause in milliseconds between a read that returned records and the next one, for a fleet of this size. */
export function jobsReadPauseMilliseconds (processes: number): number {
  return Math.min(maximumPauseMilliseconds, Math.max(minimumPauseMilliseconds, processes * millisecondsPerProcess))
}
