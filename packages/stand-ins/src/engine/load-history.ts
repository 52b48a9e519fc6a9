/** Load report of the engine stand-in, which shows the load as of `lagMilliseconds` ago. */
import type { EngineLoad } from '@arbutusloft/adapters'

const sampleIntervalMilliseconds = 50

/** Samples the load at an interval and reports it after a delay. */
export class LoadHistory {
  #samples: EngineLoad[] = [{ running: 0, queued: 0, measuredAt: 0 }]
  readonly #timer: NodeJS.Timeout

  constructor (
    private readonly lagMilliseconds: number,
    private readonly measureLoad: () => Pick<EngineLoad, 'running' | 'queued'>
  ) {
    this.#timer = setInterval(() => { this.#sample() }, sampleIntervalMilliseconds)
  }

  /** Returns the newest sample that is at least `lagMilliseconds` old, and drops the samples before it. */
  report (): EngineLoad {
    const newestVisibleTime = Date.now() - this.lagMilliseconds
    const index = this.#samples.findLastIndex(sample => sample.measuredAt <= newestVisibleTime)
    this.#samples = this.#samples.slice(Math.max(0, index))
    return this.#samples[0] ?? { running: 0, queued: 0, measuredAt: 0 }
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #sample (): void {
    this.#samples.push({ ...this.measureLoad(), measuredAt: Date.now() })
    // Called only to drop the samples that are no longer needed.
    this.report()
  }
}
