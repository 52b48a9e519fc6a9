/** The engine's load report, which lags. */
import type { EngineLoad } from '@arbutusloft/adapters'

const sampleMilliseconds = 50

/** Samples the load and tells what it was some time ago. */
export class LoadJournal {
  #samples: EngineLoad[] = [{ running: 0, queued: 0, measuredAt: 0 }]
  readonly #timer: NodeJS.Timeout

  constructor (
    private readonly lagMilliseconds: number,
    private readonly measure: () => Pick<EngineLoad, 'running' | 'queued'>
  ) {
    this.#timer = setInterval(() => { this.#sample() }, sampleMilliseconds)
  }

  /** The newest report that is old enough. */
  report (): EngineLoad {
    const visible = Date.now() - this.lagMilliseconds
    const index = this.#samples.findLastIndex(sample => sample.measuredAt <= visible)
    this.#samples = this.#samples.slice(Math.max(0, index))
    return this.#samples[0] ?? { running: 0, queued: 0, measuredAt: 0 }
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #sample (): void {
    this.#samples.push({ ...this.measure(), measuredAt: Date.now() })
    this.report()
  }
}
