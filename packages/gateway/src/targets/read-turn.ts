/** Limits what one connection may read in a turn of the event loop, so that a fast sender does not keep others from being served. */

/** Bytes that are read from a connection in a turn: one full read. */
export const maximumBytesPerTurn = 65_536

/** Counts the bytes that are read from one connection without a pause. */
export class ReadTurn {
  #bytes = 0
  #isOver = false

  /** @param onNext called in the next turn after {@link ReadTurn.add} has returned false */
  constructor (private readonly onNext: () => void) {}

  /** Whether reading pauses until the next turn. */
  get isOver (): boolean {
    return this.#isOver
  }

  /**
   * Counts a read; returns whether the connection may be read on in this turn.
   *
   * @param isDrained whether the read has taken all that had arrived, so that the event loop serves others next
   */
  add (bytes: number, isDrained: boolean): boolean {
    if (isDrained) {
      this.#bytes = 0
      return !this.#isOver
    }
    this.#bytes += bytes
    if (this.#bytes >= maximumBytesPerTurn && !this.#isOver) {
      this.#isOver = true
      setImmediate(() => {
        this.#isOver = false
        this.#bytes = 0
        this.onNext()
      })
    }
    return !this.#isOver
  }
}
