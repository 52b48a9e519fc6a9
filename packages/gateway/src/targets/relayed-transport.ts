/** Connections to targets that a peer relays. */
import { request as startRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import { messageOf } from '@arbutusloft/protocol'
import { Status } from '../http/reply.js'
import { afterNextRead } from '../util/after-next-read.js'
import { RelayedEnd, relayedAddressHeader, relayedEndTrailer, relayedRemainingHeader, relayedTargetHeader, targetRelayPath } from './relay-protocol.js'
import { ReadTurn } from './read-turn.js'
import { ConnectionFailure, connectTimeoutMilliseconds, failSoon } from './transport.js'
import type { ConnectAttempt, ConnectListener, TargetTransport, TransportListener } from './transport.js'
import type { TargetEndpoint } from './target-registry.js'

/** A peer that relays. */
export interface Relay {
  /** Address of the member. */
  readonly address: string
  /** `ip:port` of its internal server. */
  readonly internalAddress: string
}

/** Time for the peer to answer: to connect to the target, and for the way to the peer and back. */
const answerTimeoutMilliseconds = connectTimeoutMilliseconds + 50

/**
 * Connects to a target through a peer; never throws.
 *
 * @param endsAt time by which the caller closes the connection, in milliseconds since the epoch; Infinity if there is none
 */
export function connectThroughPeer (relay: Relay, target: TargetEndpoint, endsAt: number, listener: ConnectListener): ConnectAttempt {
  try {
    return askPeer(relay, target, endsAt, listener)
  } catch (error) {
    // For example an id that no header can carry.
    return failSoon(listener, error, ConnectionFailure.NoPath)
  }
}

function askPeer (relay: Relay, target: TargetEndpoint, endsAt: number, listener: ConnectListener): ConnectAttempt {
  const [host, port] = relay.internalAddress.split(':')
  const request = startRequest({
    host,
    port: Number(port),
    method: 'POST',
    path: targetRelayPath,
    // A connection of its own, so that none waits for another.
    agent: false,
    headers: {
      [relayedAddressHeader]: target.address,
      [relayedTargetHeader]: encodeURIComponent(target.id),
      ...(endsAt === Infinity ? {} : { [relayedRemainingHeader]: Math.max(0, Math.ceil(endsAt - Date.now())) }),
      'transfer-encoding': 'chunked'
    }
  })
  let isSettled = false
  const settle = (): boolean => {
    const isFirst = !isSettled
    isSettled = true
    clearTimeout(timer)
    return isFirst
  }
  const fail = (reason: string, failure: typeof ConnectionFailure.Unreachable | typeof ConnectionFailure.NoPath): void => {
    if (settle()) {
      request.destroy()
      listener.onFailed(reason, failure)
    }
  }
  const timer = setTimeout(() => {
    // After a freeze of the process the answer may have arrived already.
    afterNextRead(() => { fail(`peer ${relay.address} did not answer within ${answerTimeoutMilliseconds} ms`, ConnectionFailure.NoPath) })
  }, answerTimeoutMilliseconds)
  request.on('error', error => { fail(`peer ${relay.address}: ${messageOf(error)}`, ConnectionFailure.NoPath) })
  request.once('response', response => {
    if (response.statusCode !== Status.Ok) {
      const failure = response.statusCode === Status.BadGateway ? ConnectionFailure.Unreachable : ConnectionFailure.NoPath
      response.on('error', () => { /* The rest of the response is not read. */ })
      fail(`peer ${relay.address} responded with status ${response.statusCode}`, failure)
    } else if (settle()) {
      listener.onConnected(new RelayedTransport(relay.address, request, response))
    }
  })
  request.flushHeaders()
  return {
    cancel: () => {
      if (settle()) {
        request.destroy()
      }
    }
  }
}

class RelayedTransport implements TargetTransport {
  #listener: TransportListener | null = null
  #isPaused = false
  #isEnded = false
  readonly #turn = new ReadTurn(() => { this.#read() })

  constructor (readonly via: string, private readonly request: ClientRequest, private readonly response: IncomingMessage) {
    request.on('error', error => { this.#onRelayLost(messageOf(error)) })
    response.on('error', error => { this.#onRelayLost(messageOf(error)) })
    response.once('end', () => { this.#onEnd() })
    response.once('close', () => { this.#onRelayLost('connection closed') })
  }

  get hasUnsent (): boolean {
    return this.request.writableLength > 0
  }

  start (listener: TransportListener): void {
    this.#listener = listener
    this.response.on('readable', () => { this.#read() })
  }

  write (bytes: Buffer): void {
    this.request.write(bytes)
  }

  resume (): void {
    if (this.#isPaused) {
      this.#isPaused = false
      this.#read()
    }
  }

  checkEnd (onChecked: (reset: Error | null) => void): void {
    // The relay has checked it.
    onChecked(null)
  }

  destroy (): void {
    this.#isEnded = true
    this.request.destroy()
  }

  /** Passes on all that has arrived at once, up to the limit of a turn, like a read of a socket: a listener that reads from time to time would else get one chunk each time. */
  #read (): void {
    while (!this.#isPaused && !this.#turn.isOver && !this.#isEnded) {
      const { remaining } = this.#turn
      const bytes = this.response.read(this.response.readableLength > remaining ? remaining : undefined) as Buffer | null
      if (bytes === null) {
        return
      }
      this.#turn.add(bytes.length)
      this.#isPaused = this.#listener?.onData(bytes) === false
    }
  }

  #onEnd (): void {
    const end = this.response.trailers[relayedEndTrailer]
    if (this.#isEnded) {
      return
    }
    if (end === RelayedEnd.Closed) {
      this.#listener?.onEnd()
    } else if (end === RelayedEnd.Reset) {
      this.destroy()
      this.#listener?.onLost('the target reset the relayed connection', ConnectionFailure.Disconnected)
    }
    // Otherwise the close of the response tells that the relay ended it.
  }

  #onRelayLost (reason: string): void {
    if (!this.#isEnded) {
      this.destroy()
      this.#listener?.onLost(`peer ${this.via}: ${reason}`, ConnectionFailure.RelayLost)
    }
  }
}
