/** Relays connections to targets for peers that are cut off from them: the peers' side is in relayed-transport.ts. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, isIPv4 } from 'node:net'
import type { Socket } from 'node:net'
import { messageOf } from '@arbutusloft/protocol'
import { HeldKind, RoomDecision } from '@arbutusloft/policy'
import type { TargetPaths } from '@arbutusloft/policy'
import { reply, Status } from '../http/reply.js'
import type { HeldBytes, HeldPart } from '../memory/held-bytes.js'
import type { GatewayMetrics } from '../metrics.js'
import { afterNextRead } from '../util/after-next-read.js'
import { checkEnd } from './connection-end.js'
import { RelayedEnd, relayedAddressHeader, relayedEndTrailer, relayedRemainingHeader, relayedTargetHeader } from './relay-protocol.js'
import type { TargetRegistry } from './target-registry.js'
import { connectTimeoutMilliseconds } from './transport.js'

/** Options of {@link TargetRelay}. */
export interface TargetRelayOptions {
  readonly paths: TargetPaths
  readonly targets: TargetRegistry
  /**
   * Whether this process relays a new connection that its peer closes by a time in milliseconds since the epoch, which is Infinity if the peer
   * names none; it goes on with those that it has.
   */
  readonly admits: (endsAt: number) => boolean
  readonly held: HeldBytes
  readonly metrics: Pick<GatewayMetrics, 'relayedConnections'>
}

/** Connections that are relayed at once. Each has two sockets with up to 64 KiB of data in each direction, so that they take no more than 32 MB. */
const maximumConnections = 128
/** Bytes that a connection may hold, for which there has to be room when it begins. */
const connectionBytes = 131_072
/** Chunks from a peer after which their mean length is judged, and the least that it may be: peers send whole requests, and small chunks take more memory than their bytes. */
const judgedChunks = 256
const minimumMeanChunkBytes = 64
/** Time without bytes in either direction after which a connection is closed if bytes wait for the target, which would hold them for good if it reads nothing. */
const stallTimeoutMilliseconds = 5_000
/** Number of these times after which it is closed if bytes wait for the peer, whose client may read slowly. */
const maximumResponseStalls = 3
/** Time without bytes in either direction after which a connection is closed; longer than the timeout of any request. */
const idleTimeoutMilliseconds = 120_000
const maximumPort = 65_535

/** Relays connections of peers; connects directly only, so that no connection passes more than one relay. */
export class TargetRelay {
  #connections = 0

  constructor (private readonly options: TargetRelayOptions) {}

  /** Serves a peer's call for a connection until that ends; see relay-protocol.ts. */
  serve (request: IncomingMessage, response: ServerResponse): void {
    const address = parseAddress(String(request.headers[relayedAddressHeader] ?? ''))
    if (address === null || request.method !== 'POST') {
      refuse(response, Status.BadRequest, `a relayed connection needs POST and ip:port of a target, not ${request.method} and ${request.headers[relayedAddressHeader]}`)
      return
    }
    const reason = this.#reasonToRefuse(endOf(request))
    if (reason !== null) {
      this.#count('refused')
      refuse(response, Status.ServiceUnavailable, reason)
      return
    }
    const held = this.options.held.open(HeldKind.Relay)
    if (held.grow(connectionBytes) !== RoomDecision.Granted) {
      held.close()
      this.options.held.recordRefusal(HeldKind.Relay)
      this.#count('refused')
      refuse(response, Status.ServiceUnavailable, 'no memory for another connection')
      return
    }
    this.#connections += 1
    response.once('close', () => {
      this.#connections -= 1
      held.close()
    })
    // A peer that was lost without a sign would keep its place for good.
    request.setTimeout(idleTimeoutMilliseconds, () => { request.destroy() })
    this.#connect(address, decodeURIComponent(String(request.headers[relayedTargetHeader] ?? '')), request, response, held)
  }

  #reasonToRefuse (endsAt: number): string | null {
    const { admits, paths } = this.options
    if (!admits(endsAt)) {
      return 'this process is not ready, or stops before the connection has to end'
    }
    if (this.#connections >= maximumConnections) {
      return `${maximumConnections} connections are relayed already`
    }
    return paths.isCutOff && !paths.mayProbe(Date.now()) ? 'this process is cut off from targets itself' : null
  }

  #connect ({ host, port }: { readonly host: string, readonly port: number }, target: string, request: IncomingMessage, response: ServerResponse, held: HeldPart): void {
    const { paths, targets } = this.options
    // Half-open for checkEnd.
    const socket = connect({ host, port, allowHalfOpen: true, noDelay: true })
    const fail = (reason: string): void => {
      clearTimeout(timer)
      socket.destroy()
      if (response.destroyed || response.headersSent) {
        return
      }
      const canTell = paths.canTell(target)
      paths.recordDirectFailure(target, targets.size, Date.now())
      this.#count(canTell ? 'unreachable' : 'no-path')
      refuse(response, canTell ? Status.BadGateway : Status.ServiceUnavailable, reason)
    }
    const timer = setTimeout(() => {
      // After a freeze of the process the connection may be established already.
      afterNextRead(() => {
        if (socket.connecting) {
          fail(`no connection within ${connectTimeoutMilliseconds} ms`)
        }
      })
    }, connectTimeoutMilliseconds)
    // The peer has left, or its connection was lost: the target learns at once.
    response.once('close', () => {
      clearTimeout(timer)
      socket.destroy()
    })
    // A peer sends nothing before the connection is made; what arrives would be held.
    const onEarlyData = (): void => { request.destroy() }
    request.on('data', onEarlyData)
    // Each connection ends so, unless the target or the relay ends it.
    request.on('error', () => { socket.destroy() })
    socket.once('error', error => { fail(messageOf(error)) })
    socket.once('connect', () => {
      clearTimeout(timer)
      paths.recordDirectSuccess(target, Date.now())
      this.#count('connected')
      request.off('data', onEarlyData)
      relay(socket, request, response, held)
    })
  }

  #count (outcome: string): void {
    this.options.metrics.relayedConnections.inc({ role: 'relay', outcome })
  }
}

/** Passes bytes on in both directions; a side that takes no more stops the other one. */
function relay (socket: Socket, request: IncomingMessage, response: ServerResponse, held: HeldPart): void {
  const end = (how: RelayedEnd): void => {
    if (!response.writableEnded) {
      // Bytes that are not read would turn the close of the connection into a reset.
      request.unpipe(socket)
      request.resume()
      response.addTrailers({ [relayedEndTrailer]: how })
      response.end()
    }
  }
  response.writeHead(Status.Ok, { trailer: relayedEndTrailer })
  response.flushHeaders()
  socket.pipe(response, { end: false })
  request.pipe(socket, { end: false })
  let stalls = 0
  const count = (): void => {
    stalls = 0
    held.set(socket.writableLength + response.writableLength + request.readableLength + socket.readableLength)
  }
  const onIdle = (): void => {
    stalls += 1
    if (socket.writableLength > 0 || (response.writableLength > 0 && stalls >= maximumResponseStalls)) {
      socket.destroy()
      request.destroy()
    } else {
      socket.setTimeout(stallTimeoutMilliseconds)
    }
  }
  socket.setTimeout(stallTimeoutMilliseconds)
  socket.on('timeout', onIdle)
  let chunks = 0
  let chunkBytes = 0
  request.on('data', (chunk: Buffer) => {
    count()
    chunks += 1
    chunkBytes += chunk.length
    if (chunks < judgedChunks) {
      return
    }
    if (chunkBytes < chunks * minimumMeanChunkBytes) {
      // What has arrived already would be passed on although the connection ends.
      request.unpipe(socket)
      socket.destroy()
      request.destroy()
    }
    chunks = 0
    chunkBytes = 0
  })
  socket.on('data', count)
  socket.on('drain', count)
  response.on('drain', count)
  socket.once('end', () => {
    checkEnd(socket, reset => { end(reset === null ? RelayedEnd.Closed : RelayedEnd.Reset) })
  })
  socket.on('error', () => { end(RelayedEnd.Reset) })
}

function refuse (response: ServerResponse, status: Status, reason: string): void {
  reply(response, status, { error: reason }, { connection: 'close' })
}

/** Returns the time by which the peer closes the connection, in milliseconds since the epoch; Infinity if it names none, as earlier versions do. */
function endOf ({ headers }: IncomingMessage): number {
  const remaining = String(headers[relayedRemainingHeader] ?? '')
  return /^\d+$/.test(remaining) ? Date.now() + Number(remaining) : Infinity
}

function parseAddress (text: string): { readonly host: string, readonly port: number } | null {
  const [host = '', port = ''] = text.split(':')
  const isValid = isIPv4(host) && /^\d+$/.test(port) && Number(port) > 0 && Number(port) <= maximumPort
  return isValid ? { host, port: Number(port) } : null
}
