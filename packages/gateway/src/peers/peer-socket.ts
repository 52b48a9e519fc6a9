/**
 * Datagrams between the processes of the fleet. An established connection between two instances may stop delivering
 * data while new connections work. Datagrams avoid this; they may be lost, so senders repeat every exchange until it is
 * answered.
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { messageOf } from '@arbutusloft/protocol'
import { Packr } from 'msgpackr/pack'
import type { Logger } from '../util/logger.js'
import { isPeerMessage } from './peer-messages.js'
import type { PeerMessage } from './peer-messages.js'

/** Sends and receives peer messages; all processes listen on the same port. */
export interface PeerTransport {
  /** IPv4 address of this process. */
  readonly address: string
  /** Sends a message without delivery guarantee. */
  send: (address: string, message: PeerMessage) => void
  /** Calls the listener with each message and the address of its sender. */
  onMessage: (listener: (message: PeerMessage, sender: string) => void) => void
}

// Without shared record structures, each datagram can be decoded independently of the others.
const packr = new Packr({ useRecords: false })

/** A {@link PeerTransport} over UDP. */
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

  /** Binds a socket to the address and port; rejects if that fails. */
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
        this.logger.debug('could not send datagram', { peer: address, error: error.message })
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
      this.logger.warn('could not decode datagram', { peer: sender, error: messageOf(error) })
      return
    }
    // A peer of a newer version may send message types that this version does not know.
    if (isPeerMessage(message)) {
      for (const listener of this.#listeners) {
        listener(message, sender)
      }
    }
  }
}
