/** In-memory stream of the log stand-in: an append-only sequence of entries with retention by age. */
import type { ServerResponse } from 'node:http'

/** A stored entry. */
export interface LogEntry {
  readonly offset: number
  /** Time of the append, in milliseconds since the epoch. */
  readonly time: number
  readonly data: Buffer
}

/** Holds entries in order of offset and drops those older than the retention time. */
export class LogStream {
  #entries: LogEntry[] = []
  #nextOffset = 0
  readonly #pendingWaits = new Set<() => void>()

  constructor (private readonly retentionMilliseconds: number) {}

  /** Offset of the oldest retained entry, or of the next entry if none is retained. */
  get firstOffset (): number {
    this.#dropExpired()
    return this.#entries[0]?.offset ?? this.#nextOffset
  }

  /** Offset that the next entry will get. */
  get nextOffset (): number {
    return this.#nextOffset
  }

  /** Appends an entry and returns its offset. */
  append (data: Buffer): number {
    const offset = this.#nextOffset
    this.#nextOffset += 1
    this.#entries.push({ offset, time: Date.now(), data })
    this.#endWaits()
    return offset
  }

  /**
   * Returns the entries from offset `from` on, at most `limit` of them and at most `maximumBytes` in total size. An
   * entry larger than that is returned alone, so that a reader always makes progress.
   */
  read (from: number, limit: number, maximumBytes: number): readonly LogEntry[] {
    this.#dropExpired()
    const start = Math.max(0, from - this.firstOffset)
    const page: LogEntry[] = []
    let totalBytes = 0
    for (let index = start; index < this.#entries.length && page.length < limit; index++) {
      const entry = this.#entries[index]
      if (entry === undefined || (page.length > 0 && totalBytes + entry.data.byteLength > maximumBytes)) {
        break
      }
      totalBytes += entry.data.byteLength
      page.push(entry)
    }
    return page
  }

  /** Waits until the stream has an entry at offset `from`, the time has passed or the connection of the response is closed. */
  async waitForOffset (from: number, milliseconds: number, response: ServerResponse): Promise<void> {
    if (this.#nextOffset > from || milliseconds <= 0) {
      return
    }
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#pendingWaits.delete(done)
        response.off('close', done)
        resolve()
      }
      const timer = setTimeout(done, milliseconds)
      this.#pendingWaits.add(done)
      response.on('close', done)
    })
  }

  /** Ends all waits, so that pending long polls are answered. */
  close (): void {
    this.#endWaits()
  }

  #endWaits (): void {
    for (const done of [...this.#pendingWaits]) {
      done()
    }
  }

  #dropExpired (): void {
    const earliestTime = Date.now() - this.retentionMilliseconds
    const firstRetained = this.#entries.findIndex(entry => entry.time >= earliestTime)
    if (firstRetained !== 0) {
      this.#entries = firstRetained === -1 ? [] : this.#entries.slice(firstRetained)
    }
  }
}
