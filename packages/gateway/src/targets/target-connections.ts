/** Connections to targets, which are used again for later requests. */
import { Alarm } from '../util/alarm.js'
import { TargetBytes } from './target-bytes.js'
import { TargetConnection } from './target-connection.js'
import { TargetDialer } from './target-dialer.js'
import type { TargetEndpoint } from './target-registry.js'
import { ConnectionFailure } from './transport.js'

/**
 * Time for which an idle connection is used again. Some targets drop connections that were idle for 300 ms and reset
 * requests that arrive on them; such a request may have run, for all that the sender can tell.
 */
const keepAliveMilliseconds = 200

/** Bodies up to this length, in bytes, are sent at once. */
const smallBodyBytes = 65_536
const endNothing = (): void => {}

/** The connections to one target. */
interface TargetPool {
  /** Connections without a request, the one that was used last at the end. */
  readonly idle: TargetConnection[]
  readonly all: Set<TargetConnection>
  readonly bytes: TargetBytes
}

/** Keeps connections by target, so that one that starts at the address or under the id of a former one gets its own connections. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPool>()
  readonly #alarm = new Alarm(now => this.#closeExpired(now))

  /** Bytes of long request bodies that may be in flight to one target at once. */
  maximumTargetBytes = Infinity

  constructor (readonly dialer = new TargetDialer()) {}

  /**
   * Returns an idle or new connection for a request to the target; the one that was used last, since it is the least likely to be closed.
   * A connection that has carried a request with the same id is not used: a late copy of its response would count as the response.
   *
   * @param endsAt time by which the request ends in any case, in milliseconds since the epoch; Infinity if there is none
   */
  acquire (target: TargetEndpoint, id: string, endsAt: number): TargetConnection {
    const pool = this.#poolOf(target)
    const index = pool.idle.findLastIndex(connection => !connection.hasCarried(id) && this.#isUsable(connection, target))
    const newest = pool.idle[index]
    if (newest !== undefined && Date.now() - newest.idleSince < keepAliveMilliseconds) {
      pool.idle.splice(index, 1)
      return newest
    }
    const connection: TargetConnection = new TargetConnection(
      listener => this.dialer.dial(target, endsAt, listener),
      () => { this.#onIdle(pool, connection) },
      failure => { this.#onClosed(keyOf(target), pool, connection, failure) }
    )
    pool.all.add(connection)
    return connection
  }

  /** Calls `send` when a body may be sent to the target; see {@link TargetBytes.send}. */
  sendWithin (target: TargetEndpoint, bytes: number, send: () => void): () => void {
    if (bytes <= smallBodyBytes) {
      send()
      return endNothing
    }
    const pool = this.#poolOf(target)
    const end = pool.bytes.send(bytes, this.maximumTargetBytes, send)
    return () => {
      end()
      this.#forgetUnused(keyOf(target), pool)
    }
  }

  close (): void {
    this.#alarm.close()
    for (const { all } of this.#pools.values()) {
      closeAll([...all])
    }
  }

  /** A direct connection may live on while new ones can't be made. */
  #isUsable ({ via }: TargetConnection, target: TargetEndpoint): boolean {
    return via === null || this.dialer.isUsable(target, via)
  }

  #poolOf (target: TargetEndpoint): TargetPool {
    const key = keyOf(target)
    const known = this.#pools.get(key)
    if (known !== undefined) {
      return known
    }
    const pool = { idle: [], all: new Set<TargetConnection>(), bytes: new TargetBytes() }
    this.#pools.set(key, pool)
    return pool
  }

  #onIdle (pool: TargetPool, connection: TargetConnection): void {
    pool.idle.push(connection)
    this.#alarm.setBy(connection.idleSince + keepAliveMilliseconds)
  }

  #onClosed (key: string, pool: TargetPool, connection: TargetConnection, failure: ConnectionFailure): void {
    if (failure === ConnectionFailure.RelayLost && connection.via !== null) {
      this.dialer.onRelayLost(connection.via)
    }
    pool.all.delete(connection)
    this.#forgetUnused(key, pool)
    const index = pool.idle.indexOf(connection)
    if (index >= 0) {
      pool.idle.splice(index, 1)
    }
  }

  #forgetUnused (key: string, pool: TargetPool): void {
    if (pool.all.size === 0 && pool.bytes.isIdle && this.#pools.get(key) === pool) {
      this.#pools.delete(key)
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
