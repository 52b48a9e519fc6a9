/**
 * Calls the store directly, or through a peer while the store rejects or doesn't answer this instance. The peer forwards
 * a relayed call unchanged, so it has the same ordering and the same conditions as a direct call.
 */
import { messageOf } from '@arbutusloft/protocol'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import type { Logger } from '../util/logger.js'
import type { ResponseObserver } from '../util/buffered-call.js'
import { Pool } from '../util/undici-pool.js'
import { RelayPauses } from './relay-pauses.js'
import { StoreAccess } from './store-access.js'
import { readTransfer } from './store-connection.js'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Path for relayed calls at the peers' internal addresses. */
export const relayPath = '/store-call'
/** Header with the path of the relayed call. */
export const relayedPathHeader = 'x-arbutus-store-path'
/** Header with the timeout of the relayed call, in milliseconds. */
export const relayedTimeoutHeader = 'x-arbutus-store-timeout'
/** Header that is present on a response that comes from the store and not from the peer. */
export const storeReplyHeader = 'x-arbutus-from-store'

/** Calls in a row without a response after which direct calls count as unavailable; a single response may just have been lost. */
const maximumUnansweredCalls = 2
/** Time after a call without a response within which another one repeats it. */
const repetitionMilliseconds = 1
/** Peers that are tried for one call. */
const maximumPeers = 4
/** Time to connect to a peer, and the time allowed for the relay in addition to the call's own timeout. */
const relayOverheadMilliseconds = 150

/** Time without an answer from which a call shows that the store may not serve this instance; a slow store answers sooner. */
const conclusiveMilliseconds = 400
/** Time after which an urgent read that was not answered is also sent another way. */
const urgentDelayMilliseconds = 60
/** Timeout of an urgent read at a peer. */
const urgentTimeoutMilliseconds = 200
/** Maximum number of peers that an urgent read is sent to. */
const maximumUrgentPeers = 6

const serviceUnavailableStatus = 503
const tooManyRequestsStatus = 429

/** Options of {@link RelayingStoreConnection}. */
export interface RelayingOptions {
  /** Returns the peers' internal addresses as `ip:port`, nearest first. */
  readonly peers: () => readonly string[]
  readonly logger: Logger
  /** Returns the name of the partition that a call concerns, by its path; by default, all calls concern one. */
  readonly partitionOf?: (path: string) => string
}

/** Calls the store directly unless direct calls have failed recently; relays a call through peers if the direct one isn't served. */
export class RelayingStoreConnection implements StoreConnection {
  readonly #access = new StoreAccess()
  readonly #relayPauses = new RelayPauses()
  /** The same for urgent reads, which go on while other calls pause. */
  readonly #urgentPauses = new RelayPauses()
  /** The peer that relayed a call last, or null. */
  #provenPeer: string | null = null
  /** Direct calls in a row, each begun after the one before had failed, that were sent and not answered. */
  #unansweredCalls = 0
  /** Time of the latest direct call without a response, by the clock of `performance`. */
  #unansweredAt = 0

  constructor (private readonly direct: StoreConnection, private readonly options: RelayingOptions) {}

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, isUrgent = false): Promise<StoreReply> {
    if (isUrgent && method === 'GET') {
      return await this.#readUrgently(path, timeoutMilliseconds)
    }
    const partition = this.#partitionOf(path)
    if (!this.#access.shouldCall(partition, performance.now()) && this.options.peers().length > 0) {
      return await this.#relay(method, path, body, timeoutMilliseconds)
    }
    let reply = await this.callDirectly(method, path, body, timeoutMilliseconds)
    if (isLost(reply) && method === 'GET' && !this.#access.isRefused(partition)) {
      // The connection may just have been stale; the next call uses a new one.
      reply = await this.callDirectly(method, path, body, timeoutMilliseconds)
    }
    // An append that may have been applied must not be sent again through a peer.
    const mayRelay = !isServed(reply) && (method === 'GET' || !isLost(reply))
    return mayRelay ? await this.#relay(method, path, body, timeoutMilliseconds, reply) : reply
  }

  /**
   * Makes a call on behalf of a peer: directly, or not at all while direct calls of this instance fail.
   *
   * @param observer follows the response
   */
  async callForPeer (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, observer?: ResponseObserver): Promise<StoreReply> {
    if (this.#access.isAway || !this.#access.shouldCall(this.#partitionOf(path), performance.now())) {
      return { answered: false, sent: false, reason: 'the store turns this instance away, too' }
    }
    return await this.callDirectly(method, path, body, timeoutMilliseconds, timeoutMilliseconds >= conclusiveMilliseconds, observer)
  }

  async close (): Promise<void> {
    await this.direct.close()
  }

  /**
   * Makes a direct call and records whether the store serves this instance.
   *
   * @param isConclusive whether a call that was not answered in its time may show that it does not
   * @param observer follows the response
   */
  async callDirectly (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, isConclusive = true, observer?: ResponseObserver): Promise<StoreReply> {
    const partition = this.#partitionOf(path)
    const mark = this.#access.mark(partition)
    const startedAt = performance.now()
    const reply = await this.direct.call(method, path, body, timeoutMilliseconds, false, observer)
    if (isLost(reply) && !isConclusive) {
      return reply
    }
    this.#countUnanswered(reply, startedAt)
    const isUndecided = isLost(reply) && this.#unansweredCalls < maximumUnansweredCalls
    if (!isUndecided && this.#access.note(partition, isServed(reply), !reply.answered, mark, performance.now())) {
      this.options.logger.info(isServed(reply) ? 'store serves this instance again' : 'store turns this instance away', { reply: describe(reply), partition, isAway: this.#access.isAway })
    }
    return reply
  }

  /** Counts calls without a response. Calls that fail together, as when all connections are reset, count as one, with those that repeat them at once. */
  #countUnanswered (reply: StoreReply, startedAt: number): void {
    if (!isLost(reply)) {
      this.#unansweredCalls = 0
    } else if (this.#unansweredCalls === 0 || startedAt >= this.#unansweredAt + repetitionMilliseconds) {
      this.#unansweredCalls += 1
      this.#unansweredAt = performance.now()
    }
  }

  /** Calls of all partitions pause together while the store is away as a whole. */
  #pauseKeyOf (path: string): string {
    return this.#access.isAway ? '' : this.#partitionOf(path)
  }

  #partitionOf (path: string): string {
    return this.options.partitionOf?.(path) ?? ''
  }

  /**
   * Reads directly, and through one peer after the other while no answer comes; the first answer counts. Asks peers also
   * when those asked before had no access to the store.
   */
  async #readUrgently (path: string, timeoutMilliseconds: number): Promise<StoreReply> {
    const pauseKey = this.#pauseKeyOf(path)
    const peers = this.#urgentPauses.isActive(pauseKey, performance.now()) ? [] : this.#peersToTry(maximumUrgentPeers)
    let failures = 0
    const ways = peers.map(peer => async () => {
      const reply = await callPeer(peer, 'GET', path, null, Math.min(timeoutMilliseconds, urgentTimeoutMilliseconds))
      if (isServed(reply)) {
        this.#provenPeer = peer
        this.#urgentPauses.end(pauseKey)
      } else if ((failures += 1) === peers.length) {
        this.#urgentPauses.begin(pauseKey, performance.now())
      }
      return reply
    })
    const direct = async (): Promise<StoreReply> => await this.callDirectly('GET', path, null, timeoutMilliseconds)
    // A peer is asked first while the store turns this instance away; the direct call finds out whether it still does.
    const ordered = !this.#access.isRefused(this.#partitionOf(path)) ? [direct, ...ways] : [...ways.slice(0, 1), direct, ...ways.slice(1)]
    return await firstServed(ordered, urgentDelayMilliseconds)
  }

  async #relay (method: 'GET' | 'POST', path: string, body: Buffer | null, timeout: number, directReply?: StoreReply): Promise<StoreReply> {
    let last: StoreReply = directReply ?? { answered: false, sent: false, reason: 'no peer has access to the store' }
    const pauseKey = this.#pauseKeyOf(path)
    if (this.#relayPauses.isActive(pauseKey, performance.now())) {
      return last
    }
    for (const peer of this.#peersToTry(maximumPeers)) {
      const reply = await callPeer(peer, method, path, body, timeout)
      if (isServed(reply)) {
        this.#provenPeer = peer
        this.#relayPauses.end(pauseKey)
        return reply
      }
      if (method === 'POST' && isLost(reply)) {
        return reply
      }
      last = reply
    }
    this.#provenPeer = null
    this.#relayPauses.begin(pauseKey, performance.now())
    return last
  }

  #peersToTry (count: number): readonly string[] {
    const peers = this.options.peers()
    const proven = this.#provenPeer
    return (proven === null || !peers.includes(proven) ? peers : [proven, ...peers.filter(peer => peer !== proven)]).slice(0, count)
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
      timeoutMilliseconds: timeout + relayOverheadMilliseconds,
      ...(method === 'GET' ? { transfer: readTransfer } : {})
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

/**
 * Makes calls one after the other, each when the one before has failed or has had no reply for a while. Returns the first reply with
 * which the store served a call, or the last reply if it served none.
 */
async function firstServed (calls: ReadonlyArray<() => Promise<StoreReply>>, delayMilliseconds: number): Promise<StoreReply> {
  return await new Promise(resolve => {
    let started = 0
    let ended = 0
    let timer: NodeJS.Timeout | undefined
    const startNext = (): void => {
      clearTimeout(timer)
      const call = calls[started]
      if (call === undefined) {
        return
      }
      const number = started += 1
      timer = setTimeout(startNext, delayMilliseconds)
      void call().then(reply => {
        ended += 1
        if (isServed(reply) || ended === calls.length) {
          started = calls.length
          clearTimeout(timer)
          resolve(reply)
        } else if (number === started) {
          startNext()
        }
      })
    }
    startNext()
  })
}

/** Whether a call was sent and not answered, so that it may have been carried out. */
function isLost (reply: StoreReply): boolean {
  return !reply.answered && reply.sent
}

/** Whether the store served the call: it responded, and not with 503 or 429, with which it rejects calls. */
function isServed (reply: StoreReply): boolean {
  return reply.answered && reply.status !== serviceUnavailableStatus && reply.status !== tooManyRequestsStatus
}

function describe (reply: StoreReply): string {
  return reply.answered ? `status ${reply.status}` : reply.reason
}
