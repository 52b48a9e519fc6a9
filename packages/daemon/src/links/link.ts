/** An authenticated link between two processes. */
import { decodeMessage, encodeMessage } from '@arbutusloft/protocol'
import type { LinkMessage } from '@arbutusloft/protocol'
import type { WebSocket } from 'ws'
import { Listeners } from '../util/listeners.js'
import type { SocketInbox } from './socket-inbox.js'
import type { LinkMeter } from './link-meter.js'

/** Options of {@link Link}. */
export interface LinkOptions {
  /** Milliseconds between heartbeats. */
  readonly heartbeatMilliseconds: number
  /** Milliseconds without a message, ping or pong from the peer after which the link is closed. */
  readonly timeoutMilliseconds: number
}

export const defaultLinkOptions: LinkOptions = {
  heartbeatMilliseconds: 500,
  timeoutMilliseconds: 2_000
}

/** Sends and receives typed messages, and closes itself when the peer is unresponsive. */
export class Link {
  readonly #messageListeners = new Listeners<LinkMessage>()
  readonly #closeListeners = new Listeners<void>()
  readonly #heartbeat: NodeJS.Timeout
  readonly #socket: WebSocket
  #lastReceivedAt = Date.now()
  #closed = false

  /** @param peer member name of the peer */
  constructor (
    readonly peer: string,
    private readonly inbox: SocketInbox,
    private readonly meter: LinkMeter,
    private readonly options = defaultLinkOptions
  ) {
    const { socket } = inbox
    this.#socket = socket
    socket.on('ping', () => { this.#lastReceivedAt = Date.now() })
    socket.on('pong', () => { this.#lastReceivedAt = Date.now() })
    socket.on('close', () => { this.#onClose() })
    socket.on('error', () => { socket.terminate() })
    this.#heartbeat = setInterval(() => { this.#sendHeartbeat() }, options.heartbeatMilliseconds)
  }

  /** Whether the link is closed: by either side, by an error, or because the peer was unresponsive. */
  get closed (): boolean {
    return this.#closed
  }

  /** Starts to deliver messages; called once all listeners are added, so that none misses a message. */
  startDelivery (): void {
    this.inbox.read(data => { this.#onData(data) })
  }

  /** Sends a message. There is no acknowledgement: on a closed or broken link the message is lost. */
  send (message: LinkMessage): void {
    if (this.#closed) {
      return
    }
    const bytes = encodeMessage(message)
    this.meter.onSent(bytes.byteLength)
    this.#socket.send(bytes)
  }

  /** Calls the listener for each message that the peer sends. */
  onMessage (listener: (message: LinkMessage) => void): void {
    this.#messageListeners.add(listener)
  }

  /** Calls the listener once when the link closes, on either side. */
  onClose (listener: () => void): void {
    this.#closeListeners.add(listener)
  }

  /** Closes the link; a message that the peer sends afterwards may still be delivered. */
  close (): void {
    this.#socket.close()
    this.#onClose()
  }

  #onData (data: Buffer): void {
    this.#lastReceivedAt = Date.now()
    this.meter.onReceived(data.byteLength)
    const message = decodeMessage(data)
    // Ignores unknown messages, since a peer of a newer version may send types that this version does not know.
    if (message.ok) {
      this.#messageListeners.emit(message.val)
    }
  }

  #sendHeartbeat (): void {
    if (Date.now() - this.#lastReceivedAt > this.options.timeoutMilliseconds) {
      this.#socket.terminate()
      this.#onClose()
      return
    }
    this.#socket.ping()
  }

  #onClose (): void {
    if (this.#closed) {
      return
    }
    this.#closed = true
    clearInterval(this.#heartbeat)
    this.#closeListeners.emit()
  }
}
