/** Handles store calls that peers relay through this process because the store rejects their calls. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { messageOf } from '@arbutusloft/protocol'
import { HeldKind, RoomDecision } from '@arbutusloft/policy'
import { BodyTimeoutError, BodyTooLargeError, readBody } from '../http/read-body.js'
import type { RequestBody } from '../http/read-body.js'
import { reply, Status } from '../http/reply.js'
import { replyUnread } from '../http/unread-body.js'
import type { HeldBytes, HeldPart } from '../memory/held-bytes.js'
import type { ResponseObserver } from '../util/buffered-call.js'
import { storeReplyHeader, relayedPathHeader, relayedTimeoutHeader } from './relaying-store-connection.js'
import type { RelayingStoreConnection } from './relaying-store-connection.js'

/** Size limit of a relayed append; the store accepts two megabytes. */
const maximumBytes = 2_500_000

/** Responds with the store's reply, marked by a header; without the header, 503 means that the call was not sent to the store. */
export async function relayStoreCall (connection: RelayingStoreConnection, request: IncomingMessage, response: ServerResponse, held: HeldBytes): Promise<void> {
  const path = textOf(request.headers[relayedPathHeader])
  const timeout = Number(textOf(request.headers[relayedTimeoutHeader]))
  if (!path.startsWith('/') || !Number.isFinite(timeout)) {
    reply(response, Status.BadRequest, { error: 'a relayed call needs a path and a timeout' })
    return
  }
  const method = request.method === 'POST' ? 'POST' : 'GET'
  let body: RequestBody | null = null
  if (method === 'POST') {
    try {
      body = await readBody(request, maximumBytes, held)
    } catch (error) {
      refuseBody(request, response, error)
      return
    }
    body.held.change(HeldKind.Relay)
  }
  const answer = held.open(HeldKind.Relay)
  response.once('close', () => { answer.close() })
  try {
    await passCall(connection, { method, path, body: body?.bytes ?? null, timeout }, response, answer)
  } finally {
    body?.close()
  }
}

interface PeerCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body: Buffer | null
  /** Milliseconds. */
  readonly timeout: number
}

async function passCall (connection: RelayingStoreConnection, { method, path, body, timeout }: PeerCall, response: ServerResponse, answer: HeldPart): Promise<void> {
  // A read is passed on as it arrives: its caller limits the time until it begins.
  const result = await connection.callForPeer(method, path, body, timeout, method === 'GET' ? passOn(response, answer) : undefined)
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

/** Answers a call whose body was not read; 503 without the header of the store means that the call was not made. */
function refuseBody (request: IncomingMessage, response: ServerResponse, error: unknown): void {
  const text = { error: messageOf(error) }
  if (error instanceof BodyTooLargeError) {
    replyUnread(request, response, Status.ContentTooLarge, text)
  } else if (error instanceof BodyTimeoutError) {
    replyUnread(request, response, Status.RequestTimeout, text)
  } else {
    replyUnread(request, response, Status.ServiceUnavailable, text)
  }
}

/** Returns an observer that sends the parts of a response to a peer. */
function passOn (response: ServerResponse, answer: HeldPart): ResponseObserver {
  return {
    onHead: status => {
      response.writeHead(status, { [storeReplyHeader]: '1' })
      response.flushHeaders()
    },
    onData: chunk => {
      // Until its end, the response is kept as a whole as well.
      if (answer.grow(chunk.length) === RoomDecision.Granted) {
        response.write(chunk)
      } else {
        response.destroy()
      }
    }
  }
}

function textOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
