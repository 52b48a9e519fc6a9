/** Interface of measurements. */

/** A measurement that `arbutus-bench` runs by name. */
export interface Measurement {
  /** Name on the command line and of the report file. */
  readonly name: string
  readonly description: string
  /** Runs the measurement, prints its results line by line and returns them for the JSON report. */
  run: (print: (line: string) => void) => Promise<unknown>
}
