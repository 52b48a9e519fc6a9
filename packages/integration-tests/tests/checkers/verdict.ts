/** Result of a checker. */

/** Number of checks of one guarantee, and a description of each violation. */
export interface CheckResult {
  readonly guarantee: string
  readonly checked: number
  readonly violations: readonly string[]
}
