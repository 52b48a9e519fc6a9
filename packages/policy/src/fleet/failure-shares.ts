/** Which targets have failed lately, and how often. Load: targets that fail a part of their requests while healthy. */

interface Share {
  value: number
  /** Time of the last outcome. */
  at: number
}

/** Weight of the newest outcome; a handful of outcomes decide. */
const weight = 0.2
/** Milliseconds in which a share halves without outcomes, so that a target which is avoided gets another chance. */
const halfLifeMilliseconds = 1_000
/** Share below which a target counts as sound; bounds what is kept. */
const leastShare = 0.02

/** Moving share of failures by target. */
export class FailureShares {
  readonly #shares = new Map<string, Share>()

  /** A request to the target has ended. */
  add (target: string, failed: boolean, now: number): void {
    const value = this.of(target, now) * (1 - weight) + (failed ? weight : 0)
    if (value < leastShare) {
      this.#shares.delete(target)
    } else {
      this.#shares.set(target, { value, at: now })
    }
  }

  /** Share from 0 to 1. */
  of (target: string, now: number): number {
    const share = this.#shares.get(target)
    return share === undefined ? 0 : share.value * 2 ** ((share.at - now) / halfLifeMilliseconds)
  }

  /** Drops what is kept of targets that are gone. */
  keepOnly (targets: ReadonlySet<string>): void {
    for (const target of this.#shares.keys()) {
      if (!targets.has(target)) {
        this.#shares.delete(target)
      }
    }
  }
}
