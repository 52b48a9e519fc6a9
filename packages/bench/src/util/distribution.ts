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
const maximumMicroseconds = 600_000_000

/** Returns the distribution of times in milliseconds; times are recorded in whole microseconds with three significant digits. */
export function computeDistribution (times: readonly number[]): Distribution {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: maximumMicroseconds, numberOfSignificantValueDigits: 3 })
  for (const time of times) {
    histogram.recordValue(Math.max(1, Math.round(time * microsecondsPerMillisecond)))
  }
  const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  return { count: times.length, p50: valueAt(50), p95: valueAt(95), p99: valueAt(99), p999: valueAt(99.9) }
}

/** Formats a distribution for printing. */
export function formatDistribution (distribution: Distribution): string {
  const { count, p50, p95, p99, p999 } = distribution
  const format = (value: number): string => value.toFixed(2)
  return `median ${format(p50)}, 95th ${format(p95)}, 99th ${format(p99)}, 99.9th ${format(p999)} ms (${count} samples)`
}
