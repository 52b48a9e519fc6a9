/** Connections to targets, which are used again for later requests. */
import { Alarm } from '../util/alarm.js'
import { TargetConnection } from './target-connection.js'
import type { TargetEndpoint } from './target-registry.js'

/**
 * Time for which an idle connection is used again. Some targets drop connections that were idle for 300 ms and reset
 * requests that arrive on them; such a request may have run, for all that the sender can tell.
 */
const keepAliveMilliseconds = 200

/** The connections to one target. */
interface TargetPool {
  /** Connections without a request, the one that was used last at the end. */
  readonly idle: TargetConnection[]
  readonly all: Set<TargetConnection>
}

/** Keeps connections by target, so that one that starts at the address or under the id of a former one gets its own connections. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPool>()
  readonly #alarm = new Alarm(now => this.#closeExpired(now))

  /**
   * Returns an idle or new connection for a request to the target; the one that was used last, since it is the least likely to be closed.
   * A connection that has carried a request with the same id is not used: a late copy of its response would count as the response.
   */
  acquire (target: TargetEndpoint, id: string): TargetConnection {
    const pool = this.#poolOf(target)
    const index = pool.idle.findLastIndex(connection => !connection.hasCarried(id))
    const newest = pool.idle[index]
    if (newest !== undefined && Date.now() - newest.idleSince < keepAliveMilliseconds) {
      pool.idle.splice(index, 1)
      return newest
    }
    const connection: TargetConnection = new TargetConnection(
      target.address,
      () => { this.#onIdle(pool, connection) },
      () => { this.#onClosed(keyOf(target), pool, connection) }
    )
    pool.all.add(connection)
    return connection
  }

  close (): void {
    this.#alarm.close()
    for (const { all } of this.#pools.values()) {
      closeAll([...all])
    }
  }

  #poolOf (target: TargetEndpoint): TargetPool {
    const key = keyOf(target)
    const known = this.#pools.get(key)
    if (known !== undefined) {
      return known
    }
    const pool = { idle: [], all: new Set<TargetConnection>() }
    this.#pools.set(key, pool)
    return pool
  }

  #onIdle (pool: TargetPool, connection: TargetConnection): void {
    pool.idle.push(connection)
    this.#alarm.setBy(connection.idleSince + keepAliveMilliseconds)
  }

  #onClosed (key: string, pool: TargetPool, connection: TargetConnection): void {
    pool.all.delete(connection)
    if (pool.all.size === 0 && this.#pools.get(key) === pool) {
      this.#pools.delete(key)
    }
    const index = pool.idle.indexOf(connection)
    if (index >= 0) {
      pool.idle.splice(index, 1)
    }
  }

  /** Closes connections that have been idle for too long; returns when to check again. */
  #closeExpired (now: number): number {
    let next = Infinity
    for (const { idle } of this.#pools.values()) {
      closeAll(idle.filter(connection => now - connection.idleSince >= keepAliveMilliseconds))
      const [oldest] = idle
      if (oldest !== undefined) {
        next = Math.min(next, oldest.idleSince + keepAliveMilliseconds)
      }
    }
    return next
  }
}

function keyOf ({ id, address, born }: TargetEndpoint): string {
  return `${id} ${address} ${born}`
}

function closeAll (connections: readonly TargetConnection[]): void {
  for (const connection of [...connections]) {
    connection.close('idle for too long')
  }
}
