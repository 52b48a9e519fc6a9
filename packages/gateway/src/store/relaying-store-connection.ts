/**
 * Reaches the store directly, or through a peer while the store turns this instance away.
 * A relayed call is the same call: the store orders and conditions it as if it had come directly.
 */
import { messageOf } from '@arbutusloft/protocol'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import type { Logger } from '../util/logger.js'
import { Pool } from '../util/undici-pool.js'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Path of relayed calls on the peers' internal address. */
export const relayPath = '/store-call'
/** Header with the path of the relayed call. */
export const relayedPathHeader = 'x-arbutus-store-path'
/** Header with the milliseconds that the relayed call may take. */
export const relayedTimeoutHeader = 'x-arbutus-store-timeout'
/** Set on an answer that comes from the store and not from the peer. */
export const relayedMark = 'x-arbutus-from-store'

/** Milliseconds between direct calls while the store turns this instance away. */
const probeMilliseconds = 1_000
/** Peers that are asked for one call. */
const greatestPeers = 2
/** Milliseconds for the way to a peer and back, beyond the call itself. */
const peerMilliseconds = 150

const serviceUnavailable = 503
const tooManyRequests = 429

/** Options of {@link RelayingStoreConnection}. */
export interface RelayingOptions {
  /** `ip:port` of the peers' internal addresses, the nearest first. */
  readonly peers: () => readonly string[]
  readonly logger: Logger
}

/** Tries the direct way first, unless it failed lately. */
export class RelayingStoreConnection implements StoreConnection {
  #directGood = true
  #probedAt = 0
  #generation = 0

  constructor (private readonly direct: StoreConnection, private readonly options: RelayingOptions) {}

  /** Whether the last direct call was served. */
  get directGood (): boolean {
    return this.#directGood
  }

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    if (!this.#triesDirect()) {
      return await this.#relay(method, path, body, timeoutMilliseconds)
    }
    const reply = await this.callDirectly(method, path, body, timeoutMilliseconds)
    // An append that may have been done must not be done again by another way.
    const mayRelay = !isServed(reply) && (method === 'GET' || reply.answered || !reply.sent)
    return mayRelay ? await this.#relay(method, path, body, timeoutMilliseconds, reply) : reply
  }

  /** Makes a call for a peer: directly, or not at all while the store turns this instance away. */
  async callForPeer (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    if (!this.#directGood) {
      return { answered: false, sent: false, reason: 'the store turns this instance away, too' }
    }
    return await this.callDirectly(method, path, body, timeoutMilliseconds)
  }

  async close (): Promise<void> {
    await this.direct.close()
  }

  /** Makes a call directly and takes note of how the store treats this instance. */
  async callDirectly (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    const generation = this.#generation
    const reply = await this.direct.call(method, path, body, timeoutMilliseconds)
    const served = isServed(reply)
    // A call that began before the last change tells nothing new.
    if (served !== this.#directGood && generation === this.#generation) {
      this.#generation += 1
      this.#directGood = served
      this.#probedAt = Date.now()
      this.options.logger.info(served ? 'store serves this instance again' : 'store turns this instance away', { reply: describe(reply) })
    }
    return reply
  }

  #triesDirect (): boolean {
    if (this.#directGood) {
      return true
    }
    if (Date.now() - this.#probedAt < probeMilliseconds) {
      return false
    }
    this.#probedAt = Date.now()
    return true
  }

  async #relay (method: 'GET' | 'POST', path: string, body: Buffer | null, timeout: number, otherwise?: StoreReply): Promise<StoreReply> {
    let last: StoreReply = otherwise ?? { answered: false, sent: false, reason: 'no peer reaches the store' }
    for (const peer of this.options.peers().slice(0, greatestPeers)) {
      const reply = await callPeer(peer, method, path, body, timeout)
      if (isServed(reply) || (method === 'POST' && !reply.answered && reply.sent)) {
        return reply
      }
      last = reply
    }
    return last
  }
}

async function callPeer (peer: string, method: 'GET' | 'POST', path: string, body: Buffer | null, timeout: number): Promise<StoreReply> {
  // A connection for each call: this is rare, and a silent one must not be met twice.
  const pool = new Pool(`http://${peer}`, { connections: 1, connect: { timeout: peerMilliseconds } })
  try {
    const answer = await callBuffered(pool, {
      method,
      path: relayPath,
      headers: { [relayedPathHeader]: path, [relayedTimeoutHeader]: String(timeout) },
      body,
      timeoutMilliseconds: timeout + peerMilliseconds
    })
    if (answer.headers[relayedMark] === undefined) {
      return { answered: false, sent: answer.status !== serviceUnavailable, reason: `peer ${peer} answers ${answer.status}` }
    }
    return { answered: true, status: answer.status, body: answer.body }
  } catch (error) {
    return { answered: false, sent: !(error instanceof UnansweredCallError) || error.sent, reason: messageOf(error) }
  } finally {
    void pool.destroy()
  }
}

function isServed (reply: StoreReply): boolean {
  return reply.answered && reply.status !== serviceUnavailable && reply.status !== tooManyRequests
}

function describe (reply: StoreReply): string {
  return reply.answered ? `status ${reply.status}` : reply.reason
}
