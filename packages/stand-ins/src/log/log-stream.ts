/** One stream of the log stand-in. */
import type { ServerResponse } from 'node:http'

/** An entry as it is kept. */
export interface KeptEntry {
  readonly offset: number
  readonly time: number
  readonly data: Buffer
}

/** Entries in offset order, dropped when they are too old. */
export class LogStream {
  #entries: KeptEntry[] = []
  #next = 0
  readonly #waiting = new Set<() => void>()

  constructor (private readonly retentionMilliseconds: number) {}

  /** Offset of the earliest entry that is kept. */
  get first (): number {
    this.#expire()
    return this.#entries[0]?.offset ?? this.#next
  }

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

  /** Entries from an offset on, within a number and a total size; at least one if there is one. */
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

  /** Waits until there is an entry at or beyond an offset, the time is over, or the reader is gone. */
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
