/** Reads of the configuration that requests wait for: one for all of them, and only so often. */
import { ageOf, longAgo, markNow } from '../util/clock-mark.js'
import type { ClockMark } from '../util/clock-mark.js'

/** Minimum interval in milliseconds between the starts of two reads. */
const intervalMilliseconds = 250
/** Maximum time in milliseconds for which a request waits for a read; a caller waits for some seconds. */
const maximumWaitMilliseconds = 300
/** Time in milliseconds for which a failed read says that the store is out of reach, so that not each request waits for the next read. */
const failureMilliseconds = 1_500

/** Shares reads of the configuration between requests. */
export class ConfigurationReads {
  #reading: Promise<boolean> | null = null
  #startedAt: ClockMark = longAgo
  #failedAt: ClockMark = longAgo

  /** @param refresh reads the configuration to its end and applies it; returns whether that succeeded */
  constructor (private readonly refresh: () => Promise<boolean>) {}

  /** Whether a read has failed lately, or was not answered in time, and none has succeeded since. */
  get hasFailedLately (): boolean {
    return ageOf(this.#failedAt) <= failureMilliseconds
  }

  /** Starts a read, unless one goes on or has just been started. */
  start (): void {
    if (this.#reading !== null || ageOf(this.#startedAt) < intervalMilliseconds) {
      return
    }
    this.#startedAt = markNow()
    this.#reading = this.#read()
  }

  /** Waits for the end of the read that goes on or is started, within limits. Whether it has succeeded is seen by the age of the configuration. */
  async wait (): Promise<void> {
    this.start()
    const reading = this.#reading
    if (reading === null) {
      return
    }
    let timer: NodeJS.Timeout | null = null
    const timeout = new Promise<null>(resolve => { timer = setTimeout(() => { resolve(null) }, maximumWaitMilliseconds) })
    const result = await Promise.race([reading, timeout])
    clearTimeout(timer ?? undefined)
    if (result === null) {
      this.#failedAt = markNow()
    }
  }

  async #read (): Promise<boolean> {
    let isRead = false
    try {
      isRead = await this.refresh()
    } finally {
      this.#failedAt = isRead ? longAgo : markNow()
      this.#reading = null
    }
    return isRead
  }
}
