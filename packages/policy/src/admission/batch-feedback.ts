/** Feedback control that limits a target's batch work by the latency of its online requests. */

/** Options of {@link BatchFeedback}. */
export interface BatchFeedbackOptions {
  /** Maximum 95th percentile of the online time to first token. */
  readonly maximumTimeToFirstTokenMilliseconds: number
  /** Maximum 95th percentile of the online time between tokens. */
  readonly maximumTimeBetweenTokensMilliseconds: number
  /** Fraction of a latency bound above which the limit is reduced, in proportion to the excess. */
  readonly reductionThreshold: number
  /** Fraction of a latency bound below which the limit grows. */
  readonly growthThreshold: number
  /** Initial limit, before any online latency is known, as a fraction of the target's concurrency. */
  readonly initialFraction: number
  /** Milliseconds between adjustments. */
  readonly adjustmentMilliseconds: number
  /** Milliseconds for which a latency sample is used. */
  readonly sampleLifetimeMilliseconds: number
}

export const defaultBatchFeedbackOptions: BatchFeedbackOptions = {
  maximumTimeToFirstTokenMilliseconds: 1_200,
  maximumTimeBetweenTokensMilliseconds: 62,
  reductionThreshold: 0.8,
  growthThreshold: 0.6,
  initialFraction: 0.5,
  adjustmentMilliseconds: 250,
  sampleLifetimeMilliseconds: 2_000
}

interface Sample {
  /** Time in milliseconds since the epoch. */
  readonly observedAt: number
  /** Latency in milliseconds. */
  readonly value: number
}

const latencyPercentile = 0.95

/**
 * Limits the concurrent batch requests of one target by the latencies that online requests report when they end.
 *
 * The limit is reduced in proportion to the excess latency, because the time of an engine's step grows with the number of
 * requests in it. After a reduction only requests that began under the new limit are sampled. Without online requests the
 * limit does not change, so that it still holds when they return.
 */
export class BatchFeedback {
  #limit: number
  #adjustedAt = 0
  #reducedAt = -Infinity
  #firstTokenSamples: Sample[] = []
  #tokenGapSamples: Sample[] = []

  constructor (private readonly concurrency: number, private readonly options = defaultBatchFeedbackOptions) {
    this.#limit = Math.max(1, concurrency * options.initialFraction)
  }

  /** Number of batch requests that the target may run beside online ones. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /**
   * Records the latencies of an online request that has ended.
   *
   * @param timeToFirstToken milliseconds, or null if not measured
   * @param timeBetweenTokens mean milliseconds, or null if not measured
   * @param beganAt time at which the request was granted, in milliseconds since the epoch
   */
  observe (timeToFirstToken: number | null, timeBetweenTokens: number | null, beganAt: number, now: number): void {
    if (beganAt < this.#reducedAt) {
      return
    }
    if (timeToFirstToken !== null) {
      this.#firstTokenSamples.push({ observedAt: now, value: timeToFirstToken })
    }
    if (timeBetweenTokens !== null) {
      this.#tokenGapSamples.push({ observedAt: now, value: timeBetweenTokens })
    }
  }

  /** Adjusts the limit, at most once in each adjustment period. */
  adjust (now: number): void {
    if (now - this.#adjustedAt < this.options.adjustmentMilliseconds) {
      return
    }
    this.#adjustedAt = now
    this.#firstTokenSamples = this.#recent(this.#firstTokenSamples, now)
    this.#tokenGapSamples = this.#recent(this.#tokenGapSamples, now)
    const { reductionThreshold, growthThreshold } = this.options
    const latencyRatio = this.#latencyRatio()
    if (latencyRatio > reductionThreshold) {
      this.#limit = Math.max(1, this.#limit * reductionThreshold / latencyRatio)
      this.#reducedAt = now
      this.#firstTokenSamples = []
      this.#tokenGapSamples = []
    } else if (latencyRatio > 0 && latencyRatio < growthThreshold && !this.#isSettling(now)) {
      this.#limit = Math.min(this.concurrency, this.#limit + 1)
    }
  }

  /** Whether the last reduction is so recent that requests which began after it may not have ended. */
  #isSettling (now: number): boolean {
    return now - this.#reducedAt < this.options.sampleLifetimeMilliseconds
  }

  #recent (samples: Sample[], now: number): Sample[] {
    return samples.filter(sample => now - sample.observedAt <= this.options.sampleLifetimeMilliseconds)
  }

  /** Highest ratio of a latency's 95th percentile to its configured maximum; 0 without samples. */
  #latencyRatio (): number {
    const { maximumTimeToFirstTokenMilliseconds, maximumTimeBetweenTokensMilliseconds } = this.options
    return Math.max(
      percentileOf(this.#firstTokenSamples) / maximumTimeToFirstTokenMilliseconds,
      percentileOf(this.#tokenGapSamples) / maximumTimeBetweenTokensMilliseconds
    )
  }
}

function percentileOf (samples: readonly Sample[]): number {
  if (samples.length === 0) {
    return 0
  }
  const values = samples.map(sample => sample.value).sort((left, right) => left - right)
  return values[Math.min(values.length - 1, Math.floor(values.length * latencyPercentile))] ?? 0
}
