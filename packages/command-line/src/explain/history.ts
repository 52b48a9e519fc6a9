/** What the logs tell of one request, or of one item of a batch job. */
import type { LogLine } from './log-line.js'

/** Messages that concern one online request, or one item. */
const requestMessages: ReadonlySet<string> = new Set(['dispatch ended', 'end of stream not confirmed', 'refused', 'no route'])
const itemMessages: ReadonlySet<string> = new Set(['item run ended', 'item goes on', 'item finished'])

/** All lines of a request or item, the oldest first. */
export interface History {
  readonly id: string
  readonly isItem: boolean
  readonly lines: readonly LogLine[]
}

/** Collects the histories of requests and items from lines in any order. */
export class HistoryCollector {
  readonly #lines = new Map<string, LogLine[]>()
  readonly #items = new Set<string>()

  add (line: LogLine): void {
    const { request, job, item, index } = line.fields
    if (requestMessages.has(line.message) && typeof request === 'string') {
      this.#append(request, line)
    } else if (itemMessages.has(line.message)) {
      // The result of an item is logged with its index in the job, its runs with its id.
      const id = `${String(job)}/${String(item ?? index)}`
      this.#items.add(id)
      this.#append(id, line)
    }
  }

  histories (): readonly History[] {
    return [...this.#lines].map(([id, lines]) => {
      return { id, isItem: this.#items.has(id), lines: [...lines].sort((left, right) => left.time < right.time ? -1 : Number(left.time > right.time)) }
    })
  }

  #append (id: string, line: LogLine): void {
    this.#lines.set(id, [...this.#lines.get(id) ?? [], line])
  }
}
