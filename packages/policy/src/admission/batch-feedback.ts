/** Feedback from online latency to how much batch work a target takes. */

/** Options of {@link BatchFeedback}. */
export interface BatchFeedbackOptions {
  /** Bound on the 95th percentile of online time to first token. */
  readonly timeToFirstTokenMilliseconds: number
  /** Bound on the 95th percentile of online time between tokens. */
  readonly timeBetweenTokensMilliseconds: number
  /** Part of a bound at which batch work is reduced. */
  readonly alarm: number
  /** Factor by which an alarm reduces the limit. */
  readonly decrease: number
  /** Milliseconds between adjustments. */
  readonly periodMilliseconds: number
  /** Milliseconds for which a sample counts. */
  readonly sampleMilliseconds: number
}

export const defaultBatchFeedback: BatchFeedbackOptions = {
  timeToFirstTokenMilliseconds: 1_200,
  timeBetweenTokensMilliseconds: 62,
  alarm: 0.8,
  decrease: 0.7,
  periodMilliseconds: 250,
  sampleMilliseconds: 2_000
}

interface Sample {
  readonly at: number
  readonly value: number
}

const percentile = 0.95

/** Additive increase, multiplicative decrease of one target's batch limit. */
export class BatchFeedback {
  #limit: number
  #adjustedAt = 0
  #firstTokens: Sample[] = []
  #gaps: Sample[] = []

  constructor (private readonly concurrency: number, private readonly options = defaultBatchFeedback) {
    this.#limit = concurrency
  }

  /** How many batch requests the target may run. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /** An online request reports its latencies, where it has them. */
  observe (timeToFirstToken: number | null, timeBetweenTokens: number | null, now: number): void {
    if (timeToFirstToken !== null) {
      this.#firstTokens.push({ at: now, value: timeToFirstToken })
    }
    if (timeBetweenTokens !== null) {
      this.#gaps.push({ at: now, value: timeBetweenTokens })
    }
  }

  /** Adjusts the limit if a period has passed. */
  adjust (now: number): void {
    if (now - this.#adjustedAt < this.options.periodMilliseconds) {
      return
    }
    this.#adjustedAt = now
    this.#firstTokens = this.#recent(this.#firstTokens, now)
    this.#gaps = this.#recent(this.#gaps, now)
    if (this.#alarmed()) {
      this.#limit = Math.max(1, this.#limit * this.options.decrease)
      // The samples spoke for the old limit; the next decision waits for new ones.
      this.#firstTokens = []
      this.#gaps = []
      return
    }
    this.#limit = Math.min(this.concurrency, this.#limit + 1)
  }

  #recent (samples: Sample[], now: number): Sample[] {
    return samples.filter(sample => now - sample.at <= this.options.sampleMilliseconds)
  }

  #alarmed (): boolean {
    const { timeToFirstTokenMilliseconds, timeBetweenTokensMilliseconds, alarm } = this.options
    return highOf(this.#firstTokens) > alarm * timeToFirstTokenMilliseconds ||
      highOf(this.#gaps) > alarm * timeBetweenTokensMilliseconds
  }
}

function highOf (samples: readonly Sample[]): number {
  if (samples.length === 0) {
    return 0
  }
  const values = samples.map(sample => sample.value).sort((left, right) => left - right)
  return values[Math.min(values.length - 1, Math.floor(values.length * percentile))] ?? 0
}
