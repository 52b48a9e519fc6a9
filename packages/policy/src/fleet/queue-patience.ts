/**
 * How long an online request may wait for a slot and still be answered within its objective. Load: a
 * burst beyond all slots, in which the queue grows as long as it may. If it may grow so long that the
 * first event comes too late, every request is late, and none is better off than one refused at once.
 */

/** First estimate in milliseconds, before anything was measured: a prompt of usual size on an idle target. */
const initialMean = 60
const initialDeviation = 10
// Weights of the newest sample: https://www.rfc-editor.org/rfc/rfc6298#section-2
const meanWeight = 1 / 8
const deviationWeight = 1 / 4
/** Mean deviations that are left beside the mean. */
const margin = 2
/** Greatest part of the objective that a request may wait, however fast targets are. */
const greatestShare = 0.75
/** Least part, so that a slow moment does not turn everybody away. */
const leastShare = 0.4

/** Estimates the time from the grant of a slot to the first event. */
export class QueuePatience {
  #mean = initialMean
  #deviation = initialDeviation

  /** A first event came so many milliseconds after its request was sent. */
  add (milliseconds: number): void {
    this.#deviation += deviationWeight * (Math.abs(milliseconds - this.#mean) - this.#deviation)
    this.#mean += meanWeight * (milliseconds - this.#mean)
  }

  /** Milliseconds that a request with this objective may wait for a slot. */
  of (objective: number): number {
    const left = objective - this.#mean - margin * this.#deviation
    return Math.min(objective * greatestShare, Math.max(objective * leastShare, left))
  }
}
