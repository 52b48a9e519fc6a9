/** Which targets are known to leave, whatever the list of targets says. */

/** Number of targets that are remembered; the ones heard of first are forgotten. */
const maximumTargets = 1_000

/**
 * Remembers targets that leave, by id and by the time of their start: a target that starts again under its id has a later one
 * and is not leaving.
 */
export class LeavingTargets {
  readonly #bornById = new Map<string, number>()

  /**
   * Records that a target leaves.
   *
   * @param born start of the target in milliseconds since the epoch, 0 if it is unknown
   * @returns whether this was unknown
   */
  add (id: string, born: number): boolean {
    if (this.has(id, born)) {
      return false
    }
    this.#bornById.delete(id)
    this.#bornById.set(id, born)
    const [oldest] = this.#bornById.keys()
    if (this.#bornById.size > maximumTargets && oldest !== undefined) {
      this.#bornById.delete(oldest)
    }
    return true
  }

  /** Whether the target that started at this time is known to leave. */
  has (id: string, born: number): boolean {
    return born <= (this.#bornById.get(id) ?? -Infinity)
  }
}
