/** TCP proxy that injects faults between two processes. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { StandIn } from '../util/stand-in.js'

/** Options of {@link startFaultProxy}. */
export interface FaultProxyOptions {
  readonly port?: number
  /** Address that the proxy listens at; 127.0.0.1 by default. */
  readonly host?: string
  /** Address that connections are forwarded to, as `ip:port`. */
  readonly target: string
}

/** A running fault proxy. It passes on data, orderly ends and resets in their order. */
export interface FaultProxy extends StandIn {
  /** Closes both sides of every open connection. */
  cut: () => void
  /** Resets both sides of the open connections from a caller's IP address. */
  reset: (caller: string) => void
  /** Stops forwarding over the open connections, or those from a caller's IP address, without closing them; new connections work. */
  blackhole: (caller?: string) => void
  /**
   * Ends the stream from the proxy to the target on every open connection, as if the caller had finished sending. Data
   * from the target is still forwarded to the caller.
   */
  halfClose: () => void
  /** Sets the delay of forwarded data in each direction, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /**
   * Resets a connection when the caller sends data after the connection was idle for longer than this many
   * milliseconds, as a middlebox that forgot the connection would; null turns this off.
   */
  setIdleTimeout: (milliseconds: number | null) => void
  /** Sets whether new connections are closed as soon as they are accepted. */
  setRefusing: (refusing: boolean) => void
  /** Number of open connections. */
  readonly openConnections: number
  /** Number of delayed events (data, end, close) that are not forwarded yet. */
  readonly delayed: number
}

const loopback = '127.0.0.1'

/** Starts a fault proxy. */
export async function startFaultProxy (options: FaultProxyOptions): Promise<FaultProxy> {
  const proxy = new FaultProxyServer(options.target, options.host ?? loopback)
  await proxy.start(options.port ?? 0)
  return proxy
}

/** A connection from a caller and the connection to the target that it is forwarded to. */
interface ProxiedConnection {
  readonly caller: Socket
  readonly target: Socket
  /** Whether nothing is forwarded any more. */
  isBlackholed: boolean
  /** Whether either side has reset it. However it is closed then, it does not end in order. */
  isReset: boolean
  /** Time at which either side last sent data, in milliseconds since the epoch. */
  lastActiveAt: number
}

class FaultProxyServer implements FaultProxy {
  readonly #connections = new Set<ProxiedConnection>()
  readonly #server: Server
  #delayMilliseconds = 0
  #delayed = 0
  #idleTimeoutMilliseconds: number | null = null
  #isRefusing = false
  address = ''

  constructor (private readonly target: string, private readonly host: string) {
    this.#server = createServer({ allowHalfOpen: true }, socket => { this.#accept(socket) })
  }

  get openConnections (): number {
    return this.#connections.size
  }

  get delayed (): number {
    return this.#delayed
  }

  async start (port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, this.host, resolve)
    })
    this.address = `${this.host}:${(this.#server.address() as AddressInfo).port}`
  }

  cut (): void {
    for (const connection of [...this.#connections]) {
      this.#closeConnection(connection)
    }
  }

  reset (caller: string): void {
    for (const connection of [...this.#connections].filter(isFrom(caller))) {
      connection.isReset = true
      this.#closeConnection(connection)
    }
  }

  blackhole (caller?: string): void {
    for (const connection of [...this.#connections].filter(isFrom(caller))) {
      connection.isBlackholed = true
    }
  }

  halfClose (): void {
    for (const connection of this.#connections) {
      connection.target.end()
    }
  }

  setDelay (milliseconds: number): void {
    this.#delayMilliseconds = milliseconds
  }

  setIdleTimeout (milliseconds: number | null): void {
    this.#idleTimeoutMilliseconds = milliseconds
  }

  setRefusing (refusing: boolean): void {
    this.#isRefusing = refusing
  }

  async close (): Promise<void> {
    this.cut()
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
  }

  #accept (caller: Socket): void {
    if (this.#isRefusing) {
      caller.destroy()
      return
    }
    const colon = this.target.lastIndexOf(':')
    const target = connect({
      host: this.target.slice(0, colon),
      port: Number(this.target.slice(colon + 1)),
      allowHalfOpen: true
    })
    const connection: ProxiedConnection = { caller, target, isBlackholed: false, isReset: false, lastActiveAt: Date.now() }
    this.#connections.add(connection)
    this.#forward(connection, caller, target)
    this.#forward(connection, target, caller)
  }

  #forward (connection: ProxiedConnection, from: Socket, to: Socket): void {
    from.setNoDelay(true)
    const delay = this.#createDelayQueue()
    from.on('data', data => {
      const idleMilliseconds = Date.now() - connection.lastActiveAt
      connection.lastActiveAt = Date.now()
      if (from === connection.caller && idleMilliseconds > (this.#idleTimeoutMilliseconds ?? Infinity)) {
        this.#connections.delete(connection)
        connection.target.destroy()
        connection.caller.resetAndDestroy()
        return
      }
      delay(() => {
        if (!connection.isBlackholed && !to.destroyed) {
          to.write(data)
        }
      })
    })
    from.on('end', () => {
      delay(() => {
        if (!connection.isBlackholed) {
          to.end()
        }
      })
    })
    from.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') {
        // The event `close` follows; it is delayed like the data before it.
        connection.isReset = true
      } else {
        this.#closeUnlessBlackholed(connection)
      }
    })
    from.on('close', () => { delay(() => { this.#closeUnlessBlackholed(connection) }) })
  }

  /** Creates a queue that delays the actions of one direction; they keep their order when the delay changes. */
  #createDelayQueue (): (action: () => void) => void {
    const queue: Array<() => void> = []
    let latestDueAt = 0
    return action => {
      if (this.#delayMilliseconds === 0 && queue.length === 0) {
        action()
        return
      }
      const now = Date.now()
      latestDueAt = Math.max(latestDueAt, now + this.#delayMilliseconds)
      queue.push(action)
      this.#delayed += 1
      // Timers of different durations that expire at the same time run in no fixed order, so each runs the oldest action.
      setTimeout(() => {
        this.#delayed -= 1
        queue.shift()?.()
      }, latestDueAt - now)
    }
  }

  #closeUnlessBlackholed (connection: ProxiedConnection): void {
    // Behind a blackhole, neither side learns that the other one closed its connection.
    if (!connection.isBlackholed) {
      this.#closeConnection(connection)
    }
  }

  #closeConnection (connection: ProxiedConnection): void {
    this.#connections.delete(connection)
    for (const socket of [connection.caller, connection.target]) {
      if (connection.isReset) {
        socket.resetAndDestroy()
      } else {
        socket.destroy()
      }
    }
  }
}

/** Returns a filter for the connections from an IP address, or for all connections. */
function isFrom (caller: string | undefined): (connection: ProxiedConnection) => boolean {
  return connection => caller === undefined || connection.caller.remoteAddress === caller
}
