/** Handles store calls that peers relay through this process because the store rejects their calls. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../http/read-body.js'
import { reply, Status } from '../http/reply.js'
import type { ResponseObserver } from '../util/buffered-call.js'
import { storeReplyHeader, relayedPathHeader, relayedTimeoutHeader } from './relaying-store-connection.js'
import type { RelayingStoreConnection } from './relaying-store-connection.js'

/** Size limit of a relayed append; the store accepts two megabytes. */
const maximumBytes = 2_500_000

/** Responds with the store's reply, marked by a header; without the header, 503 means that the call was not sent to the store. */
export async function relayStoreCall (connection: RelayingStoreConnection, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const path = textOf(request.headers[relayedPathHeader])
  const timeout = Number(textOf(request.headers[relayedTimeoutHeader]))
  if (!path.startsWith('/') || !Number.isFinite(timeout)) {
    reply(response, Status.BadRequest, { error: 'a relayed call needs a path and a timeout' })
    return
  }
  const method = request.method === 'POST' ? 'POST' : 'GET'
  const body = method === 'POST' ? await readBody(request, maximumBytes) : null
  // A read is passed on as it arrives: its caller limits the time until it begins.
  const result = await connection.callForPeer(method, path, body, timeout, method === 'GET' ? passOn(response) : undefined)
  if (!result.answered) {
    reply(response, result.sent ? Status.GatewayTimeout : Status.ServiceUnavailable, { error: result.reason })
    if (method === 'GET' && !response.writableEnded) {
      // Without its last chunk, the response does not look complete.
      response.destroy()
    }
    return
  }
  if (!response.headersSent) {
    response.writeHead(result.status, { [storeReplyHeader]: '1', 'content-length': result.body.length })
    response.write(result.body)
  }
  response.end()
}

/** Returns an observer that sends the parts of a response to a peer. */
function passOn (response: ServerResponse): ResponseObserver {
  return {
    onHead: status => {
      response.writeHead(status, { [storeReplyHeader]: '1' })
      response.flushHeaders()
    },
    onData: chunk => { response.write(chunk) }
  }
}

function textOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
