/** Feedback from online latency to how much batch work a target takes. */

/** Options of {@link BatchFeedback}. */
export interface BatchFeedbackOptions {
  /** Bound on the 95th percentile of online time to first token. */
  readonly timeToFirstTokenMilliseconds: number
  /** Bound on the 95th percentile of online time between tokens. */
  readonly timeBetweenTokensMilliseconds: number
  /** Part of a bound above which batch work is reduced, in proportion to the excess. */
  readonly alarm: number
  /** Part of a bound below which batch work may grow. */
  readonly comfort: number
  /** Part of the concurrency that batch work may take beside online before anything is known. */
  readonly initialPart: number
  /** Milliseconds between adjustments. */
  readonly periodMilliseconds: number
  /** Milliseconds for which a sample counts. */
  readonly sampleMilliseconds: number
}

export const defaultBatchFeedback: BatchFeedbackOptions = {
  timeToFirstTokenMilliseconds: 1_200,
  timeBetweenTokensMilliseconds: 62,
  alarm: 0.8,
  comfort: 0.6,
  initialPart: 0.5,
  periodMilliseconds: 250,
  sampleMilliseconds: 2_000
}

interface Sample {
  readonly at: number
  readonly value: number
}

const percentile = 0.95

/**
 * Bounds one target's batch work by the latency that online requests report when they end.
 * A reduction is in proportion to the excess, since a step's time grows with the requests in
 * it; afterwards only requests that began under the new limit are heard. Without online
 * requests nothing is learned, and the limit stays for the time when they come back.
 */
export class BatchFeedback {
  #limit: number
  #adjustedAt = 0
  #reducedAt = -Infinity
  #firstTokens: Sample[] = []
  #gaps: Sample[] = []

  constructor (private readonly concurrency: number, private readonly options = defaultBatchFeedback) {
    this.#limit = Math.max(1, concurrency * options.initialPart)
  }

  /** How many batch requests the target may run beside online ones. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /** An online request that began at a time reports its latencies, where it has them. */
  observe (timeToFirstToken: number | null, timeBetweenTokens: number | null, beganAt: number, now: number): void {
    if (beganAt < this.#reducedAt) {
      return
    }
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
    const { alarm, comfort } = this.options
    const load = this.#load()
    if (load > alarm) {
      this.#limit = Math.max(1, this.#limit * alarm / load)
      this.#reducedAt = now
      this.#firstTokens = []
      this.#gaps = []
    } else if (load > 0 && load < comfort && !this.#isSettling(now)) {
      this.#limit = Math.min(this.concurrency, this.#limit + 1)
    }
  }

  /** Whether a reduction is too recent for requests that began after it to have ended. */
  #isSettling (now: number): boolean {
    return now - this.#reducedAt < this.options.sampleMilliseconds
  }

  #recent (samples: Sample[], now: number): Sample[] {
    return samples.filter(sample => now - sample.at <= this.options.sampleMilliseconds)
  }

  /** The latency nearest to its bound, as a part of it; 0 without samples. */
  #load (): number {
    const { timeToFirstTokenMilliseconds, timeBetweenTokensMilliseconds } = this.options
    return Math.max(
      highOf(this.#firstTokens) / timeToFirstTokenMilliseconds,
      highOf(this.#gaps) / timeBetweenTokensMilliseconds
    )
  }
}

function highOf (samples: readonly Sample[]): number {
  if (samples.length === 0) {
    return 0
  }
  const values = samples.map(sample => sample.value).sort((left, right) => left - right)
  return values[Math.min(values.length - 1, Math.floor(values.length * percentile))] ?? 0
}
