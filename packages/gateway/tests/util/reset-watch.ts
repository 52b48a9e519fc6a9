/** Tells a client of a reset that Node.js takes for an orderly end. */
import type { Socket } from 'node:net'

/**
 * Calls back when the connection is reset, before its `close`. Node.js takes a reset for an orderly end if the bytes before it are still unread, for
 * example because this process got no time; only a write then shows the reset.
 */
export function watchReset (socket: Socket, onReset: () => void): void {
  socket.on('error', onReset)
  socket.prependListener('end', () => {
    socket.write('', error => {
      if (error instanceof Error) {
        onReset()
      }
    })
  })
}
