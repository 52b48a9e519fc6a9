/** Closes responses to pipelined requests when their connection closes before their turn: https://www.rfc-editor.org/rfc/rfc9112#section-9.3.2 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Responses of each connection that wait for an earlier one to be sent. */
const queued = new WeakMap<Socket, Set<ServerResponse>>()

/**
 * Emits `close` for a response whose connection closes while it waits behind others. Node.js does so only for the response that is being sent, and
 * whatever the others hold would be held for good. Call it before the request is handled.
 */
export function closeWithConnection (response: ServerResponse): void {
  if (response.socket !== null) {
    return
  }
  const { socket } = response.req
  const responses = queued.get(socket) ?? new Set<ServerResponse>()
  if (!queued.has(socket)) {
    queued.set(socket, responses)
    socket.once('close', () => { closeAll(responses) })
  }
  responses.add(response)
  response.once('close', () => { responses.delete(response) })
}

function closeAll (responses: ReadonlySet<ServerResponse>): void {
  for (const response of [...responses].filter(({ socket }) => socket === null)) {
    response.destroy()
    response.emit('close')
  }
}
