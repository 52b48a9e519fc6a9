/** Linear regression of measured values over sizes. */

/** A size and the value measured at it. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Line fitted by least squares. */
export interface Slope {
  /** Increase of the value for each unit of size. */
  readonly perUnit: number
  /** Value of the line at size 0. */
  readonly base: number
  readonly points: readonly Point[]
}

/** Fits a line to points by least squares: https://en.wikipedia.org/wiki/Simple_linear_regression */
export function slopeOf (points: readonly Point[]): Slope {
  const mean = (pick: (point: Point) => number): number => {
    return points.reduce((sum, point) => sum + pick(point), 0) / points.length
  }
  const size = mean(point => point.size)
  const value = mean(point => point.value)
  const covariance = mean(point => (point.size - size) * (point.value - value))
  const variance = mean(point => (point.size - size) ** 2)
  const perUnit = variance === 0 ? 0 : covariance / variance
  return { perUnit, base: value - perUnit * size, points }
}

/** Formats a slope for printing. */
export function describeSlope (name: string, unit: string, slope: Slope): string {
  const points = slope.points.map(({ size, value }) => `${size}: ${value.toPrecision(3)}`).join(', ')
  return `${name}: ${slope.perUnit.toPrecision(3)} ${unit} each, base ${slope.base.toPrecision(3)} (${points})`
}
