/** Bounds the bytes of request bodies that are in flight to one target: a target terminates if the requests that it holds exceed its memory. */

interface WaitingBody {
  readonly bytes: number
  readonly send: () => void
}

/** Counts the bodies in flight to one target from this process, and lets further ones wait. */
export class TargetBytes {
  #inFlight = 0
  readonly #waiting = new Set<WaitingBody>()

  /** Whether nothing is in flight and nothing waits. */
  get isIdle (): boolean {
    return this.#inFlight === 0 && this.#waiting.size === 0
  }

  /**
   * Calls `send` as soon as a body has room, at once if it can. A body that is longer than the maximum is sent when it is the only one.
   *
   * @returns ends the body, whether it was sent or not
   */
  send (bytes: number, maximumBytes: number, send: () => void): () => void {
    const body: WaitingBody = { bytes, send }
    let isEnded = false
    this.#waiting.add(body)
    this.#sendNext(maximumBytes)
    return () => {
      if (isEnded) {
        return
      }
      isEnded = true
      if (!this.#waiting.delete(body)) {
        this.#inFlight -= bytes
      }
      this.#sendNext(maximumBytes)
    }
  }

  #sendNext (maximumBytes: number): void {
    for (const body of this.#waiting) {
      if (this.#inFlight > 0 && this.#inFlight + body.bytes > maximumBytes) {
        return
      }
      this.#waiting.delete(body)
      this.#inFlight += body.bytes
      body.send()
    }
  }
}
