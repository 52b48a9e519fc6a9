/** Calls to the platform's store. */
import { messageOf } from '@arbutusloft/protocol'
import { Pool } from 'undici'
import type { StoreConnection, StoreReply } from './store-connection.js'

/** Long polls of three topics, an append, a refresh, and as many for relayed calls. */
const greatestConnections = 16
/** Milliseconds for a new connection to the store. */
const connectMilliseconds = 400
/** Milliseconds after which an idle connection is closed: silent ones must not pile up. */
const idleMilliseconds = 4_000

/** Errors that tell that the call was never written. */
const unsentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Direct connections to the store. */
export class DirectStoreConnection implements StoreConnection {
  readonly #pool: Pool

  constructor (address: string) {
    this.#pool = new Pool(`http://${address}`, {
      connections: greatestConnections,
      pipelining: 1,
      keepAliveTimeout: idleMilliseconds,
      connect: { timeout: connectMilliseconds }
    })
  }

  async call (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number): Promise<StoreReply> {
    const abort = new AbortController()
    const timer = setTimeout(() => { abort.abort(new Error('no answer in time')) }, timeoutMilliseconds)
    try {
      const response = await this.#pool.request({ method, path, body, signal: abort.signal, headersTimeout: 0, bodyTimeout: 0 })
      return { answered: true, status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) }
    } catch (error) {
      return { answered: false, sent: !isUnsent(error), reason: messageOf(error) }
    } finally {
      clearTimeout(timer)
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

function isUnsent (error: unknown): boolean {
  return error instanceof Error && 'code' in error && unsentCodes.has(String(error.code))
}
