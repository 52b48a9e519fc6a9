/** Messages of a socket, kept until somebody reads them. */
import type { WebSocket } from 'ws'

/**
 * A peer may send its first message right behind the handshake's last one, and both may
 * arrive at once; kept here, neither is lost between two readers.
 */
export class SocketInbox {
  readonly #kept: Buffer[] = []
  #reader: ((data: Buffer) => void) | null = null

  constructor (readonly socket: WebSocket) {
    socket.on('message', data => {
      this.#kept.push(data as Buffer)
      this.#deliver()
    })
  }

  /** Hands messages to the reader until {@link SocketInbox.pause}. */
  read (reader: (data: Buffer) => void): void {
    this.#reader = reader
    this.#deliver()
  }

  /** Keeps messages for the next reader. */
  pause (): void {
    this.#reader = null
  }

  #deliver (): void {
    while (this.#reader !== null) {
      const next = this.#kept.shift()
      if (next === undefined) {
        return
      }
      this.#reader(next)
    }
  }
}
