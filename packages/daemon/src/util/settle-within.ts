/** Waiting for a promise with a limit. */
import { sleep } from './sleep.js'

/** Resolves with true when the promise has settled, or with false when the time is over. */
export async function settleWithin (promise: Promise<unknown>, milliseconds: number): Promise<boolean> {
  const abort = new AbortController()
  const settled = promise.then(() => true, () => true)
  const late = sleep(milliseconds, abort.signal).then(() => false)
  const result = await Promise.race([settled, late])
  // Otherwise the timer would keep the process alive.
  abort.abort()
  return result
}
