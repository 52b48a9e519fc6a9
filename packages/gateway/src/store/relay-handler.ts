/** Serves the store calls of peers that the store turns away. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../http/read-body.js'
import { reply, Status } from '../http/reply.js'
import { relayedMark, relayedPathHeader, relayedTimeoutHeader } from './relaying-store-connection.js'
import type { RelayingStoreConnection } from './relaying-store-connection.js'

/** Bytes of a relayed append; the store takes two megabytes. */
const greatestBytes = 2_500_000

/** Answers with the store's reply, marked as such; 503 says that the store was not asked. */
export async function relayStoreCall (connection: RelayingStoreConnection, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const path = textOf(request.headers[relayedPathHeader])
  const timeout = Number(textOf(request.headers[relayedTimeoutHeader]))
  if (!path.startsWith('/') || !Number.isFinite(timeout)) {
    reply(response, Status.BadRequest, { error: 'a relayed call needs a path and a timeout' })
    return
  }
  const method = request.method === 'POST' ? 'POST' : 'GET'
  const body = method === 'POST' ? await readBody(request, greatestBytes) : null
  const result = await connection.callForPeer(method, path, body, timeout)
  if (!result.answered) {
    reply(response, result.sent ? Status.GatewayTimeout : Status.ServiceUnavailable, { error: result.reason })
    return
  }
  response.writeHead(result.status, { [relayedMark]: '1', 'content-length': result.body.length })
  response.end(result.body)
}

function textOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
