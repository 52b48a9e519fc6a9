/** Relays target responses to a client: the head of the first response, then complete events or raw bytes as they arrive. */
import type { ServerResponse } from 'node:http'
import type { ResponseHead } from '../targets/target-call.js'
import { EventSplitter } from './event-splitter.js'
import { forwardedHeaders } from './forwarded-headers.js'

const noExcludedHeaders: ReadonlySet<string> = new Set()
const contentLengthHeader: ReadonlySet<string> = new Set(['content-length'])
const successStatus = 200

/**
 * Relays the response of one target, or of several targets if a stream is resumed, to one client. Sends the head only
 * with the first bytes of the body, so that after a failure before them the request can be retried on another target,
 * whose own head and signature are then sent.
 */
export class ResponseRelay {
  #splitter: EventSplitter | null = null
  #head: ResponseHead | null = null
  #hasBegun = false
  #lastId: number | null = null

  constructor (private readonly response: ServerResponse, private readonly isStream: boolean) {}

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

  /** Whether the response of another target may follow: nothing was sent to the client yet, or only events with ids. */
  get canContinue (): boolean {
    return !this.#hasBegun || this.#lastId !== null
  }

  /** Checks whether the response with this head can continue the one that was sent to the client. */
  canContinueWith (head: ResponseHead): boolean {
    return !this.#hasBegun || (head.status === successStatus && this.#head?.status === successStatus)
  }

  /** Receives the head of a response; the client gets the first one whose body begins. */
  onHead (head: ResponseHead): void {
    this.#splitter = this.isStream && head.status === successStatus ? new EventSplitter() : null
    if (!this.#hasBegun) {
      this.#head = head
    }
  }

  /** Relays data to the client; returns false if the connection's write buffer is full. */
  onData (chunk: Buffer): boolean {
    if (this.#splitter === null) {
      return this.#write(chunk)
    }
    const { bytes, lastId } = this.#splitter.push(chunk)
    this.#lastId = lastId ?? this.#lastId
    return bytes.length === 0 || this.#write(bytes)
  }

  /** Ends a complete response. */
  end (): void {
    if (this.#splitter !== null && this.#splitter.rest.length > 0) {
      this.#write(this.#splitter.rest)
    }
    this.#begin()
    this.response.end()
  }

  /** Closes the connection before the response ends, so that the client can tell that the response is incomplete. */
  abort (): void {
    this.response.destroy()
  }

  #begin (): void {
    if (this.#hasBegun || this.#head === null) {
      return
    }
    this.#hasBegun = true
    // The first target's Content-Length would be wrong if another target resumes the stream and formats its events differently.
    const excludedHeaders = this.#splitter === null ? noExcludedHeaders : contentLengthHeader
    this.response.writeHead(this.#head.status, forwardedHeaders(this.#head.rawHeaders, excludedHeaders))
  }

  #write (bytes: Buffer): boolean {
    this.#begin()
    return this.response.write(bytes)
  }
}
