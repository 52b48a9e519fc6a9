/** Output of a batch item, collected from event streams. */
import { createParser } from 'eventsource-parser'
import { EventSplitter, MalformedStreamError } from '../online/event-splitter.js'
import type { CompleteEvents } from '../online/event-splitter.js'
import { emptyStreamReason, streamEndOf } from '../online/stream-end.js'
import { CallOutcome } from '../targets/target-call.js'
import type { CallEnd } from '../targets/target-call.js'
import type { ItemProgress, OutputOrigin } from './item-progress.js'

/** Maximum length of the text, which leaves 4 KB for the state and the key in a record of the store, whose limit is 262,144 bytes. */
const maximumTextBytes = 258_048

/** Number of streams that end after the same event, with neither a length nor chunks, until the output counts as complete: a cut at one event is rare, three in a row are not to be expected. */
const unknownEndsToConfirm = 3
/** Number of rests in a row that cannot follow the events until the item begins anew: several targets in a row are unlikely to fail so by chance. */
const maximumRefusedRests = 3

/** Collects the events of an item's output, which may arrive in several streams that continue each other. */
export class ItemOutput {
  #eventData: string[] = []
  #lastId: number | null = null
  #origin: OutputOrigin | null = null
  /** Length of the text, with a line feed after each event. */
  #textBytes = 0
  #splitter = new EventSplitter()
  /** Origin of the current stream. */
  #streamOrigin: OutputOrigin | null = null
  /** Id of the event after which the current stream continues, or null. */
  #resumesAfter: number | null = null
  /** Id of the last event before the latest end that was unknown, or null. */
  #unknownEndAfter: number | null = null
  /** Number of unknown ends in a row after that event. */
  #unknownEnds = 0
  /** Id of the last event before the latest one that broke off, or null. */
  #continuesAfter: number | null = null
  /** Whether the current stream is a rest that cannot follow the events. */
  #isRestRefused = false
  /** Number of such rests since the latest event. */
  #refusedRests = 0

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
    return this.#lastId === null || this.#origin === null ? null : { lastId: this.#lastId, origin: this.#origin, text: this.text }
  }

  /** Which targets wrote the events, or null before the first. */
  get origin (): OutputOrigin | null {
    return this.#origin
  }

  /** Restores the events that another process has received; the next stream continues after them. */
  restore ({ lastId, origin, text }: ItemProgress): void {
    this.#lastId = lastId
    this.#origin = origin
    this.#eventData = [text]
    this.#textBytes = bytesOf(text)
  }

  /**
   * Adds a chunk of the current stream; returns whether it completed an event. Throws a {@link MalformedStreamError} for an event
   * without end or out of order, and for more events than a result can hold; then the output starts again from the first event.
   */
  push (chunk: Buffer): boolean {
    const { events } = this
    const { bytes, lastId } = this.#split(chunk)
    if (bytes.length === 0) {
      return false
    }
    const parser = createParser({
      onEvent: event => {
        this.#eventData.push(event.data)
        this.#textBytes += bytesOf(event.data)
        this.#origin = this.#streamOrigin
      }
    })
    parser.feed(bytes.toString('utf8'))
    this.#lastId = lastId ?? this.#lastId
    if (this.#textBytes > maximumTextBytes) {
      // Any of the streams may have sent events that are not of this output.
      this.discard()
      throw new MalformedStreamError(`the output of an item has more than ${maximumTextBytes} bytes`)
    }
    if (this.events > events) {
      this.#refusedRests = 0
    }
    return this.events > events
  }

  #split (chunk: Buffer): CompleteEvents {
    try {
      return this.#splitter.push(chunk)
    } catch (error) {
      this.#isRestRefused = this.#resumesAfter !== null && this.#lastId === this.#resumesAfter
      throw error
    }
  }

  /** Records that a target has not sent the rest that it was asked for; after several times in a row, the output starts again from the first event. */
  recordRefusedRest (): void {
    this.#refusedRests += 1
    if (this.#refusedRests >= maximumRefusedRests) {
      this.discard()
    }
  }

  /**
   * Starts a new stream of a target, which continues after the last complete event; discards an incomplete one. Without an id to continue
   * after, it begins at the first event, and what was collected is discarded.
   */
  startStream (origin: OutputOrigin): void {
    if (this.#lastId === null) {
      this.discard()
    }
    this.#streamOrigin = origin
    this.#splitter = new EventSplitter(this.#lastId)
    this.#resumesAfter = this.#lastId
    this.#isRestRefused = false
  }

  /**
   * Returns how the call of the current stream has really ended. An end that is unknown stays so until several streams in a row have ended
   * after the same event, unless one has shown that another event follows. A rest that cannot follow counts as refused.
   *
   * @param ended end of the call by its framing and connection
   */
  endOf (ended: CallEnd): CallEnd {
    const end = this.#endOf(ended)
    if (this.#isRestRefused || (this.#resumesAfter !== null && end.end === CallOutcome.Broken && end.reason === emptyStreamReason)) {
      this.recordRefusedRest()
    }
    return end
  }

  #endOf (ended: CallEnd): CallEnd {
    if (this.#splitter.rest.length > 0) {
      this.#continuesAfter = this.#lastId
    }
    if (ended.end !== CallOutcome.EndUnknown || this.#lastId === null || this.#lastId === this.#continuesAfter) {
      return streamEndOf(ended, this.#splitter, this.#resumesAfter !== null && this.#resumesAfter !== this.#continuesAfter)
    }
    this.#unknownEnds = this.#unknownEndAfter === this.#lastId ? this.#unknownEnds + 1 : 1
    this.#unknownEndAfter = this.#lastId
    const isConfirmed = this.#unknownEnds >= unknownEndsToConfirm
    return isConfirmed ? { end: CallOutcome.Complete, reason: '' } : { end: CallOutcome.EndUnknown, reason: 'the stream may go on' }
  }

  /** Discards all events; the next stream begins at the first one. */
  discard (): void {
    this.#lastId = null
    this.#origin = null
    this.#unknownEndAfter = null
    this.#continuesAfter = null
    this.#refusedRests = 0
    this.#eventData = []
    this.#textBytes = 0
  }
}

/** Returns the length of an event's data with the line feed that follows it. */
function bytesOf (data: string): number {
  return Buffer.byteLength(data) + 1
}
