/** Selects the engine with the fewest requests. */

/** Counts the requests at each engine and selects the engine with the fewest. */
export class LeastLoadedSelector {
  readonly #counts: number[]

  constructor (engineCount: number) {
    this.#counts = Array.from({ length: engineCount }, () => 0)
  }

  /** Counts a request at the engine with the fewest requests and returns the index of the engine. */
  acquire (): number {
    const least = Math.min(...this.#counts)
    const engine = this.#counts.indexOf(least)
    this.#counts[engine] = least + 1
    return engine
  }

  /** Counts a request at an engine as ended. */
  release (engine: number): void {
    this.#counts[engine] = (this.#counts[engine] ?? 0) - 1
  }
}
