/** Simulated time: events run in the order of their times, and in the order of their creation at the same time. */
import TinyQueue from 'tinyqueue'

interface TimedEvent {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

/** A clock that jumps from one event to the next. */
export class SimulatedClock {
  readonly #events = new TinyQueue<TimedEvent>([], (left, right) => left.at - right.at || left.sequence - right.sequence)
  #sequence = 0
  #now = 0

  /** Milliseconds since the start. */
  get now (): number {
    return this.#now
  }

  /** Runs a function after the given milliseconds. */
  after (milliseconds: number, run: () => void): void {
    this.#sequence += 1
    this.#events.push({ at: this.#now + Math.max(0, milliseconds), sequence: this.#sequence, run })
  }

  /** Runs all events until the given time. */
  runUntil (end: number): void {
    for (let event = this.#events.peek(); event !== undefined && event.at <= end; event = this.#events.peek()) {
      this.#events.pop()
      this.#now = event.at
      event.run()
    }
    this.#now = end
  }
}
