/** Timeouts for calls that take an abort signal. */
import { combineSignals } from './combine-signals.js'

/**
 * Runs a call with a signal that aborts after a timeout, or when the outer signal aborts.
 * `AbortSignal.any` isn't used over `AbortSignal.timeout`: its signal may be garbage-collected before it
 * fires, and the call then never ends: https://github.com/nodejs/node/issues/54614
 */
export async function withTimeLimit<T> (
  milliseconds: number,
  call: (signal: AbortSignal) => Promise<T>,
  outer?: AbortSignal
): Promise<T> {
  const timeout = new AbortController()
  const timer = setTimeout(() => { timeout.abort(new Error(`no answer within ${milliseconds} ms`)) }, milliseconds)
  const combined = combineSignals(outer === undefined ? [timeout.signal] : [timeout.signal, outer])
  try {
    return await call(combined.signal)
  } finally {
    clearTimeout(timer)
    combined.release()
  }
}
