/** A clock for ages of events, which no change of the wall clock moves. */

/** Time by which the wall clock has to move ahead of this clock until it counts as a jump. */
const jumpMilliseconds = 500

/** Milliseconds since the epoch by the monotonic clock, which stands still while the process is stopped on some platforms; {@link SteadyClock.advance} makes up for that. */
export class SteadyClock {
  #lostMilliseconds = 0
  #ahead: number

  constructor (
    private readonly monotonic = () => performance.timeOrigin + performance.now(),
    private readonly wall = () => Date.now()
  ) {
    this.#ahead = wall() - monotonic()
  }

  now (): number {
    return this.monotonic() + this.#lostMilliseconds
  }

  /** Whether the wall clock has moved ahead since the last call: it was set, or the process was stopped. */
  hasJumped (): boolean {
    const ahead = this.wall() - this.monotonic()
    const change = ahead - this.#ahead
    this.#ahead = ahead
    return change > jumpMilliseconds
  }

  /** Adds time that the process was stopped for. */
  advance (milliseconds: number): void {
    this.#lostMilliseconds += milliseconds
  }
}
