/** In-memory stream of the log stand-in: an append-only sequence of entries with retention by age. */
import type { ServerResponse } from 'node:http'

/** A stored entry. */
export interface KeptEntry {
  readonly offset: number
  /** Time of the append, in milliseconds since the epoch. */
  readonly time: number
  readonly data: Buffer
}

/** Holds entries in order of offset and drops those older than the retention time. */
export class LogStream {
  #entries: KeptEntry[] = []
  #next = 0
  readonly #waiting = new Set<() => void>()

  constructor (private readonly retentionMilliseconds: number) {}

  /** Offset of the oldest retained entry, or of the next entry if none is retained. */
  get first (): number {
    this.#expire()
    return this.#entries[0]?.offset ?? this.#next
  }

  /** Offset that the next entry will get. */
  get next (): number {
    return this.#next
  }

  /** Appends an entry and returns its offset. */
  append (data: Buffer): number {
    const offset = this.#next
    this.#next += 1
    this.#entries.push({ offset, time: Date.now(), data })
    this.#wake()
    return offset
  }

  /**
   * Returns the entries from offset `from` on, at most `limit` of them and at most `bytes` in total size. An entry
   * larger than `bytes` is returned alone, so that a reader always makes progress.
   */
  read (from: number, limit: number, bytes: number): readonly KeptEntry[] {
    this.#expire()
    const start = Math.max(0, from - this.first)
    const page: KeptEntry[] = []
    let size = 0
    for (let index = start; index < this.#entries.length && page.length < limit; index++) {
      const entry = this.#entries[index]
      if (entry === undefined || (page.length > 0 && size + entry.data.byteLength > bytes)) {
        break
      }
      size += entry.data.byteLength
      page.push(entry)
    }
    return page
  }

  /** Waits until the stream has an entry at offset `from`, the time has passed or the reader's connection is closed. */
  async waitBeyond (from: number, milliseconds: number, reader: ServerResponse): Promise<void> {
    if (this.#next > from || milliseconds <= 0) {
      return
    }
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        reader.off('close', done)
        resolve()
      }
      const timer = setTimeout(done, milliseconds)
      this.#waiting.add(done)
      reader.on('close', done)
    })
  }

  /** Ends all waits, so that pending long polls are answered. */
  close (): void {
    this.#wake()
  }

  #wake (): void {
    for (const done of [...this.#waiting]) {
      done()
    }
  }

  #expire (): void {
    const oldest = Date.now() - this.retentionMilliseconds
    const kept = this.#entries.findIndex(entry => entry.time >= oldest)
    if (kept !== 0) {
      this.#entries = kept === -1 ? [] : this.#entries.slice(kept)
    }
  }
}
