/** A timer that is set only while there is something to wait for. */

/** Runs a handler at the earliest of the times for which it was set; an interval would wake the process even with nothing to do. */
export class Alarm {
  #timer: NodeJS.Timeout | null = null
  /** Time for which the timer is set, in milliseconds since the epoch. */
  #setFor = Infinity
  #isClosed = false

  /** @param handler returns the time at which to run it again, in milliseconds since the epoch; `Infinity` for not at all */
  constructor (private readonly handler: (now: number) => number) {}

  /** Makes the handler run no later than the given time, in milliseconds since the epoch; does nothing once the alarm is closed. */
  setBy (time: number): void {
    if (this.#isClosed || time >= this.#setFor) {
      return
    }
    this.#cancel()
    this.#setFor = time
    this.#timer = setTimeout(() => { this.#run() }, Math.max(0, time - Date.now()))
  }

  /** Cancels the timer for good: calls that are still in flight may set the alarm later. */
  close (): void {
    this.#isClosed = true
    this.#cancel()
  }

  #cancel (): void {
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
    this.#timer = null
    this.#setFor = Infinity
  }

  #run (): void {
    this.#timer = null
    this.#setFor = Infinity
    this.setBy(this.handler(Date.now()))
  }
}
