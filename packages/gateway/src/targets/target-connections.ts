/** Kept connections to targets. */
import { Pool } from '../util/undici-pool.js'
import type { Target } from './target-registry.js'

/** Milliseconds for a new connection; two hundred times the usual, and a small part of an objective. */
const connectMilliseconds = 250
/**
 * Milliseconds that an idle connection is kept. Targets close idle connections themselves, and a
 * request that meets the close may have run; the shorter this is, the rarer that gets.
 */
const idleMilliseconds = 900
/** Connections of this process to one target; slots bound what is in use. */
const greatestConnections = 64
/** Bytes of an answer's head. */
const greatestHeaderBytes = 32_768

/** One pool for each target, by id, so that a new target at an old address gets connections of its own. */
export class TargetConnections {
  readonly #pools = new Map<string, Pool>()

  /** The pool of a target. */
  of (target: Target): Pool {
    const known = this.#pools.get(target.id)
    if (known !== undefined) {
      return known
    }
    const pool = new Pool(`http://${target.address}`, {
      connections: greatestConnections,
      pipelining: 1,
      keepAliveTimeout: idleMilliseconds,
      keepAliveMaxTimeout: idleMilliseconds,
      maxHeaderSize: greatestHeaderBytes,
      connect: { timeout: connectMilliseconds }
    })
    this.#pools.set(target.id, pool)
    return pool
  }

  /** Lets go of targets that are not in the list any more; calls in flight go on. */
  keepOnly (targets: readonly Target[]): void {
    const present = new Set(targets.map(target => target.id))
    for (const [id, pool] of this.#pools) {
      if (!present.has(id)) {
        this.#pools.delete(id)
        void pool.close()
      }
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async pool => { await pool.destroy() }))
  }
}
