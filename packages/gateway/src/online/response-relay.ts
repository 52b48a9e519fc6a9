/** Relays target responses to a client: the head of the first response, then complete events or raw bytes as they arrive. */
import type { ServerResponse } from 'node:http'
import { endsWithConnection } from '../targets/response-parser.js'
import type { ResponseHead } from '../targets/response-parser.js'
import { CallOutcome } from '../targets/target-call.js'
import type { CallEnd } from '../targets/target-call.js'
import { GrowingBuffer } from '../util/growing-buffer.js'
import { EventSplitter, maximumEventBytes } from './event-splitter.js'
import { forwardedHeaders } from './forwarded-headers.js'
import { emptyStreamReason, streamEndOf } from './stream-end.js'

const noExcludedHeaders: ReadonlySet<string> = new Set()
const contentLengthHeader: ReadonlySet<string> = new Set(['content-length'])
const successStatus = 200
/** Time for the bytes before a reset to reach the client: several round trips. */
const resetDelayMilliseconds = 100
const lineEnd = Buffer.from('\r\n')
/**
 * Length up to which a plain response without framing is held until its end, so that nothing of a broken one is sent: far more than
 * the usual response, and little memory for each request.
 */
const maximumHeldBytes = 65_536

/**
 * Relays the response of one target, or of several targets if a stream is resumed, to one client. Sends the head only
 * with the first bytes of the body, so that after a failure before them the request can be retried on another target,
 * whose own head and signature are then sent.
 */
export class ResponseRelay {
  #splitter: EventSplitter | null = null
  /** The head that was sent to the client or, before that, the latest one. */
  #head: ResponseHead | null = null
  #hasBegun = false
  /** Whether the response to the client is sent in chunks whose framing this class writes itself after the first one. */
  #framesChunks = false
  /** Whether the response to the client has neither a length nor chunks and so ends with its connection. */
  #endsWithConnection = false
  #lastId: number | null = null
  /** Id of the event after which the client takes the stream up, or null. */
  #takenUpAfter: number | null = null
  /** Id of the last event before the latest one that was broken off, or null. */
  #continuesAfter: number | null = null
  /** Id of the last event before the latest end that was unknown, or null. */
  #unknownEndAfter: number | null = null
  /** Number of unknown ends in a row after that event. */
  #unknownEnds = 0
  /** Whether the first of them was the end of a response without events. */
  #isUnknownEndEmpty = false
  #relayedBytes = 0
  /** Length of the whole body, which the target did not tell; null if it is not known when the head is sent. */
  #knownLength: number | null = null
  /** Bytes of a plain response without framing that wait for its end, or comments and empty events at the beginning of a stream; null if the response is passed on as it arrives. */
  #held: GrowingBuffer | null = null

  /** @param needsIds whether the events of the stream have to have ids */
  constructor (private readonly response: ServerResponse, private readonly isStream: boolean, private readonly needsIds = false) {}

  /** Whether the head of a response was sent to the client. */
  get hasBegun (): boolean {
    return this.#hasBegun
  }

  /** Status of the response whose head was sent or, before that, of the latest response; null before the first head. */
  get status (): number | null {
    return this.#head?.status ?? null
  }

  /** Id of the last event that was sent to the client, or null. */
  get lastId (): number | null {
    return this.#lastId
  }

  /** Number of responses in a row that have ended in order, without framing, after the last event that the client has; 0 if one has shown that another event follows. */
  get unknownEnds (): number {
    const lastId = this.#clientLastId
    const isLast = this.#splitter !== null && lastId !== null && lastId === this.#unknownEndAfter && lastId !== this.#continuesAfter
    return isLast ? this.#unknownEnds : 0
  }

  /** Whether the only such response held no event: it may have been cut before the next one, which is unlikely to happen twice. */
  get isEndDoubtful (): boolean {
    return this.unknownEnds === 1 && this.#isUnknownEndEmpty
  }

  /** Bytes of the body that were sent to the client or are held for it; the bytes of an event count once it is complete. */
  get relayedBytes (): number {
    return this.#relayedBytes + (this.#held?.length ?? 0)
  }

  /** Whether the response of another target may follow: nothing was sent to the client yet, or only comments and events with ids. */
  get canContinue (): boolean {
    return !this.#hasBegun || this.#clientLastId !== null
  }

  /** Checks whether the response with this head can continue the one that was sent to the client. */
  canContinueWith (head: ResponseHead): boolean {
    return !this.#hasBegun || (head.status === successStatus && this.#head?.status === successStatus && mediaTypeOf(head) === mediaTypeOf(this.#head))
  }

  /**
   * Receives the head of a response; the client gets the first one whose body begins.
   *
   * @param resumesAfter id of the event after which its request resumed the stream, or null if it did not
   */
  onHead (head: ResponseHead, resumesAfter: number | null): void {
    if (this.#lastId === null) {
      this.#takenUpAfter = resumesAfter
    }
    this.#splitter = this.isStream && head.status === successStatus ? new EventSplitter(resumesAfter, this.needsIds) : null
    if (!this.#hasBegun) {
      this.#head = head
      const isHeld = this.#splitter === null ? endsWithConnection(head) : resumesAfter === null
      this.#held = isHeld ? new GrowingBuffer(this.#maximumHeldBytes) : null
    }
  }

  /** Relays data, which may change after the call, to the client or holds it; returns false if the connection's write buffer is full. Throws a `MalformedStreamError` for an event without end or out of order. */
  onData (chunk: Buffer): boolean {
    if (this.#splitter === null) {
      return this.#hold(chunk) || this.#write(chunk)
    }
    const { bytes, lastId } = this.#splitter.push(chunk)
    this.#lastId = lastId ?? this.#lastId
    if (bytes.length === 0) {
      return true
    }
    if (!this.#splitter.isEmpty) {
      this.#releaseHeld()
    }
    return this.#hold(bytes) || this.#write(bytes)
  }

  /**
   * Returns how the call of the latest response has really ended.
   *
   * @param ended end of the call by its framing and connection
   * @param resumesAfter id of the event after which its request resumed the stream, or null if it did not
   */
  endOf (ended: CallEnd, resumesAfter: number | null): CallEnd {
    if (this.#splitter === null) {
      return ended
    }
    const mayBeEmpty = resumesAfter !== null && resumesAfter !== this.#continuesAfter && (ended.end === CallOutcome.Complete || this.#clientLastId !== null)
    const end = streamEndOf(ended, this.#splitter, mayBeEmpty)
    if (this.#splitter.showsMore) {
      this.#continuesAfter = this.#clientLastId
    }
    if (end.end === CallOutcome.EndUnknown) {
      const unknownEnds = this.unknownEnds
      this.#isUnknownEndEmpty = unknownEnds === 0 ? !this.#splitter.hasEvents : this.#isUnknownEndEmpty
      this.#unknownEnds = unknownEnds + 1
      this.#unknownEndAfter = this.#clientLastId
    }
    return end.end === CallOutcome.EndUnknown && this.isEndDoubtful ? { ...end, reason: emptyStreamReason } : end
  }

  /** Calls the listener once when the connection can take more data. */
  onceWritable (listener: () => void): void {
    (this.response.socket ?? this.response).once('drain', listener)
  }

  /** Id of the last event that the client has, or null if it has none. */
  get #clientLastId (): number | null {
    return this.#lastId ?? this.#takenUpAfter
  }

  /** Ends a response that is complete. */
  end (): void {
    if (this.#held !== null && this.#splitter === null && this.response.req.method !== 'HEAD') {
      this.#knownLength = this.#held.length
    }
    this.#releaseHeld()
    this.#begin()
    this.response.end()
  }

  /** Ends the connection before the response ends, so that the client can tell that the response is incomplete. */
  abort (): void {
    const { socket } = this.response
    if (this.#endsWithConnection && socket !== null) {
      if (this.#splitter?.endsInsideEvent === true) {
        // The client may miss the reset, but not that the stream ends inside an event.
        this.response.write(this.#splitter.rest)
      }
      // A closed connection would end the response in order. A reset discards what has not arrived yet.
      setTimeout(() => { socket.resetAndDestroy() }, resetDelayMilliseconds)
    } else {
      this.response.destroy()
    }
  }

  get #maximumHeldBytes (): number {
    return this.#splitter === null ? maximumHeldBytes : maximumEventBytes
  }

  /** Holds a part of a plain response, or the empty beginning of a stream; returns false if the response is not or no longer held. */
  #hold (bytes: Buffer): boolean {
    if (this.#held === null) {
      return false
    }
    if (this.#held.length + bytes.length > this.#maximumHeldBytes) {
      this.#releaseHeld()
      return false
    }
    this.#held.append(bytes)
    return true
  }

  #releaseHeld (): void {
    if (this.#held === null) {
      return
    }
    const { bytes } = this.#held
    this.#held = null
    if (bytes.length > 0) {
      this.#write(bytes)
    }
  }

  #begin (): void {
    if (this.#hasBegun || this.#head === null) {
      return
    }
    this.#hasBegun = true
    // The first target's Content-Length would be wrong if another target resumes the stream and formats its events differently.
    const excludedHeaders = this.#splitter === null ? noExcludedHeaders : contentLengthHeader
    const headers = forwardedHeaders(this.#head.rawHeaders, excludedHeaders)
    const isSized = this.#splitter === null && (this.#head.headers['content-length'] !== undefined || this.#knownLength !== null)
    // Without framing of its own, a part of the response would look complete if this process is killed.
    const takesChunks = this.response.req.httpVersion === '1.1'
    this.#framesChunks = this.#splitter !== null && takesChunks
    this.#endsWithConnection = !isSized && !takesChunks
    if (this.#endsWithConnection) {
      this.response.useChunkedEncodingByDefault = false
      this.response.shouldKeepAlive = false
    }
    if (this.#knownLength !== null) {
      headers.push('Content-Length', String(this.#knownLength))
    }
    if (this.#framesChunks) {
      headers.push('Transfer-Encoding', 'chunked')
    }
    this.response.writeHead(this.#head.status, headers)
  }

  #write (bytes: Buffer): boolean {
    this.#relayedBytes += bytes.length
    const isFirst = !this.#hasBegun
    this.#begin()
    const { socket } = this.response
    // A stream has many small parts. Writing each as one chunk takes half of the time of ServerResponse.write, which makes four writes of it.
    return isFirst || !this.#framesChunks || socket === null ? this.response.write(Buffer.from(bytes)) : socket.write(encodeChunk(bytes))
  }
}

/** Returns the media type of a response's body without parameters; empty if it has none. */
function mediaTypeOf ({ headers }: ResponseHead): string {
  return (headers['content-type'] ?? '').split(';', 1)[0]?.trim().toLowerCase() ?? ''
}

/** Copies bytes into a chunk with its framing: https://www.rfc-editor.org/rfc/rfc9112#section-7.1 */
function encodeChunk (bytes: Buffer): Buffer {
  const size = `${bytes.length.toString(16)}\r\n`
  const chunk = Buffer.allocUnsafe(size.length + bytes.length + lineEnd.length)
  chunk.write(size, 'latin1')
  chunk.set(bytes, size.length)
  chunk.set(lineEnd, size.length + bytes.length)
  return chunk
}
