/** Open-loop load: requests start at their times, whether earlier ones have ended or not. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const millisecondsPerSecond = 1_000

/** Seeded arrival times in milliseconds from 0, as a Poisson process of the rate that holds at each time. */
export function arrivalTimes (seed: number, milliseconds: number, ratePerSecond: (at: number) => number): readonly number[] {
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

/** Runs the task at each time and returns the results; a late start counts into the task's latency. */
export async function runOpenLoop<T> (times: readonly number[], task: (index: number, lateness: number) => Promise<T>): Promise<readonly T[]> {
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
