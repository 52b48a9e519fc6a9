/**
 * Calls the store directly, or through a peer while the store rejects or doesn't answer this instance. The peer forwards
 * a relayed call unchanged, so it has the same ordering and the same conditions as a direct call.
 */
import { messageOf } from '@arbutusloft/protocol'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import type { Logger } from '../util/logger.js'
import { Pool } from '../util/undici-pool.js'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Path for relayed calls at the peers' internal addresses. */
export const relayPath = '/store-call'
/** Header with the path of the relayed call. */
export const relayedPathHeader = 'x-arbutus-store-path'
/** Header with the timeout of the relayed call, in milliseconds. */
export const relayedTimeoutHeader = 'x-arbutus-store-timeout'
/** Header that is present on a response that comes from the store and not from the peer. */
export const storeReplyHeader = 'x-arbutus-from-store'

/** Interval at which a direct call is tried while direct calls fail. */
const probeIntervalMilliseconds = 1_000
/** Calls in a row without a response after which direct calls count as unavailable; a single response may just have been lost. */
const maximumUnansweredCalls = 2
/** Peers that are tried for one call. */
const maximumPeers = 2
/** Time to connect to a peer, and the time allowed for the relay in addition to the call's own timeout. */
const relayOverheadMilliseconds = 150

const serviceUnavailableStatus = 503
const tooManyRequestsStatus = 429

/** Options of {@link RelayingStoreConnection}. */
export interface RelayingOptions {
  /** Returns the peers' internal addresses as `ip:port`, nearest first. */
  readonly peers: () => readonly string[]
  readonly logger: Logger
}

/** Calls the store directly unless direct calls have failed recently; relays a call through peers if the direct one isn't served. */
export class RelayingStoreConnection implements StoreConnection {
  #isDirectAvailable = true
  #probedAt = 0
  /** Direct calls in a row that were sent and not answered. */
  #unansweredCalls = 0
  /** Incremented whenever direct calls become available or unavailable. */
  #stateVersion = 0

  constructor (private readonly direct: StoreConnection, private readonly options: RelayingOptions) {}

  /** Whether the store serves direct calls, according to the latest one. */
  get isDirectAvailable (): boolean {
    return this.#isDirectAvailable
  }

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    if (!this.#shouldCallDirectly() && this.options.peers().length > 0) {
      return await this.#relay(method, path, body, timeoutMilliseconds)
    }
    const reply = await this.callDirectly(method, path, body, timeoutMilliseconds)
    // An append that may have been applied must not be sent again through a peer.
    const mayRelay = !isServed(reply) && (method === 'GET' || reply.answered || !reply.sent)
    return mayRelay ? await this.#relay(method, path, body, timeoutMilliseconds, reply) : reply
  }

  /** Makes a call on behalf of a peer: directly, or not at all while direct calls of this instance fail. */
  async callForPeer (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    if (!this.#isDirectAvailable) {
      return { answered: false, sent: false, reason: 'the store turns this instance away, too' }
    }
    return await this.callDirectly(method, path, body, timeoutMilliseconds)
  }

  async close (): Promise<void> {
    await this.direct.close()
  }

  /** Makes a direct call and records whether the store serves this instance. */
  async callDirectly (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    const stateVersion = this.#stateVersion
    const reply = await this.direct.call(method, path, body, timeoutMilliseconds)
    const served = isServed(reply)
    this.#unansweredCalls = !reply.answered && reply.sent ? this.#unansweredCalls + 1 : 0
    const isLost = this.#unansweredCalls > 0 && this.#unansweredCalls < maximumUnansweredCalls
    // The outcome of a call that began before the last change of state is out of date.
    if (served !== this.#isDirectAvailable && !isLost && stateVersion === this.#stateVersion) {
      this.#stateVersion += 1
      this.#isDirectAvailable = served
      this.#probedAt = Date.now()
      this.options.logger.info(served ? 'store serves this instance again' : 'store turns this instance away', { reply: describe(reply) })
    }
    return reply
  }

  #shouldCallDirectly (): boolean {
    if (this.#isDirectAvailable) {
      return true
    }
    if (Date.now() - this.#probedAt < probeIntervalMilliseconds) {
      return false
    }
    this.#probedAt = Date.now()
    return true
  }

  async #relay (method: 'GET' | 'POST', path: string, body: Buffer | null, timeout: number, directReply?: StoreReply): Promise<StoreReply> {
    let last: StoreReply = directReply ?? { answered: false, sent: false, reason: 'no peer is available to relay the call to the store' }
    for (const peer of this.options.peers().slice(0, maximumPeers)) {
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
  // Uses a new connection for each call: relaying is rare, and an unresponsive connection must not be used again.
  const pool = new Pool(`http://${peer}`, { connections: 1, connect: { timeout: relayOverheadMilliseconds } })
  try {
    const response = await callBuffered(pool, {
      method,
      path: relayPath,
      headers: { [relayedPathHeader]: path, [relayedTimeoutHeader]: String(timeout) },
      body,
      timeoutMilliseconds: timeout + relayOverheadMilliseconds
    })
    if (response.headers[storeReplyHeader] === undefined) {
      return { answered: false, sent: response.status !== serviceUnavailableStatus, reason: `peer ${peer} responded with status ${response.status}` }
    }
    return { answered: true, status: response.status, body: response.body }
  } catch (error) {
    return { answered: false, sent: !(error instanceof UnansweredCallError) || error.sent, reason: messageOf(error) }
  } finally {
    void pool.destroy()
  }
}

/** Whether the store served the call: it responded, and not with 503 or 429, with which it rejects calls. */
function isServed (reply: StoreReply): boolean {
  return reply.answered && reply.status !== serviceUnavailableStatus && reply.status !== tooManyRequestsStatus
}

function describe (reply: StoreReply): string {
  return reply.answered ? `status ${reply.status}` : reply.reason
}
