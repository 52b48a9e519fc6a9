/** Connection pools for targets. */
import { Pool } from '../util/undici-pool.js'
import type { Target } from './target-registry.js'

/** Time to establish a connection: two hundred times the usual duration, but short enough to leave most of a latency objective. */
const connectTimeoutMilliseconds = 250
/**
 * Time for which an idle connection for requests that may safely run more than once is kept. Targets close idle
 * connections themselves; a request that is sent at that moment fails without telling whether it ran. A short time makes
 * this rare.
 */
const repeatableKeepAliveMilliseconds = 900
/**
 * Time for which an idle connection for requests that may run at most once is kept. Some targets drop connections that
 * were idle for 300 ms and reset requests that arrive on them; such a request would have to be reported to the client as having an unknown outcome.
 */
const singleRunKeepAliveMilliseconds = 200
/** Connections of this process to one target; slots limit how many are in use. */
const maximumConnections = 64
/** Upper bound of the headers of a response. */
const maximumHeaderBytes = 32_768

interface TargetPools {
  /** For requests that may safely run more than once. */
  readonly repeatable: Pool
  /** For requests that may run at most once. */
  readonly single: Pool
}

/** Keeps pools by target id, so that a new target at the address of a former one gets its own connections. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPools>()

  /** Returns the pool for a request to the target. */
  poolFor (target: Target, isRepeatable: boolean): Pool {
    const pools = this.#pools.get(target.id) ?? {
      repeatable: createPool(target, repeatableKeepAliveMilliseconds),
      single: createPool(target, singleRunKeepAliveMilliseconds)
    }
    this.#pools.set(target.id, pools)
    return isRepeatable ? pools.repeatable : pools.single
  }

  /** Closes the pools of targets that are not in the list; calls in flight are completed first. */
  retainOnly (targets: readonly Target[]): void {
    const present = new Set(targets.map(target => target.id))
    for (const [id, { repeatable, single }] of this.#pools) {
      if (!present.has(id)) {
        this.#pools.delete(id)
        void repeatable.close()
        void single.close()
      }
    }
  }

  async close (): Promise<void> {
    const pools = [...this.#pools.values()].flatMap(({ repeatable, single }) => [repeatable, single])
    await Promise.all(pools.map(async pool => { await pool.destroy() }))
  }
}

function createPool (target: Target, keepAliveMilliseconds: number): Pool {
  return new Pool(`http://${target.address}`, {
    connections: maximumConnections,
    pipelining: 1,
    keepAliveTimeout: keepAliveMilliseconds,
    keepAliveMaxTimeout: keepAliveMilliseconds,
    maxHeaderSize: maximumHeaderBytes,
    connect: { timeout: connectTimeoutMilliseconds }
  })
}
