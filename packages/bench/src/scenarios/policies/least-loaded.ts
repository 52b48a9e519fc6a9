/** Choice of the engine with the fewest requests. */

/** Counts requests at engines. */
export class LeastLoaded {
  readonly #counts: number[]

  constructor (engines: number) {
    this.#counts = Array.from({ length: engines }, () => 0)
  }

  /** Takes a place at the engine with the fewest requests. */
  take (): number {
    const least = Math.min(...this.#counts)
    const engine = this.#counts.indexOf(least)
    this.#counts[engine] = least + 1
    return engine
  }

  give (engine: number): void {
    this.#counts[engine] = (this.#counts[engine] ?? 0) - 1
  }
}
