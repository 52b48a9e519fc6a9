/** What a measurement is. */

/** A measurement that the bench can run by name. */
export interface Measure {
  readonly name: string
  readonly description: string
  /** Runs it and prints its figures; resolves with them for the JSON report. */
  run: (print: (line: string) => void) => Promise<unknown>
}
