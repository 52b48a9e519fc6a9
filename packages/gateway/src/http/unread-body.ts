/** Answers requests whose bodies are not read to the end, so that their clients still get the answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { reply, Status } from './reply.js'

/** Time for a client to read the answer and to close, while the rest of its body is dropped: a close with unread bytes would be a reset. */
const lingerMilliseconds = 2_000
/** Bytes of the rest that are dropped: two bodies of the greatest length. */
const maximumLingerBytes = 8_388_608
/** Pause after a long part that is dropped: parts that are read at full speed take memory until they are collected. 4 MB still take less than 2 s. */
const dropPauseMilliseconds = 25
/** Length of a long part; short ones are not worth a pause, in which each would be held by itself. */
const longPartBytes = 16_384
/** Bytes that are dropped of a body for which the request has no use. */
const maximumUnusedBytes = 1_048_576
/** Time for such a body. */
const unusedTimeoutMilliseconds = 10_000

/** Sends a response of the gateway itself, with a JSON body, and closes the connection unless the whole request has arrived. */
export function replyUnread (request: IncomingMessage, response: ServerResponse, status: Status, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const { socket } = response
  if (request.complete || socket === null || response.headersSent || response.destroyed) {
    reply(response, status, body, headers)
    return
  }
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': bytes.length, connection: 'close' })
  // The end of the response would close the connection at once.
  if (request.method === 'HEAD') {
    // Without a body, the headers would not be sent before the end.
    response.flushHeaders()
    socket.end()
  } else {
    response.write(bytes, () => { socket.end() })
  }
  const timer = setTimeout(() => { socket.destroy() }, lingerMilliseconds)
  response.once('close', () => { clearTimeout(timer) })
  drop(request, maximumLingerBytes, () => { socket.destroy() })
}

/** Drops the body of a request that has no use for one. Returns false if the body is announced to be too long, after answering the request, which is then not to be served. */
export function dropBody (request: IncomingMessage, response: ServerResponse): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if ((length === undefined || length === '0') && encoding === undefined) {
    return true
  }
  const refuse = (): void => {
    if (response.headersSent) {
      response.socket?.destroy()
    } else {
      replyUnread(request, response, Status.ContentTooLarge, { error: `the body has more than ${maximumUnusedBytes} bytes` })
    }
  }
  if (Number(length ?? 0) > maximumUnusedBytes) {
    refuse()
    return false
  }
  const { socket } = request
  const timer = setTimeout(() => { socket.destroy() }, unusedTimeoutMilliseconds)
  const stop = (): void => {
    clearTimeout(timer)
    // A connection in use again would keep one for each request.
    socket.off('close', stop)
  }
  request.once('end', stop)
  socket.once('close', stop)
  drop(request, maximumUnusedBytes, refuse)
  return true
}

function drop (request: IncomingMessage, maximumBytes: number, onExceeded: () => void): void {
  let bytes = 0
  const onData = (chunk: Buffer): void => {
    bytes += chunk.length
    if (bytes > maximumBytes) {
      request.off('data', onData)
      onExceeded()
    } else if (chunk.length >= longPartBytes) {
      request.pause()
      setTimeout(() => { request.resume() }, dropPauseMilliseconds)
    }
  }
  request.on('data', onData)
  request.on('error', () => { /* The connection ended before the body, which nobody reads. */ })
  request.resume()
}
