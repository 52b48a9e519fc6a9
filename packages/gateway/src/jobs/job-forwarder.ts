/** Forwards calls about jobs to the process that owns the job's partition. */
import { Status } from '../http/reply.js'
import type { BufferedResponse } from '../util/buffered-call.js'
import { callBuffered, UnansweredCallError } from '../util/buffered-call.js'
import type { Logger } from '../util/logger.js'
import { Pool } from '../util/undici-pool.js'
import type { Membership } from '../peers/membership.js'
import type { JobPartitions } from './job-partitions.js'
import { messageOf } from '@arbutusloft/protocol'

/** A call about a job. */
export interface JobCall {
  readonly job: string
  readonly method: 'GET' | 'POST' | 'DELETE'
  /** Path with query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | null
  /** Time allowed for the call. */
  readonly timeoutMilliseconds: number
}

/** What became of a call that was to be forwarded. */
export type ForwardOutcome =
  /** The owner responded. */
  | { readonly answered: true, readonly response: BufferedResponse }
  /**
   * The owner did not respond, or has not been able to serve calls for a while, so that this process should serve the call.
   *
   * @property mayHaveArrived whether the owner may have received the call, and may still carry it out
   */
  | { readonly answered: false, readonly mayHaveArrived: boolean }

/** Time to establish a connection to another process. */
const connectTimeoutMilliseconds = 150
/** Time after which an idle connection is closed, so that unresponsive connections do not accumulate. */
const keepAliveMilliseconds = 4_000
/** Connections to one process; a read of results occupies one while it waits. */
const maximumConnections = 32

/** Header in which the owner of a partition tells for how many milliseconds it has not been able to read it. */
export const outageHeader = 'x-arbutus-job-outage'
/**
 * Time in milliseconds for which an owner may be unable to read a partition until others serve its calls: they have to load the partition for
 * it, while an owner that has just begun to load it serves sooner.
 */
const maximumOutageMilliseconds = 2_000
const firstFailureStatus = 400

/** Keeps connections to the owners of partitions. */
export class JobForwarder {
  readonly #pools = new Map<string, Pool>()

  /** @param portOf returns the `ip:port` at which a member serves calls of other members */
  constructor (
    private readonly partitions: JobPartitions,
    private readonly membership: Membership,
    private readonly internalAddressOf: (memberAddress: string) => string,
    private readonly logger: Logger
  ) {
    membership.onChange(() => { this.#closeUnusedPools() })
  }

  /** Forwards a call, or returns null if this process owns the job's partition. An owner that does not respond is suspected. */
  async forward (call: JobCall): Promise<ForwardOutcome | null> {
    const number = this.partitions.numberOf(call.job)
    if (this.partitions.isOwn(number)) {
      return null
    }
    const { address } = this.partitions.ownerOf(number)
    const { method, path, headers, body, timeoutMilliseconds } = call
    try {
      const response = await callBuffered(this.#poolOf(address), { method, path, headers, body, timeoutMilliseconds })
      if (response.status >= firstFailureStatus) {
        this.logger.info('job call not served by its owner', { job: call.job, peer: address, method, status: response.status })
      }
      return this.#shouldServe(number, response) ? { answered: false, mayHaveArrived: response.status !== Status.ServiceUnavailable } : { answered: true, response }
    } catch (error) {
      const mayHaveArrived = !(error instanceof UnansweredCallError) || error.sent
      this.logger.info('job call not answered by its owner', { job: call.job, peer: address, method, mayHaveArrived, error: messageOf(error) })
      this.membership.suspect(address)
      return { answered: false, mayHaveArrived }
    }
  }

  async close (): Promise<void> {
    const pools = [...this.#pools.values()]
    // Members may still change; a destroyed pool cannot be closed.
    this.#pools.clear()
    await Promise.all(pools.map(async pool => { await pool.destroy() }))
  }

  /** Whether this process should serve a call that the owner of its partition could not serve: the owner may have lost the store, which this process may reach. */
  #shouldServe (partition: number, { status, headers }: BufferedResponse): boolean {
    if (status === Status.InternalServerError) {
      return true
    }
    // Serving a partition that is loaded here costs little.
    return status === Status.ServiceUnavailable && (Number(headers[outageHeader]) >= maximumOutageMilliseconds || this.partitions.isLoaded(partition))
  }

  #poolOf (address: string): Pool {
    const known = this.#pools.get(address)
    if (known !== undefined) {
      return known
    }
    const pool = new Pool(`http://${this.internalAddressOf(address)}`, {
      connections: maximumConnections,
      pipelining: 1,
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: keepAliveMilliseconds,
      connect: { timeout: connectTimeoutMilliseconds }
    })
    this.#pools.set(address, pool)
    return pool
  }

  /** Closes connections to members that are gone; calls in flight are completed or time out first. */
  #closeUnusedPools (): void {
    const live = new Set(this.membership.live().map(member => member.address))
    for (const [address, pool] of this.#pools) {
      if (!live.has(address)) {
        this.#pools.delete(address)
        void pool.close()
      }
    }
  }
}
