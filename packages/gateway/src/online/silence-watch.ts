/** Finds another target for a call whose target sends nothing, while the call goes on. */
import { SlotOutcome } from '@arbutusloft/policy'
import type { SilenceLimits } from '@arbutusloft/policy'
import type { AcquireResult, Slot } from '../permits/slot.js'
import { afterNextRead } from '../util/after-next-read.js'

/** Options of {@link SilenceWatch}. */
export interface SilenceWatchOptions {
  /** Times without progress after which another target is sought. */
  readonly limits: SilenceLimits
  /** Whether another target may go on with the request; asked each time before a slot is requested. */
  readonly canMove: () => boolean
  /** Requests a slot on another target; withdraws the request if the signal aborts. */
  readonly acquire: (signal: AbortSignal) => Promise<AcquireResult>
  /** Called once with a slot while the call is still silent; the receiver releases it. */
  readonly onFound: (slot: Slot) => void
}

/** Time after which a slot is requested again if none was granted. */
const repeatMilliseconds = 200

/** Watches one call from its start until {@link SilenceWatch.close}. */
export class SilenceWatch {
  #timer: NodeJS.Timeout
  #hasProgressed = false
  /** Time of the latest progress or, before it, of the start, in milliseconds since the epoch. */
  #progressAt = Date.now()
  #search: AbortController | null = null
  /** Number of silences that have ended. */
  #endedSilences = 0
  #isSilent = false

  constructor (private readonly options: SilenceWatchOptions) {
    this.#timer = setTimeout(() => { this.#onLimit() }, options.limits.first)
  }

  /** Whether the call's present silence has reached its limit. */
  get isSilent (): boolean {
    return this.#isSilent
  }

  /** The call has made progress: no other target is needed. */
  onProgress (): void {
    this.#endSilence()
    this.#isSilent = false
    this.#progressAt = Date.now()
    if (this.#hasProgressed) {
      this.#timer.refresh()
      return
    }
    this.#hasProgressed = true
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.#onLimit() }, this.options.limits.next)
  }

  /** Data has arrived that was no progress. */
  onIncompleteData (): void {
    if (Date.now() - this.#progressAt >= this.options.limits.incomplete) {
      this.#onLimit()
    }
  }

  close (): void {
    this.#endSilence()
    clearTimeout(this.#timer)
  }

  #onLimit (): void {
    const silence = this.#endedSilences
    // After a pause of this process, the target's data may have arrived already.
    afterNextRead(() => {
      if (this.#endedSilences !== silence || this.#search !== null) {
        return
      }
      this.#isSilent = true
      if (this.options.canMove()) {
        this.#search = new AbortController()
        void this.#run(this.#search.signal)
      }
    })
  }

  #endSilence (): void {
    this.#endedSilences += 1
    this.#search?.abort()
    this.#search = null
  }

  async #run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const result = await this.options.acquire(signal)
      if (!result.granted) {
        await pause(repeatMilliseconds, signal)
      } else if (signal.aborted) {
        result.slot.release(SlotOutcome.NotRun)
      } else {
        this.close()
        this.options.onFound(result.slot)
      }
    }
  }
}

/** Resolves after the given time, or when the signal aborts. */
async function pause (milliseconds: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return
  }
  await new Promise<void>(resolve => {
    const end = (): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', end)
      resolve()
    }
    const timer = setTimeout(end, milliseconds)
    signal.addEventListener('abort', end, { once: true })
  })
}
