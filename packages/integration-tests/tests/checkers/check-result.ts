/** Result of a checker. */

/** Result of checking one guarantee. */
export interface CheckResult {
  /** The guarantee in words. */
  readonly guarantee: string
  /** Number of requests, items or observations that were compared; for charges, the sum of the upper bounds. */
  readonly checked: number
  /** A description of each violation; empty if the guarantee held. */
  readonly violations: readonly string[]
}
