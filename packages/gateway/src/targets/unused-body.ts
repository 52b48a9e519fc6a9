/** Reads the body of a response that nobody uses, to the end if it is near, so that the connection can be used again. */
import { afterNextRead } from '../util/after-next-read.js'

/** Length above which a new connection costs less than reading on; a reason for a rejection or failure is far shorter. */
const maximumBytes = 16_384
/** Time for the body, which usually arrives with its head; a new connection may take as long. */
const maximumMilliseconds = 120

/** Limits the bytes of an unused body and the time for which it is read. */
export class UnusedBody {
  readonly #timer: NodeJS.Timeout
  #bytes = 0

  /** @param onExceeded called with the reason when a limit is exceeded; may follow {@link UnusedBody.close} */
  constructor (private readonly onExceeded: (reason: string) => void) {
    this.#timer = setTimeout(() => {
      // After a freeze of the process the rest may have arrived already.
      afterNextRead(() => { onExceeded(`an unused body did not end within ${maximumMilliseconds} ms`) })
    }, maximumMilliseconds)
  }

  onData (bytes: Buffer): void {
    this.#bytes += bytes.length
    if (this.#bytes > maximumBytes) {
      this.onExceeded(`an unused body has more than ${maximumBytes} bytes`)
    }
  }

  close (): void {
    clearTimeout(this.#timer)
  }
}
