/** Gathers the data of an event stream as text. */
import { createParser } from 'eventsource-parser'
import { EventSplitter } from '../online/event-splitter.js'
import type { ItemProgress } from './item-progress.js'

/** Text of the events so far; goes on over several streams of the same item. */
export class EventText {
  #parts: string[] = []
  #lastId: number | null = null
  #splitter = new EventSplitter()

  /** Id of the last whole event, or null before the first. */
  get lastId (): number | null {
    return this.#lastId
  }

  /** Number of whole events. */
  get events (): number {
    return this.#parts.length
  }

  /** Data of all events with line feeds between them. */
  get text (): string {
    return this.#parts.join('\n')
  }

  /** The whole events so far, or null before the first. */
  get progress (): ItemProgress | null {
    return this.#lastId === null ? null : { lastId: this.#lastId, text: this.text }
  }

  /** Begins behind events that another process has received. */
  resume ({ lastId, text }: ItemProgress): void {
    this.#lastId = lastId
    this.#parts = [text]
  }

  /** Adds a chunk of the current stream. */
  push (chunk: Buffer): void {
    const { bytes } = this.#splitter.push(chunk)
    if (bytes.length === 0) {
      return
    }
    const parser = createParser({
      onEvent: event => {
        this.#parts.push(event.data)
        const id = Number.parseInt(event.id ?? '', 10)
        this.#lastId = Number.isNaN(id) ? this.#lastId : id
      }
    })
    parser.feed(bytes.toString('utf8'))
  }

  /** A new stream begins behind the last whole event. */
  restart (): void {
    this.#splitter = new EventSplitter()
  }
}
