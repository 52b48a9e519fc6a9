/** Limits what one connection may read in a turn of the event loop, so that a fast sender does not keep others from being served. */

/** Bytes that are read from a connection in a turn: one full read. */
export const maximumBytesPerTurn = 65_536

/** Counts the bytes that are read from one connection in the current turn. */
export class ReadTurn {
  #bytes = 0

  /** @param onNext called in the next turn if reading has paused */
  constructor (private readonly onNext: () => void) {}

  /** Whether reading pauses until the next turn. */
  get isOver (): boolean {
    return this.remaining === 0
  }

  /** Bytes that may still be read in this turn. */
  get remaining (): number {
    return Math.max(0, maximumBytesPerTurn - this.#bytes)
  }

  /** Counts a read; returns whether the connection may be read on in this turn. A read that the event loop follows with those of others needs no count. */
  add (bytes: number): boolean {
    if (this.#bytes === 0 && bytes > 0) {
      setImmediate(() => { this.#startNext() })
    }
    this.#bytes += bytes
    return !this.isOver
  }

  #startNext (): void {
    const { isOver } = this
    this.#bytes = 0
    if (isOver) {
      this.onNext()
    }
  }
}
