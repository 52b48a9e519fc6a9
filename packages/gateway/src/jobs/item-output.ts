/** Output of a batch item, collected from event streams. */
import { createParser } from 'eventsource-parser'
import { EventSplitter } from '../online/event-splitter.js'
import { truncationOf } from '../online/stream-truncation.js'
import type { ResponseHead } from '../targets/response-parser.js'
import type { ItemProgress } from './item-progress.js'

/** Collects the events of an item's output, which may arrive in several streams that continue each other. */
export class ItemOutput {
  #eventData: string[] = []
  #lastId: number | null = null
  #splitter = new EventSplitter()
  /** Id of the event after which the current stream continues, or null. */
  #resumesAfter: number | null = null

  /** Id of the last complete event, or null before the first. */
  get lastId (): number | null {
    return this.#lastId
  }

  /** Number of complete events; those restored from saved progress count as one. */
  get events (): number {
    return this.#eventData.length
  }

  /** Data of all events, separated by line feeds. */
  get text (): string {
    return this.#eventData.join('\n')
  }

  /** The complete events so far, or null before the first. */
  get progress (): ItemProgress | null {
    return this.#lastId === null ? null : { lastId: this.#lastId, text: this.text }
  }

  /** Restores the events that another process has received; the next stream continues after them. */
  restore ({ lastId, text }: ItemProgress): void {
    this.#lastId = lastId
    this.#eventData = [text]
  }

  /** Adds a chunk of the current stream; returns whether it completed an event. Throws a `MalformedStreamError` for an event without end. */
  push (chunk: Buffer): boolean {
    const { events } = this
    const { bytes } = this.#splitter.push(chunk)
    if (bytes.length === 0) {
      return false
    }
    const parser = createParser({
      onEvent: event => {
        this.#eventData.push(event.data)
        const id = Number.parseInt(event.id ?? '', 10)
        this.#lastId = Number.isNaN(id) ? this.#lastId : id
      }
    })
    parser.feed(bytes.toString('utf8'))
    return this.events > events
  }

  /** Starts a new stream, which continues after the last complete event; discards an incomplete one. */
  startStream (): void {
    this.#splitter = new EventSplitter()
    this.#resumesAfter = this.#lastId
  }

  /** Returns why the current stream, whose response with this head has ended in order, was broken off, or null if the output is complete. */
  truncation (head: ResponseHead): string | null {
    return truncationOf(this.#splitter, head, this.#resumesAfter)
  }
}
