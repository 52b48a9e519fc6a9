/** The listeners of one event. */
export class Listeners<T> {
  readonly #listeners = new Set<(event: T) => void>()

  /** Adds a listener and returns the function that removes it. */
  add (listener: (event: T) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Calls every listener that was added before the call. */
  emit (event: T): void {
    for (const listener of [...this.#listeners]) {
      listener(event)
    }
  }
}
