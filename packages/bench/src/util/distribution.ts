/** Distributions of measured times. */
import { build } from 'hdr-histogram-js'

/** Percentiles of a distribution, in milliseconds, and its number of samples. */
export interface Distribution {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly p999: number
}

const microsecondsPerMillisecond = 1_000
const greatestMicroseconds = 600_000_000

/** Returns the distribution of times in milliseconds; times are recorded in whole microseconds with three significant digits. */
export function distributionOf (times: readonly number[]): Distribution {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: greatestMicroseconds, numberOfSignificantValueDigits: 3 })
  for (const time of times) {
    histogram.recordValue(Math.max(1, Math.round(time * microsecondsPerMillisecond)))
  }
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  return { count: times.length, p50: at(50), p95: at(95), p99: at(99), p999: at(99.9) }
}

/** Formats a distribution for printing. */
export function describeDistribution (distribution: Distribution): string {
  const { count, p50, p95, p99, p999 } = distribution
  const show = (value: number): string => value.toFixed(2)
  return `median ${show(p50)}, 95th ${show(p95)}, 99th ${show(p99)}, 99.9th ${show(p999)} ms (${count} samples)`
}
