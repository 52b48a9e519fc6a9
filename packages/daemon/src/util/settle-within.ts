/** Waiting for a promise with a timeout. */
import { sleep } from './sleep.js'

/** Resolves with true once the promise is fulfilled or rejected, or with false at the timeout. */
export async function settleWithin (promise: Promise<unknown>, milliseconds: number): Promise<boolean> {
  const abort = new AbortController()
  const settled = promise.then(() => true, () => true)
  const timedOut = sleep(milliseconds, abort.signal).then(() => false)
  const result = await Promise.race([settled, timedOut])
  // Stops the timer, which would otherwise keep the process alive.
  abort.abort()
  return result
}
