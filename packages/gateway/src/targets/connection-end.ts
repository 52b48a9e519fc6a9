/**
 * Tells an orderly close of a connection from a reset. libuv reports a reset that arrives together with the last data as an end and
 * does not read the error: https://github.com/libuv/libuv/blob/v1.x/src/unix/stream.c (uv__stream_io)
 */
import type { Socket } from 'node:net'
import { afterNextRead } from '../util/after-next-read.js'

/** Error of a write after a reset that followed an orderly close: all data before the close has arrived. */
const resetAfterCloseCode = 'EPIPE'
const noBytes = Buffer.alloc(0)

/**
 * Finds out how the peer has ended a connection that emitted `end`. A write of no bytes sends nothing, but returns an error that
 * was not read.
 *
 * @param socket must have been created with `allowHalfOpen`, or it would be closed for writing by now
 * @param onChecked called soon, with the reset's error, or null if the peer closed the connection in order or the socket emits the error
 */
export function checkEnd (socket: Socket, onChecked: (reset: Error | null) => void): void {
  if (socket.writableLength > 0) {
    // The write would wait for a peer that may read no more. One of the data that waits is tried together with the read, and emits the error.
    afterNextRead(() => { onChecked(null) })
    return
  }
  socket.write(noBytes, error => {
    const isReset = error != null && (error as NodeJS.ErrnoException).code !== resetAfterCloseCode
    onChecked(isReset ? error : null)
  })
}
