/** Open-loop load: each request starts at its scheduled time, whether or not earlier ones have ended. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const millisecondsPerSecond = 1_000

/**
 * Returns seeded arrival times that approximate a Poisson process whose rate changes with time: each gap between arrivals
 * uses the rate at its start.
 * @param milliseconds duration of the load; the arrival times lie between 0 and this
 * @param ratePerSecond returns the arrival rate at a time in milliseconds
 */
export function generateArrivalTimes (seed: number, milliseconds: number, ratePerSecond: (atMilliseconds: number) => number): readonly number[] {
  const random = xoroshiro128plus(seed)
  const times: number[] = []
  for (let at = 0; at < milliseconds;) {
    const rate = ratePerSecond(at)
    if (rate <= 0) {
      at += 1
      continue
    }
    at += -Math.log(1 - uniformFloat64(random)) / rate * millisecondsPerSecond
    if (at < milliseconds) {
      times.push(at)
    }
  }
  return times
}

/**
 * Starts a task at each time and returns the results. Each task receives the milliseconds by which it started late, to
 * add to its latency: without them, a delay of the load generator would hide part of the latency.
 */
export async function runOpenLoop<T> (times: readonly number[], task: (index: number, latenessMilliseconds: number) => Promise<T>): Promise<readonly T[]> {
  const startedAt = performance.now()
  const running: Array<Promise<T>> = []
  for (const [index, at] of times.entries()) {
    const wait = startedAt + at - performance.now()
    if (wait > 0) {
      await new Promise(resolve => { setTimeout(resolve, wait) })
    }
    running.push(task(index, Math.max(0, performance.now() - startedAt - at)))
  }
  return await Promise.all(running)
}
