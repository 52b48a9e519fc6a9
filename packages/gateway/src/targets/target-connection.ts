/** A connection to a target, which carries one request at a time. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { messageOf } from '@arbutusloft/protocol'
import { checkEnd } from './connection-end.js'
import { ResponseParser } from './response-parser.js'
import type { ResponseHead } from './response-parser.js'

/** Receives what becomes of a request. After `onComplete` or `onFailure` nothing else is called. */
export interface Exchange {
  /** The request is about to be written. */
  onSent: () => void
  /** Returns whether the response answers the request; another one is skipped, with `onSkipped` at its end. */
  onHead: (head: ResponseHead) => boolean
  /** Returns false to stop reading until {@link TargetConnection.resume}. */
  onData: (bytes: Buffer) => boolean
  onSkipped: () => void
  /** @param isEndKnown whether a length or chunks, not the end of the connection, have ended the response */
  onComplete: (isEndKnown: boolean) => void
  /** @param isDisconnected whether the target, not this process, has closed the connection */
  onFailure: (reason: string, isDisconnected: boolean) => void
}

/** Time to establish a connection: a hundred times the usual duration, but short enough to try another target within a latency objective. */
const connectTimeoutMilliseconds = 120
/** Number of requests whose ids are kept; a late copy of a response follows the response after a few others at most. */
const maximumRecentIds = 32
/** All connections read into this buffer, one after the other; what is kept of it is copied. */
const readBuffer = Buffer.allocUnsafe(65_536)

/** Sends requests over one TCP connection, which is opened with the first of them. */
export class TargetConnection {
  readonly #socket: Socket
  readonly #connectTimer: NodeJS.Timeout
  #isConnected = false
  #isClosed = false
  #request: Buffer | null = null
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
   * @param address `ip:port`
   * @param onIdle called after a complete response if the connection can be used again
   * @param onClosed called when the connection can no longer be used
   */
  constructor (address: string, private readonly onIdle: () => void, private readonly onClosed: () => void) {
    const [host = '', port = ''] = address.split(':')
    this.#socket = connect({
      host,
      port: Number(port),
      // For checkEnd.
      allowHalfOpen: true,
      // Reads without a stream: one call for each read, and reading really stops while the exchange does not take more.
      onread: {
        buffer: readBuffer,
        callback: length => {
          this.#onRead(readBuffer.subarray(0, length))
          return !this.#isPaused
        }
      }
    })
    this.#socket.once('connect', () => { this.#onConnected() })
    this.#socket.once('end', () => { this.#onEnd() })
    this.#socket.on('error', error => { this.#close(messageOf(error), true) })
    this.#socket.once('close', () => { this.#close('connection closed', true) })
    this.#connectTimer = setTimeout(() => { this.#close(`no connection within ${connectTimeoutMilliseconds} ms`) }, connectTimeoutMilliseconds)
  }

  /** Whether a response on this connection may answer an earlier request with this id. */
  hasCarried (id: string): boolean {
    return this.#recentIds.has(id)
  }

  /**
   * Sends a request; the connection must be new or idle.
   *
   * @param hasBody see {@link ResponseParser}
   */
  send (id: string, request: Buffer, exchange: Exchange, hasBody: boolean): void {
    this.#remember(id)
    this.#hadBodylessResponse ||= !hasBody
    this.#exchange = exchange
    this.#request = request
    this.#parser = new ResponseParser({
      onHead: head => exchange.onHead(head),
      onSkipped: () => { exchange.onSkipped() },
      onData: bytes => {
        // The read buffer is used again for the next read.
        if (!exchange.onData(Buffer.from(bytes))) {
          this.#isPaused = true
        }
      }
    }, hasBody, !this.#hadBodylessResponse)
    if (this.#isConnected) {
      this.#write()
    }
  }

  /** Goes on reading after the exchange has stopped it. */
  resume (): void {
    if (this.#isPaused) {
      this.#isPaused = false
      this.#socket.resume()
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

  #onConnected (): void {
    clearTimeout(this.#connectTimer)
    this.#isConnected = true
    this.#write()
  }

  #write (): void {
    if (this.#request !== null && !this.#isClosed) {
      this.#exchange?.onSent()
      this.#socket.write(this.#request)
      this.#request = null
    }
  }

  #onRead (bytes: Buffer): void {
    const parser = this.#parser
    if (parser === null) {
      this.#close('data on an idle connection')
      return
    }
    let isLast: boolean
    try {
      isLast = parser.push(bytes)
    } catch (error) {
      this.#close(messageOf(error))
      return
    }
    if (parser.isComplete && !this.#isClosed) {
      this.#onComplete(isLast && parser.isPersistent, true)
    }
  }

  #onComplete (isReusable: boolean, isEndKnown: boolean): void {
    const exchange = this.#exchange
    this.#exchange = null
    this.#parser = null
    this.idleSince = Date.now()
    if (isReusable) {
      this.resume()
      this.onIdle()
    } else {
      this.#close('')
    }
    exchange?.onComplete(isEndKnown)
  }

  #onEnd (): void {
    if (this.#parser?.end() !== true) {
      this.#close('connection closed before the end of the response', true)
      return
    }
    checkEnd(this.#socket, reset => {
      if (reset !== null) {
        this.#close(messageOf(reset), true)
      } else if (!this.#isClosed) {
        this.#onComplete(false, false)
      }
    })
  }

  #close (reason: string, isDisconnected = false): void {
    if (this.#isClosed) {
      return
    }
    this.#isClosed = true
    clearTimeout(this.#connectTimer)
    this.#socket.destroy()
    this.onClosed()
    const exchange = this.#exchange
    this.#exchange = null
    exchange?.onFailure(reason, isDisconnected)
  }
}
