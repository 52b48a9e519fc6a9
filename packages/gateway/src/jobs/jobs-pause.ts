/** How often processes read the jobs' topic, which changes all the time while jobs run. */

/** Shortest pause in milliseconds: results are listed within two tenths of a second. */
const leastPauseMilliseconds = 150
/** Longest pause in milliseconds: reads of results need what is at most 700 ms old. */
const greatestPauseMilliseconds = 500
/** Milliseconds of pause for each process, so that all together make at most 125 reads a second up to 62 processes. */
const millisecondsPerProcess = 8

/** Milliseconds between a read that brought records and the next one, in a fleet of so many processes. */
export function jobsPauseMilliseconds (processes: number): number {
  return Math.min(greatestPauseMilliseconds, Math.max(leastPauseMilliseconds, processes * millisecondsPerProcess))
}
