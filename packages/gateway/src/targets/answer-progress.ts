/** Tells whether an answer goes well for so long that its target does not crash under what it has sent, and how fast its events come. */
import type { AnswerTiming } from '@arbutusloft/policy'

const firstSuccessStatus = 200
const lastSuccessStatus = 299

/**
 * Time for which an answer has to bring data to show that its target does not crash under its prompt: several
 * intervals between events, and longer than an item's answer is left unread.
 */
export const soundAnswerMilliseconds = 300
/** Time after which another event has to follow: events that had arrived while this process stood still are read at once. */
const followingMilliseconds = 50

/** Whether a status tells of a success: https://www.rfc-editor.org/rfc/rfc9110#section-15.3 */
export function isSuccess (status: number | null): boolean {
  return status !== null && status >= firstSuccessStatus && status <= lastSuccessStatus
}

/** Further events from which the time between them is known. */
const minimumFurtherEvents = 4

/** Follows the data of one answer. Times are in milliseconds since the epoch. */
export class AnswerProgress {
  #firstDataAt: number | null = null
  #firstEventAt: number | null = null
  /** Time of the first event after which the answer has gone well for long enough, if another one follows. */
  #soundSince: number | null = null
  #isSound = false
  #latestAt = 0
  #firstPlace = 0
  #isHeldBack = false

  /**
   * @param place id of the last event before this answer, or 0
   * @param onSound called once, when the answer has gone well for long enough, with the id of the latest event
   */
  constructor (private place: number, private readonly onSound: (place: number) => void) {}

  /** Time of the first data of the answer's body, or null before. */
  get firstDataAt (): number | null {
    return this.#firstDataAt
  }

  /** Whether a success has brought events with higher and higher ids for long enough. */
  get isSound (): boolean {
    return this.#isSound
  }

  /** Records that the receiver of the answer does not take data as fast as it arrives, so that its times say nothing of the target. */
  onHeldBack (): void {
    this.#isHeldBack = true
  }

  /**
   * Returns the times of an answer that is complete, or null if they say nothing of its target.
   *
   * @param sentAt time at which the request was sent, or null if it was not
   */
  timingOf (status: number | null, sentAt: number | null): AnswerTiming | null {
    if (sentAt === null || this.#firstDataAt === null || this.#isHeldBack || !isSuccess(status)) {
      return null
    }
    const furtherEvents = this.place - this.#firstPlace
    const firstAt = this.#firstEventAt ?? this.#firstDataAt
    const hasEvents = this.#firstEventAt !== null && furtherEvents >= minimumFurtherEvents
    return { firstEvent: Math.max(0, firstAt - sentAt), betweenEvents: hasEvents ? Math.max(0, this.#latestAt - firstAt) / furtherEvents : null }
  }

  /** Records that data of the body has arrived; `place` is the id of the latest event, or 0 before the first. */
  onData (status: number | null, place: number): void {
    const now = Date.now()
    this.#firstDataAt ??= now
    this.#latestAt = now
    if (place <= this.place || !isSuccess(status)) {
      return
    }
    this.place = place
    if (this.#firstEventAt === null) {
      this.#firstEventAt = now
      this.#firstPlace = place
    }
    if (this.#soundSince === null) {
      this.#soundSince = now - this.#firstEventAt >= soundAnswerMilliseconds ? now : null
    } else if (!this.#isSound && now - this.#soundSince >= followingMilliseconds) {
      this.#isSound = true
      this.onSound(place)
    }
  }
}
