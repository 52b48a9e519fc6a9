/** Recent failure rate of each target. Load: targets that fail part of their requests although their health checks pass. */

interface Share {
  value: number
  /** Time at which the rate was last updated, in milliseconds since the epoch. */
  at: number
}

/** Weight of the newest outcome in the moving average; a handful of outcomes decide the rate. */
const weight = 0.2
/** Half-life of a rate without new outcomes, so that a target that was avoided for its failures is tried again. */
const halfLifeMilliseconds = 1_000
/** Rates below this value count as zero and are dropped, which bounds the number of entries. */
const leastShare = 0.02

/** Exponentially weighted failure rate by target, decaying over time. */
export class FailureShares {
  readonly #shares = new Map<string, Share>()

  /** Records the outcome of a request to the target. */
  add (target: string, failed: boolean, now: number): void {
    const value = this.of(target, now) * (1 - weight) + (failed ? weight : 0)
    if (value < leastShare) {
      this.#shares.delete(target)
    } else {
      this.#shares.set(target, { value, at: now })
    }
  }

  /** Returns the target's failure rate, from 0 to 1. */
  of (target: string, now: number): number {
    const share = this.#shares.get(target)
    return share === undefined ? 0 : share.value * 2 ** ((share.at - now) / halfLifeMilliseconds)
  }

  /** Drops the rates of targets that are not in the set. */
  keepOnly (targets: ReadonlySet<string>): void {
    for (const target of this.#shares.keys()) {
      if (!targets.has(target)) {
        this.#shares.delete(target)
      }
    }
  }
}
