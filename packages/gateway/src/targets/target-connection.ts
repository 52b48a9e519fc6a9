/** A connection to a target, which carries one request at a time. */
import { messageOf } from '@arbutusloft/protocol'
import { ResponseParser } from './response-parser.js'
import type { ResponseHead } from './response-parser.js'
import { ConnectionFailure } from './transport.js'
import type { ConnectAttempt, ConnectListener, TargetTransport } from './transport.js'

/** Receives what becomes of a request. After `onComplete` or `onFailure` nothing else is called. */
export interface Exchange {
  /** The request is about to be written. */
  onSent: () => void
  /** Returns whether the response answers the request; another one is skipped, with `onSkipped` at its end. */
  onHead: (head: ResponseHead) => boolean
  /** Returns false to stop reading until {@link TargetConnection.resume}. The bytes are valid only during the call. */
  onData: (bytes: Buffer) => boolean
  onSkipped: () => void
  /** @param isEndKnown whether a length or chunks, not the end of the connection, have ended the response */
  onComplete: (isEndKnown: boolean) => void
  onFailure: (reason: string, failure: ConnectionFailure) => void
}

/** Number of requests whose ids are kept; a late copy of a response follows the response after a few others at most. */
const maximumRecentIds = 32

/** Sends requests over one connection, which is opened with the first of them. */
export class TargetConnection {
  readonly #attempt: ConnectAttempt
  /** Null before the connection is established. */
  #transport: TargetTransport | null = null
  #isClosed = false
  /** Parts of a request that is not sent. */
  #request: readonly Buffer[] = []
  /** Whether the request may be sent. */
  #maySend = false
  #exchange: Exchange | null = null
  #parser: ResponseParser | null = null
  /** Whether the exchange has asked to stop reading. */
  #isPaused = false
  /** Ids of the latest requests, the oldest first. */
  readonly #recentIds = new Set<string>()
  /** Whether a request had the method HEAD, so that the framing of a late copy of a response is not certain. */
  #hadBodylessResponse = false
  /** Time of the end of the last exchange, in milliseconds since the epoch. */
  idleSince = 0

  /**
   * @param connect begins to connect
   * @param onIdle called after a complete response if the connection can be used again
   * @param onClosed called when the connection can no longer be used
   */
  constructor (connect: (listener: ConnectListener) => ConnectAttempt, private readonly onIdle: () => void, private readonly onClosed: (failure: ConnectionFailure) => void) {
    this.#attempt = connect({
      onConnected: transport => { this.#onConnected(transport) },
      onFailed: (reason, failure) => { this.#close(reason, failure) }
    })
  }

  /** Address of the peer that relays the connection, or null if none does or it is not established. */
  get via (): string | null {
    return this.#transport?.via ?? null
  }

  /** Whether a response on this connection may answer an earlier request with this id. */
  hasCarried (id: string): boolean {
    return this.#recentIds.has(id)
  }

  /**
   * Takes a request, which is sent once the connection is established and {@link TargetConnection.allowSend} was called; the connection must be new or idle.
   *
   * @param hasBody see {@link ResponseParser}
   */
  send (id: string, request: readonly Buffer[], exchange: Exchange, hasBody: boolean): void {
    this.#remember(id)
    this.#hadBodylessResponse ||= !hasBody
    this.#exchange = exchange
    this.#request = request
    this.#maySend = false
    this.#parser = new ResponseParser({
      onHead: head => exchange.onHead(head),
      onSkipped: () => { exchange.onSkipped() },
      onData: bytes => {
        if (!exchange.onData(bytes)) {
          this.#isPaused = true
        }
      }
    }, hasBody, !this.#hadBodylessResponse)
  }

  /** Lets the request be sent. */
  allowSend (): void {
    this.#maySend = true
    this.#write()
  }

  /** Goes on reading after the exchange has stopped it. */
  resume (): void {
    if (this.#isPaused) {
      this.#isPaused = false
      this.#transport?.resume()
    }
  }

  /** Closes the connection at once; a request in flight fails with the reason. */
  close (reason: string): void {
    this.#close(reason)
  }

  #remember (id: string): void {
    this.#recentIds.add(id)
    const [oldest] = this.#recentIds
    if (this.#recentIds.size > maximumRecentIds && oldest !== undefined) {
      this.#recentIds.delete(oldest)
    }
  }

  #onConnected (transport: TargetTransport): void {
    this.#transport = transport
    transport.start({
      onData: bytes => this.#onData(bytes),
      onEnd: () => { this.#onEnd() },
      onLost: (reason, failure) => { this.#close(reason, failure) }
    })
    this.#write()
  }

  #write (): void {
    if (this.#maySend && this.#request.length > 0 && this.#transport !== null && !this.#isClosed) {
      this.#exchange?.onSent()
      for (const part of this.#request) {
        this.#transport.write(part)
      }
      this.#request = []
    }
  }

  #onData (bytes: Buffer): boolean {
    const parser = this.#parser
    if (parser === null) {
      this.#close('data on an idle connection')
      return true
    }
    let isLast: boolean
    try {
      isLast = parser.push(bytes)
    } catch (error) {
      this.#close(messageOf(error))
      return true
    }
    if (parser.isComplete && !this.#isClosed) {
      this.#onComplete(isLast && parser.isPersistent, true)
    }
    return !this.#isPaused
  }

  #onEnd (): void {
    if (this.#parser?.end() !== true) {
      this.#close('connection closed before the end of the response', ConnectionFailure.Disconnected)
      return
    }
    this.#transport?.checkEnd(reset => {
      if (reset !== null) {
        this.#close(messageOf(reset), ConnectionFailure.Disconnected)
      } else if (!this.#isClosed) {
        this.#onComplete(false, false)
      }
    })
  }

  #onComplete (isReusable: boolean, isEndKnown: boolean): void {
    const exchange = this.#exchange
    this.#exchange = null
    this.#parser = null
    this.idleSince = Date.now()
    // The rest of a body that the target has answered early is not worth sending.
    if (isReusable && this.#transport?.hasUnsent === false) {
      this.resume()
      this.onIdle()
    } else {
      this.#close('')
    }
    exchange?.onComplete(isEndKnown)
  }

  #close (reason: string, failure: ConnectionFailure = ConnectionFailure.Closed): void {
    if (this.#isClosed) {
      return
    }
    this.#isClosed = true
    this.#request = []
    this.#attempt.cancel()
    this.#transport?.destroy()
    this.onClosed(failure)
    const exchange = this.#exchange
    this.#exchange = null
    exchange?.onFailure(reason, failure)
  }
}
