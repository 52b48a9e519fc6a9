/** Verdicts of checkers. */

/** How many operations were checked for a promise, and which broke it. */
export interface Verdict {
  readonly promise: string
  readonly checked: number
  readonly broken: readonly string[]
}
