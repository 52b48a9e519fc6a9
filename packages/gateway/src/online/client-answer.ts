/** The answer that a client gets: the head of the first target, then whole events or bytes as they arrive. */
import type { ServerResponse } from 'node:http'
import type { AnswerHead } from '../targets/target-call.js'
import { EventSplitter } from './event-splitter.js'
import { forwardedHeaders } from './forwarded-headers.js'

const noHeaders: ReadonlySet<string> = new Set()
const successStatus = 200

/** Relays answers of one or, if a stream is resumed, several targets to one client. */
export class ClientAnswer {
  #splitter: EventSplitter | null = null
  #head: AnswerHead | null = null
  #lastId: number | null = null
  #bytes = 0

  constructor (private readonly response: ServerResponse, private readonly isStream: boolean) {}

  /** Whether the client has got the head of an answer. */
  get begun (): boolean {
    return this.#head !== null
  }

  /** Status of the answer, or null before its head. */
  get status (): number | null {
    return this.#head?.status ?? null
  }

  /** Id of the last event that was passed on, or null. */
  get lastId (): number | null {
    return this.#lastId
  }

  /** Whether any part of a body was passed on. */
  get hasBody (): boolean {
    return this.#bytes > 0
  }

  /** Whether the head of a further answer fits the one that was passed on. */
  accepts (head: AnswerHead): boolean {
    return this.#head === null || (head.status === successStatus && this.#head.status === successStatus)
  }

  /** Takes the head of an answer; only the first one is passed on. */
  onHead (head: AnswerHead): void {
    this.#splitter = this.isStream && head.status === successStatus ? new EventSplitter() : null
    if (this.#head !== null) {
      return
    }
    this.#head = head
    // A framed length would be wrong once the stream is resumed with events written differently.
    const without = this.#splitter === null ? noHeaders : new Set(['content-length'])
    this.response.writeHead(head.status, forwardedHeaders(head.rawHeaders, without))
    this.response.flushHeaders()
  }

  /** Passes data on; false if the client reads slower than the target sends. */
  onData (chunk: Buffer): boolean {
    if (this.#splitter === null) {
      return this.#write(chunk)
    }
    const { bytes, lastId } = this.#splitter.push(chunk)
    this.#lastId = lastId ?? this.#lastId
    return bytes.length === 0 || this.#write(bytes)
  }

  /** Ends a whole answer. */
  end (): void {
    if (this.#splitter !== null && this.#splitter.rest.length > 0) {
      this.#write(this.#splitter.rest)
    }
    this.response.end()
  }

  /** Breaks the answer off, so that the client cannot take it for a whole one. */
  abandon (): void {
    this.response.destroy()
  }

  #write (bytes: Buffer): boolean {
    this.#bytes += bytes.length
    return this.response.write(bytes)
  }
}
