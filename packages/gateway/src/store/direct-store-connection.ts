/** Direct HTTP calls to the platform's store. */
import { messageOf } from '@arbutusloft/protocol'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import { Pool } from '../util/undici-pool.js'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Enough for long polls of three topics, an append, a refresh, and as many connections for relayed calls. */
const maximumConnections = 16
/** Time to establish a connection. */
const connectTimeoutMilliseconds = 400
/** Time after which an idle connection is closed, so that unresponsive connections don't accumulate. */
const keepAliveMilliseconds = 4_000

/** Calls the store over a connection pool. */
export class DirectStoreConnection implements StoreConnection {
  readonly #pool: Pool

  constructor (address: string) {
    this.#pool = new Pool(`http://${address}`, {
      connections: maximumConnections,
      pipelining: 1,
      keepAliveTimeout: keepAliveMilliseconds,
      connect: { timeout: connectTimeoutMilliseconds }
    })
  }

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    try {
      const response = await callBuffered(this.#pool, { method, path, body, timeoutMilliseconds })
      return { answered: true, status: response.status, body: response.body }
    } catch (error) {
      return { answered: false, sent: !(error instanceof UnansweredCallError) || error.sent, reason: messageOf(error) }
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}
