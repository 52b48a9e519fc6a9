/** Pauses after peers had no access to the store either, by what they were asked for; each pause is twice as long as the one before. */

const initialMilliseconds = 400
const maximumMilliseconds = 1_600

interface Pause {
  /** By the clock of `performance`. */
  until: number
  next: number
}

/** Limits how often peers are asked, so that an outage of the store does not cause calls among all members. */
export class RelayPauses {
  readonly #pauses = new Map<string, Pause>()

  isActive (key: string, now: number): boolean {
    return now < (this.#pauses.get(key)?.until ?? -Infinity)
  }

  /** Notes that no peer had access. */
  begin (key: string, now: number): void {
    const length = this.#pauses.get(key)?.next ?? initialMilliseconds
    this.#pauses.set(key, { until: now + length, next: Math.min(length * 2, maximumMilliseconds) })
  }

  /** Notes that a peer had access; a pause that is active goes on. */
  end (key: string): void {
    const pause = this.#pauses.get(key)
    if (pause !== undefined) {
      pause.next = initialMilliseconds
    }
  }
}
