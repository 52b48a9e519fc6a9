/** Messages that divide the limits of a client's plan among the entries. */
import type { MessageType } from './message-type.js'

/** Demand of one client at one entry since the last report, by which the client's limits are divided. */
export interface ClientDemand {
  readonly client: string
  /** Requests per second that arrived, admitted or rejected. */
  readonly requests: number
  /** Tokens per second that arriving requests asked for. */
  readonly tokens: number
  /** Greatest number of requests in flight at once since the last report, counting those that were rejected on arrival. */
  readonly concurrency: number
}

/** Reports an entry's demand to a scheduler, for the clients that the scheduler owns. */
export interface LimitDemand {
  readonly type: typeof MessageType.LimitDemand
  readonly clients: readonly ClientDemand[]
}

/** The share of one client's limits that one entry may use. */
export interface ClientShare {
  readonly client: string
  /** Share of the client's request rate, from 0 to 1. */
  readonly requests: number
  /** Share of the client's token rate, from 0 to 1. */
  readonly tokens: number
  /** Share of the client's concurrency, from 0 to 1. */
  readonly concurrency: number
}

/** Assigns an entry its shares of the limits of the clients that the sending scheduler owns. */
export interface LimitShare {
  readonly type: typeof MessageType.LimitShare
  readonly shares: readonly ClientShare[]
}
