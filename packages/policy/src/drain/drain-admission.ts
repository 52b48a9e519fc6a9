/** Decides which requests an instance that stops still serves. */

/**
 * Once the instance stops, it admits a request only if that is over when the instance must end, however long its target takes: a request
 * that is broken off may have run, while one that is refused can be served by another instance at once.
 */
export class DrainAdmission {
  #endAt = Infinity

  /** @param endAt time at which the instance breaks off what is still in flight, in milliseconds since the epoch */
  begin (endAt: number): void {
    this.#endAt = endAt
  }

  /** @param deadline time at which the request is over in any case, by its caller's or its route's timeout, in milliseconds since the epoch */
  admits (deadline: number): boolean {
    return deadline <= this.#endAt
  }
}
