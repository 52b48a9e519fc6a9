/** Splits an event stream at event boundaries: https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream */
import { GrowingBuffer } from '../util/growing-buffer.js'

/** Complete events, and the id of the last of them. The bytes may be those of the chunk. */
export interface CompleteEvents {
  /** Bytes of the complete events; empty if the chunk completed none. */
  readonly bytes: Buffer
  /** Id of the last of these events that has an id, or null. */
  readonly lastId: number | null
}

/** The events of a stream exceed a limit, or are not those that follow; the target sends something else or without end. */
export class MalformedStreamError extends Error {
  override readonly name = 'MalformedStreamError'
}

/** Maximum length of an event, and of bytes in a row without one that has content: the length of the records that the store accepts, as a result holds all events of a batch item. */
export const maximumEventBytes = 262_144
const lineFeed = 0x0a
const carriageReturn = 0x0d
/** Ids that are exact as numbers; a stream with others is not checked, and nothing continues it. */
const idField = /^id: ?(\d{1,15})$/gm
const eventEnd = /\r?\n\r?\n/
const numericId = /^id: ?\d{1,15}$/m
const otherThanComment = /^[^:\r\n]/m
const eventStart = 'id:'
const dataWithContent = /^data:(?: [^\r\n]|[^ \r\n])/m
/** A line that is neither empty, a comment nor a data field without a value. */
const lineWithContent = /^(?!data:? ?[\r\n])[^:\r\n]/m
const idWithContent = /^id:(?: [^\r\n]|[^ \r\n])/m

/** Buffers an incomplete event until the rest of it arrives. */
export class EventSplitter {
  readonly #rest = new GrowingBuffer(maximumEventBytes)
  #hasEvents = false
  #hasLaterId = false
  #isEmpty = true
  /** Bytes of comments, empty events and line ends since the last event with content. */
  #bytesWithoutContent = 0
  #lastId: number | null

  /**
   * @param after id of the event after which the stream continues, so that its first event has the next id; null if it begins
   * @param needsIds whether only events with an id count as content
   */
  constructor (private readonly after: number | null = null, private readonly needsIds = false) {
    this.#lastId = after
  }

  /**
   * Adds a chunk, which may change after the call, and returns the events that are now complete; throws a {@link MalformedStreamError} if an event has no end or does not
   * follow the one before, or if too many bytes bring no event with content.
   */
  push (chunk: Buffer): CompleteEvents {
    const restBytes = this.#rest.length
    if (restBytes > maximumEventBytes) {
      throw new MalformedStreamError(`an event of a stream has more than ${maximumEventBytes} bytes`)
    }
    if (restBytes > 0) {
      this.#rest.append(chunk)
    }
    const data = restBytes > 0 ? this.#rest.bytes : chunk
    const end = endOfLastEvent(data, restBytes)
    const bytes = data.subarray(0, end)
    if (end === 0) {
      if (restBytes === 0) {
        this.#rest.append(chunk)
      }
      return { bytes, lastId: null }
    }
    // What follows an event that does not belong to the stream tells nothing of it.
    this.#rest.clear()
    const events = bytes.toString('latin1')
    const lastId = this.#checkOrder(events)
    this.#checkContent(events)
    if (end < data.length) {
      this.#rest.append(data.subarray(end))
    }
    // A comment is no event; all events of a rest have ids.
    this.#hasEvents ||= this.after === null || lastId !== null
    return { bytes, lastId }
  }

  /** Returns the id of the last event that has one, or null. */
  #checkOrder (events: string): number | null {
    let last: number | null = null
    idField.lastIndex = 0
    for (let match = idField.exec(events); match !== null; match = idField.exec(events)) {
      const id = Number(match[1])
      this.#hasLaterId ||= this.after !== null && id > this.after
      if (this.#lastId !== null && id <= this.#lastId) {
        throw new MalformedStreamError(`event ${id} follows event ${this.#lastId} in a stream`)
      }
      if (this.after !== null && this.#lastId === this.after && id !== this.after + 1) {
        throw new MalformedStreamError(`the rest of a stream after event ${this.after} begins with event ${id}`)
      }
      this.#lastId = id
      last = id
    }
    if (this.after !== null && events.split(eventEnd).some(event => otherThanComment.test(event) && !numericId.test(event))) {
      throw new MalformedStreamError(`an event without an id in the rest of a stream after event ${this.after}`)
    }
    return last
  }

  #checkContent (events: string): void {
    this.#isEmpty &&= !lineWithContent.test(events)
    if (dataWithContent.test(events) && (!this.needsIds || idWithContent.test(events))) {
      this.#bytesWithoutContent = 0
      return
    }
    this.#bytesWithoutContent += events.length
    if (this.#bytesWithoutContent > maximumEventBytes) {
      throw new MalformedStreamError(`more than ${maximumEventBytes} bytes of a stream in a row have no event with ${this.needsIds ? 'an id and data' : 'data'}`)
    }
  }

  /** Whether the complete events are only comments and events without data. */
  get isEmpty (): boolean {
    return this.#isEmpty
  }

  /** Whether the bytes after the last complete event can be the beginning of another one. */
  get endsInsideEvent (): boolean {
    const start = this.#rest.bytes.toString('latin1', 0, eventStart.length)
    return start !== '' && eventStart.startsWith(start)
  }

  /** Whether the bytes show that the stream has more than its complete events: the beginning of one, or, in a rest, the id of a later one that was not accepted. */
  get showsMore (): boolean {
    return this.#rest.length > 0 || (this.#hasLaterId && !this.#hasEvents)
  }

  /** Bytes after the last complete event. */
  get rest (): Buffer {
    return this.#rest.bytes
  }

  /** Whether at least one event is complete. */
  get hasEvents (): boolean {
    return this.#hasEvents
  }
}

/** Returns the position after the last event, or 0 if none ends behind the bytes that were searched before. */
function endOfLastEvent (data: Buffer, searchedBytes: number): number {
  for (let index = data.length - 1; index >= Math.max(searchedBytes, 1); index -= 1) {
    const lineEnd = data[index - 1] === carriageReturn ? index - 2 : index - 1
    if (data[index] === lineFeed && data[lineEnd] === lineFeed) {
      return index + 1
    }
  }
  return 0
}
