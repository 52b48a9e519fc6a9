/** Relays target responses to a client: the head of the first response, then complete events or raw bytes as they arrive. */
import type { ServerResponse } from 'node:http'
import type { AnswerHead } from '../targets/target-call.js'
import { EventSplitter } from './event-splitter.js'
import { forwardedHeaders } from './forwarded-headers.js'

const noHeaders: ReadonlySet<string> = new Set()
const lengthHeader: ReadonlySet<string> = new Set(['content-length'])
const successStatus = 200

/**
 * Relays the response of one target, or of several targets if a stream is resumed, to one client. Sends the head only
 * with the first bytes of the body, so that after a failure before them the request can be retried on another target,
 * whose own head and signature are then sent.
 */
export class ClientAnswer {
  #splitter: EventSplitter | null = null
  #head: AnswerHead | null = null
  #begun = false
  #lastId: number | null = null

  constructor (private readonly response: ServerResponse, private readonly isStream: boolean) {}

  /** Whether the head of a response was sent to the client. */
  get begun (): boolean {
    return this.#begun
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
  get mayContinue (): boolean {
    return !this.#begun || this.#lastId !== null
  }

  /** Checks whether the response with this head can continue the one that was sent to the client. */
  accepts (head: AnswerHead): boolean {
    return !this.#begun || (head.status === successStatus && this.#head?.status === successStatus)
  }

  /** Receives the head of a response; the client gets the first one whose body begins. */
  onHead (head: AnswerHead): void {
    this.#splitter = this.isStream && head.status === successStatus ? new EventSplitter() : null
    if (!this.#begun) {
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
  abandon (): void {
    this.response.destroy()
  }

  #begin (): void {
    if (this.#begun || this.#head === null) {
      return
    }
    this.#begun = true
    // The first target's Content-Length would be wrong if another target resumes the stream and formats its events differently.
    const without = this.#splitter === null ? noHeaders : lengthHeader
    this.response.writeHead(this.#head.status, forwardedHeaders(this.#head.rawHeaders, without))
  }

  #write (bytes: Buffer): boolean {
    this.#begin()
    return this.response.write(bytes)
  }
}
