/** Combination of abort signals. */

/** A signal that follows others until it is released. */
export interface CombinedSignal {
  readonly signal: AbortSignal
  /** Stops listening to the others. */
  release: () => void
}

/**
 * A signal that aborts when one of the others does. Unlike `AbortSignal.any` it leaves
 * nothing behind on long-lived signals: https://github.com/nodejs/node/issues/54614
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
