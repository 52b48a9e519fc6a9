/** Buffering of a socket's messages until a reader is set. */
import type { WebSocket } from 'ws'

/**
 * Buffers the messages of a socket while it has no reader. A peer may send its first message
 * directly after the last one of the handshake; if both arrive together, the first message would
 * be lost between the handshake's reader and the link's.
 */
export class SocketInbox {
  readonly #buffered: Buffer[] = []
  #reader: ((data: Buffer) => void) | null = null

  constructor (readonly socket: WebSocket) {
    socket.on('message', data => {
      this.#buffered.push(data as Buffer)
      this.#deliver()
    })
  }

  /** Passes buffered and new messages to the reader until {@link SocketInbox.pause}. */
  read (reader: (data: Buffer) => void): void {
    this.#reader = reader
    this.#deliver()
  }

  /** Removes the reader and buffers messages for the next one. */
  pause (): void {
    this.#reader = null
  }

  #deliver (): void {
    while (this.#reader !== null) {
      const next = this.#buffered.shift()
      if (next === undefined) {
        return
      }
      this.#reader(next)
    }
  }
}
