/** Linear regression of measured values over sizes. */

/** A size and the value measured at it. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Line fitted by least squares. */
export interface FittedLine {
  /** Increase of the value for each unit of size; 0 if all sizes are equal. */
  readonly perUnit: number
  /** Value of the line at size 0. */
  readonly base: number
  readonly points: readonly Point[]
}

/** Fits a line to points by least squares: https://en.wikipedia.org/wiki/Simple_linear_regression */
export function fitLine (points: readonly Point[]): FittedLine {
  const meanOf = (pick: (point: Point) => number): number => {
    return points.reduce((sum, point) => sum + pick(point), 0) / points.length
  }
  const meanSize = meanOf(point => point.size)
  const meanValue = meanOf(point => point.value)
  const covariance = meanOf(point => (point.size - meanSize) * (point.value - meanValue))
  const variance = meanOf(point => (point.size - meanSize) ** 2)
  const perUnit = variance === 0 ? 0 : covariance / variance
  return { perUnit, base: meanValue - perUnit * meanSize, points }
}

/** Formats a line for printing, with the measured value at each size. */
export function formatLine (name: string, unit: string, line: FittedLine): string {
  const points = line.points.map(({ size, value }) => `${size}: ${value.toPrecision(3)}`).join(', ')
  return `${name}: ${line.perUnit.toPrecision(3)} ${unit} per unit of size, ${line.base.toPrecision(3)} ${unit} at size 0 (measured at ${points})`
}
