/**
 * Datagrams between processes. Connections between machines may go silent while new ones work;
 * a datagram has no connection that could, and each exchange here is repeated until answered.
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { messageOf } from '@arbutusloft/protocol'
import { Packr } from 'msgpackr'
import type { Logger } from '../util/logger.js'
import { isPeerMessage } from './peer-messages.js'
import type { PeerMessage } from './peer-messages.js'

/** Sends and receives messages; all processes listen on the same port. */
export interface PeerTransport {
  /** Address of this process, as an IP number. */
  readonly address: string
  send: (address: string, message: PeerMessage) => void
  onMessage: (listener: (message: PeerMessage, sender: string) => void) => void
}

// Without shared record structures, each datagram can be read by itself.
const packr = new Packr({ useRecords: false })

/** A bound UDP socket. */
export class PeerSocket implements PeerTransport {
  readonly #listeners: Array<(message: PeerMessage, sender: string) => void> = []
  #closed = false

  private constructor (
    private readonly socket: Socket,
    readonly address: string,
    private readonly port: number,
    private readonly logger: Logger
  ) {
    socket.on('message', (data, from) => { this.#receive(data, from.address) })
    socket.on('error', error => { logger.warn('peer socket failed', { error: error.message }) })
  }

  /** Binds to the port at the address. */
  static async open (address: string, port: number, logger: Logger): Promise<PeerSocket> {
    const socket = createSocket('udp4')
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject)
      socket.bind(port, address, () => {
        socket.off('error', reject)
        resolve()
      })
    })
    return new PeerSocket(socket, address, port, logger)
  }

  onMessage (listener: (message: PeerMessage, sender: string) => void): void {
    this.#listeners.push(listener)
  }

  send (address: string, message: PeerMessage): void {
    if (this.#closed) {
      return
    }
    this.socket.send(packr.pack(message), this.port, address, error => {
      if (error !== null) {
        this.logger.debug('datagram not sent', { peer: address, error: error.message })
      }
    })
  }

  close (): void {
    if (!this.#closed) {
      this.#closed = true
      this.socket.close()
    }
  }

  #receive (data: Buffer, sender: string): void {
    let message: unknown
    try {
      message = packr.unpack(data)
    } catch (error) {
      this.logger.warn('datagram not readable', { peer: sender, error: messageOf(error) })
      return
    }
    // A newer version of a peer may send messages that this one does not know.
    if (isPeerMessage(message)) {
      for (const listener of this.#listeners) {
        listener(message, sender)
      }
    }
  }
}
