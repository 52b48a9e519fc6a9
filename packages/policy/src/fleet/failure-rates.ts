/** Recent failure rate of each target. Load: targets that fail part of their requests although their health checks pass. */

interface FailureRate {
  value: number
  /** Time at which the rate was last updated, in milliseconds since the epoch. */
  updatedAt: number
}

/** Weight of the newest outcome in the moving average; the last few outcomes dominate the rate. */
const outcomeWeight = 0.2
/** Half-life of a rate without new outcomes, so that a target that was avoided for its failures is tried again. */
const halfLifeMilliseconds = 1_000
/** Rates below this value count as zero and are dropped, which bounds the number of entries. */
const minimumKeptRate = 0.02

/** Exponentially weighted failure rate by target, decaying over time. */
export class FailureRates {
  readonly #rates = new Map<string, FailureRate>()

  /** Records the outcome of a request to the target. */
  recordOutcome (target: string, failed: boolean, now: number): void {
    const value = this.rateOf(target, now) * (1 - outcomeWeight) + (failed ? outcomeWeight : 0)
    if (value < minimumKeptRate) {
      this.#rates.delete(target)
    } else {
      this.#rates.set(target, { value, updatedAt: now })
    }
  }

  /** Returns the target's failure rate, from 0 to 1. */
  rateOf (target: string, now: number): number {
    const rate = this.#rates.get(target)
    return rate === undefined ? 0 : rate.value * 2 ** ((rate.updatedAt - now) / halfLifeMilliseconds)
  }

  /** Drops the rates of targets that are not in the set. */
  retainTargets (targets: ReadonlySet<string>): void {
    for (const target of this.#rates.keys()) {
      if (!targets.has(target)) {
        this.#rates.delete(target)
      }
    }
  }
}
