/** Direct TCP connections to targets. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { messageOf } from '@arbutusloft/protocol'
import { afterNextRead } from '../util/after-next-read.js'
import { checkEnd } from './connection-end.js'
import { maximumBytesPerTurn, ReadTurn } from './read-turn.js'
import { ConnectionFailure, connectTimeoutMilliseconds, failSoon } from './transport.js'
import type { ConnectAttempt, ConnectListener, TargetTransport, TransportListener } from './transport.js'

/** All connections read into this buffer, one after the other; what is kept of it is copied. */
const readBuffer = Buffer.allocUnsafe(maximumBytesPerTurn)

/**
 * Connects to a target; never throws.
 *
 * @param address `ip:port`; the attempt fails if it is of another form, as in the grant of an instance that does not check it
 */
export function connectDirectly (address: string, listener: ConnectListener): ConnectAttempt {
  try {
    const transport = new DirectTransport(address, listener)
    return { cancel: () => { transport.destroy() } }
  } catch (error) {
    return failSoon(listener, error, ConnectionFailure.Unreachable)
  }
}

class DirectTransport implements TargetTransport {
  readonly via = null
  readonly #socket: Socket
  readonly #timer: NodeJS.Timeout
  #listener: TransportListener | null = null
  #isConnected = false
  /** Whether the listener takes no more. */
  #isPaused = false
  #isEnded = false
  readonly #turn = new ReadTurn(() => { this.#readOn() })

  constructor (address: string, private readonly connectListener: ConnectListener) {
    const [host = '', port = ''] = address.split(':')
    this.#socket = connect({
      host,
      port: Number(port),
      // For checkEnd.
      allowHalfOpen: true,
      // Reads without a stream: one call for each read, and reading really stops while the listener does not take more.
      onread: {
        buffer: readBuffer,
        callback: length => {
          this.#isPaused = this.#listener?.onData(readBuffer.subarray(0, length)) === false
          // The event loop reads a connection again in the same turn only if the buffer was filled.
          return (length < readBuffer.length || this.#turn.add(length)) && !this.#isPaused
        }
      }
    })
    this.#socket.once('connect', () => { this.#onConnected() })
    this.#socket.once('end', () => { this.#listener?.onEnd() })
    this.#socket.on('error', error => { this.#onLost(messageOf(error)) })
    this.#socket.once('close', () => { this.#onLost('connection closed') })
    this.#timer = setTimeout(() => { this.#onTimeout() }, connectTimeoutMilliseconds)
  }

  get hasUnsent (): boolean {
    return this.#socket.writableLength > 0
  }

  start (listener: TransportListener): void {
    this.#listener = listener
  }

  write (bytes: Buffer): void {
    this.#socket.write(bytes)
  }

  resume (): void {
    if (this.#isPaused) {
      this.#isPaused = false
      this.#readOn()
    }
  }

  checkEnd (onChecked: (reset: Error | null) => void): void {
    checkEnd(this.#socket, onChecked)
  }

  destroy (): void {
    this.#isEnded = true
    clearTimeout(this.#timer)
    this.#socket.destroy()
  }

  #readOn (): void {
    if (!this.#isPaused && !this.#turn.isOver && !this.#isEnded) {
      this.#socket.resume()
    }
  }

  #onConnected (): void {
    if (!this.#isEnded) {
      clearTimeout(this.#timer)
      this.#isConnected = true
      this.connectListener.onConnected(this)
    }
  }

  #onTimeout (): void {
    // After a freeze of the process the connection may be established already.
    afterNextRead(() => {
      if (!this.#isConnected) {
        this.#onLost(`no connection within ${connectTimeoutMilliseconds} ms`)
      }
    })
  }

  #onLost (reason: string): void {
    if (this.#isEnded) {
      return
    }
    this.destroy()
    if (this.#isConnected) {
      this.#listener?.onLost(reason, ConnectionFailure.Disconnected)
    } else {
      this.connectListener.onFailed(reason, ConnectionFailure.Unreachable)
    }
  }
}
