/** Load report of the engine stand-in, which shows the load of a moment ago. */
import type { EngineLoad } from '@arbutusloft/adapters'

const sampleMilliseconds = 50

/** Samples the load at an interval and reports it after a delay. */
export class LoadHistory {
  #samples: EngineLoad[] = [{ running: 0, queued: 0, measuredAt: 0 }]
  readonly #timer: NodeJS.Timeout

  constructor (
    private readonly lagMilliseconds: number,
    private readonly measureLoad: () => Pick<EngineLoad, 'running' | 'queued'>
  ) {
    this.#timer = setInterval(() => { this.#sample() }, sampleMilliseconds)
  }

  /** Returns the newest sample that is older than the delay. */
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
    this.report()
  }
}
