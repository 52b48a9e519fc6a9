/** Splits an event stream at event boundaries: https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream */

/** Complete events, and the id of the last of them. */
export interface CompleteEvents {
  /** Bytes of the complete events; empty if the chunk completed none. */
  readonly bytes: Buffer
  /** Id of the last of these events that has an id, or null. */
  readonly lastId: number | null
}

/** The events of a stream exceed a limit; the target sends something else or without end. */
export class MalformedStreamError extends Error {
  override readonly name = 'MalformedStreamError'
}

/** Maximum length of an event: the length of the records that the store accepts, as a result holds all events of a batch item. */
const maximumEventBytes = 262_144
const lineFeed = 0x0a
const carriageReturn = 0x0d
const emptyBuffer = Buffer.alloc(0)

/** Buffers an incomplete event until the rest of it arrives. */
export class EventSplitter {
  #rest: Buffer = emptyBuffer
  #hasEvents = false

  /** Adds a chunk and returns the events that are now complete; throws a {@link MalformedStreamError} if an event has no end. */
  push (chunk: Buffer): CompleteEvents {
    if (this.#rest.length > maximumEventBytes) {
      throw new MalformedStreamError(`an event of a stream has more than ${maximumEventBytes} bytes`)
    }
    const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const end = endOfLastEvent(data)
    this.#rest = data.subarray(end)
    const bytes = data.subarray(0, end)
    this.#hasEvents ||= end > 0
    return { bytes, lastId: end === 0 ? null : lastIdOf(bytes) }
  }

  /** Bytes after the last complete event. */
  get rest (): Buffer {
    return this.#rest
  }

  /** Whether at least one event is complete. */
  get hasEvents (): boolean {
    return this.#hasEvents
  }
}

function endOfLastEvent (data: Buffer): number {
  for (let index = data.length - 1; index > 0; index -= 1) {
    const lineEnd = data[index - 1] === carriageReturn ? index - 2 : index - 1
    if (data[index] === lineFeed && data[lineEnd] === lineFeed) {
      return index + 1
    }
  }
  return 0
}

function lastIdOf (events: Buffer): number | null {
  const text = events.toString('latin1')
  const start = text.startsWith('id:') && !text.includes('\nid:') ? 0 : text.lastIndexOf('\nid:') + 1
  if (!text.startsWith('id:', start)) {
    return null
  }
  const id = Number.parseInt(text.slice(start + 'id:'.length, text.indexOf('\n', start)), 10)
  return Number.isNaN(id) ? null : id
}
