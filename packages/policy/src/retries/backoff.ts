/** Delays between retries: https://en.wikipedia.org/wiki/Exponential_backoff */

/** Options of {@link backoffMilliseconds}. */
export interface BackoffOptions {
  /** Maximum delay before the first retry; doubles with each further retry. */
  readonly baseMilliseconds: number
  /** Maximum delay before any retry. */
  readonly capMilliseconds: number
}

export const defaultBackoffOptions: BackoffOptions = {
  baseMilliseconds: 50,
  capMilliseconds: 5_000
}

/**
 * Returns the delay before a retry: exponential backoff with full jitter.
 *
 * @param attempt number of failed attempts, from 1
 * @param random a number from 0 to 1, both inclusive
 */
export function backoffMilliseconds (attempt: number, random: number, options = defaultBackoffOptions): number {
  const ceiling = Math.min(options.capMilliseconds, options.baseMilliseconds * 2 ** (attempt - 1))
  return ceiling * random
}
