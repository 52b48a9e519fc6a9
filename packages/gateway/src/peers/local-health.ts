/**
 * How far a process trusts its own failure detection. A process that is slow, or cut off, gets few responses whatever the
 * state of the others: https://arxiv.org/abs/1707.00788 (Lifeguard)
 */

const maximumScore = 3

/** Counts signs that this process, and not the members that it probes, is at fault. */
export class LocalHealth {
  #score = 0

  /** Factor by which timeouts are longer than usual: 1 for a healthy process. */
  get timeoutFactor (): number {
    return 1 + this.#score
  }

  /** A probed member responded. */
  onResponse (): void {
    this.#score = Math.max(0, this.#score - 1)
  }

  /** Neither a probed member nor any member that was asked to probe it responded, or others suspected this process. */
  onFault (): void {
    this.#score = Math.min(maximumScore, this.#score + 1)
  }
}
