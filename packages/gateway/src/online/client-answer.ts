/** The answer that a client gets: the head of the first target, then whole events or bytes as they arrive. */
import type { ServerResponse } from 'node:http'
import type { AnswerHead } from '../targets/target-call.js'
import { EventSplitter } from './event-splitter.js'
import { forwardedHeaders } from './forwarded-headers.js'

const noHeaders: ReadonlySet<string> = new Set()
const lengthHeader: ReadonlySet<string> = new Set(['content-length'])
const successStatus = 200

/**
 * Relays answers of one or, if a stream is resumed, several targets to one client. The head is
 * passed on with the first bytes of the body, so that a target that breaks off before them can
 * still be replaced by another one, with its own head and signature.
 */
export class ClientAnswer {
  #splitter: EventSplitter | null = null
  #head: AnswerHead | null = null
  #begun = false
  #lastId: number | null = null

  constructor (private readonly response: ServerResponse, private readonly isStream: boolean) {}

  /** Whether the client has got the head of an answer. */
  get begun (): boolean {
    return this.#begun
  }

  /** Status of the newest answer, or null before its head. */
  get status (): number | null {
    return this.#head?.status ?? null
  }

  /** Id of the last event that was passed on, or null. */
  get lastId (): number | null {
    return this.#lastId
  }

  /** Whether another target's answer may follow: nothing was passed on, or all of it were events with ids. */
  get mayContinue (): boolean {
    return !this.#begun || this.#lastId !== null
  }

  /** Whether the head of a further answer fits the one that was passed on. */
  accepts (head: AnswerHead): boolean {
    return !this.#begun || (head.status === successStatus && this.#head?.status === successStatus)
  }

  /** Takes the head of an answer; only the first one whose body begins is passed on. */
  onHead (head: AnswerHead): void {
    this.#splitter = this.isStream && head.status === successStatus ? new EventSplitter() : null
    if (!this.#begun) {
      this.#head = head
    }
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
    this.#begin()
    this.response.end()
  }

  /** Breaks the answer off, so that the client cannot take it for a whole one. */
  abandon (): void {
    this.response.destroy()
  }

  #begin (): void {
    if (this.#begun || this.#head === null) {
      return
    }
    this.#begun = true
    // A framed length would be wrong once the stream is resumed with events written differently.
    const without = this.#splitter === null ? noHeaders : lengthHeader
    this.response.writeHead(this.#head.status, forwardedHeaders(this.#head.rawHeaders, without))
  }

  #write (bytes: Buffer): boolean {
    this.#begin()
    return this.response.write(bytes)
  }
}
