/** Handles store calls that peers relay through this process because the store rejects their calls. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../http/read-body.js'
import { reply, Status } from '../http/reply.js'
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
  const result = await connection.callForPeer(method, path, body, timeout)
  if (!result.answered) {
    reply(response, result.sent ? Status.GatewayTimeout : Status.ServiceUnavailable, { error: result.reason })
    return
  }
  response.writeHead(result.status, { [storeReplyHeader]: '1', 'content-length': result.body.length })
  response.end(result.body)
}

function textOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
