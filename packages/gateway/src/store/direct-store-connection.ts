/** Direct HTTP calls to the platform's store. */
import { messageOf } from '@arbutusloft/protocol'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import type { ResponseObserver } from '../util/buffered-call.js'
import { Pool } from '../util/undici-pool.js'
import { readTransfer } from './store-connection.js'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Enough for long polls of three topics, an append, a refresh, and as many connections for relayed calls. */
const maximumConnections = 16
/** Time to establish a connection. */
const connectTimeoutMilliseconds = 400
/** Time after which an idle connection is closed, so that unresponsive connections don't accumulate. */
const keepAliveMilliseconds = 4_000

/** Calls the store over a connection pool. */
export class DirectStoreConnection implements StoreConnection {
  #pool: Pool
  /** Pools that were replaced, as long as calls use them. */
  readonly #retired = new Set<Pool>()
  #isClosed = false

  constructor (private readonly address: string) {
    this.#pool = this.#createPool()
  }

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, _isUrgent?: boolean, observer?: ResponseObserver): Promise<StoreReply> {
    const pool = this.#pool
    try {
      const response = await callBuffered(pool, {
        method,
        path,
        body,
        timeoutMilliseconds,
        ...(method === 'GET' ? { transfer: readTransfer } : {}),
        ...(observer === undefined ? {} : { observer })
      })
      return { answered: true, status: response.status, body: response.body }
    } catch (error) {
      this.#retire(pool)
      return { answered: false, sent: !(error instanceof UnansweredCallError) || error.sent, reason: messageOf(error) }
    }
  }

  async close (): Promise<void> {
    this.#isClosed = true
    await Promise.all([this.#pool, ...this.#retired].map(async pool => { await pool.destroy() }))
  }

  #createPool (): Pool {
    return new Pool(`http://${this.address}`, {
      connections: maximumConnections,
      pipelining: 1,
      keepAliveTimeout: keepAliveMilliseconds,
      connect: { timeout: connectTimeoutMilliseconds }
    })
  }

  /** Replaces a pool on which a call has failed: its other connections may have become unresponsive together with that of the call. */
  #retire (pool: Pool): void {
    if (pool !== this.#pool || this.#isClosed) {
      return
    }
    this.#pool = this.#createPool()
    this.#retired.add(pool)
    const forget = (): void => { this.#retired.delete(pool) }
    // Rejects only if the pool is destroyed meanwhile.
    pool.close().then(forget, forget)
  }
}
