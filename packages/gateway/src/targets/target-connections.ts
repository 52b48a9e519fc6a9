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
/**
 * The same for requests that must not run twice. Some targets forget connections that rested for 300 ms
 * and reset what is sent on them; such a request could only be answered with an unknown outcome.
 */
const freshMilliseconds = 200
/** Connections of this process to one target; slots bound what is in use. */
const greatestConnections = 64
/** Bytes of an answer's head. */
const greatestHeaderBytes = 32_768

interface TargetPools {
  /** For requests that may be sent again. */
  readonly repeatable: Pool
  /** For requests that may run once at most. */
  readonly single: Pool
}

/** Pools for each target, by id, so that a new target at an old address gets connections of its own. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPools>()

  /** The pool for a request to the target. */
  of (target: Target, isRepeatable: boolean): Pool {
    const pools = this.#pools.get(target.id) ?? {
      repeatable: createPool(target, idleMilliseconds),
      single: createPool(target, freshMilliseconds)
    }
    this.#pools.set(target.id, pools)
    return isRepeatable ? pools.repeatable : pools.single
  }

  /** Lets go of targets that are not in the list any more; calls in flight go on. */
  keepOnly (targets: readonly Target[]): void {
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

function createPool (target: Target, keptMilliseconds: number): Pool {
  return new Pool(`http://${target.address}`, {
    connections: greatestConnections,
    pipelining: 1,
    keepAliveTimeout: keptMilliseconds,
    keepAliveMaxTimeout: keptMilliseconds,
    maxHeaderSize: greatestHeaderBytes,
    connect: { timeout: connectMilliseconds }
  })
}
