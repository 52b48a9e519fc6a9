/** Combines abort signals. */

/** A signal that aborts with others, until it is released. */
export interface CombinedSignal {
  readonly signal: AbortSignal
  /** Removes the listeners from the other signals. */
  release: () => void
}

/**
 * Returns a signal that aborts when one of the given signals does, with the same reason. `AbortSignal.any` isn't
 * used because it leaks memory on long-lived signals: https://github.com/nodejs/node/issues/54614
 */
export function combineSignals (signals: readonly AbortSignal[]): CombinedSignal {
  const controller = new AbortController()
  const abort = (): void => { controller.abort(signals.find(signal => signal.aborted)?.reason) }
  for (const signal of signals) {
    if (signal.aborted) {
      abort()
    }
    signal.addEventListener('abort', abort)
  }
  return {
    signal: controller.signal,
    release: () => {
      for (const signal of signals) {
        signal.removeEventListener('abort', abort)
      }
    }
  }
}
