/** Tells whether an answer goes well for so long that its target does not crash under the request. */

const firstSuccessStatus = 200
const lastSuccessStatus = 299

/**
 * Time for which an answer has to bring data to show that its target does not crash under its prompt: several
 * intervals between events, and longer than an item's answer is left unread.
 */
export const soundAnswerMilliseconds = 300

/** Whether a status tells of a success: https://www.rfc-editor.org/rfc/rfc9110#section-15.3 */
export function isSuccess (status: number | null): boolean {
  return status !== null && status >= firstSuccessStatus && status <= lastSuccessStatus
}

/** Follows the data of one answer. Times are in milliseconds since the epoch. */
export class AnswerProgress {
  #firstDataAt: number | null = null
  #isSound = false

  /** @param onSound called once, when the answer has gone well for long enough */
  constructor (private readonly onSound: () => void) {}

  /** Time of the first data of the answer's body, or null before. */
  get firstDataAt (): number | null {
    return this.#firstDataAt
  }

  /** Whether a success has brought data for long enough. Silence does not count. */
  get isSound (): boolean {
    return this.#isSound
  }

  /** Records that data of the body has arrived. */
  onData (status: number | null): void {
    const now = Date.now()
    this.#firstDataAt ??= now
    if (!this.#isSound && isSuccess(status) && now - this.#firstDataAt >= soundAnswerMilliseconds) {
      this.#isSound = true
      this.onSound()
    }
  }
}
