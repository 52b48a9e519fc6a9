/** Messages by which a client's allowance is split among entries. */
import type { MessageType } from './message-type.js'

/** Recent demand of one client at one entry. */
export interface ClientDemand {
  readonly client: string
  /** Requests a second asked for, whether admitted or not. */
  readonly requests: number
  /** Tokens a second asked for. */
  readonly tokens: number
  /** Requests now in flight or wanting to be. */
  readonly concurrency: number
}

/** An entry tells a scheduler the demand of the clients that the scheduler owns. */
export interface LimitDemand {
  readonly type: typeof MessageType.LimitDemand
  readonly clients: readonly ClientDemand[]
}

/** An entry's part of one client's allowance. */
export interface ClientShare {
  readonly client: string
  /** Part of the client's request rate, from 0 to 1. */
  readonly requests: number
  /** Part of the client's token rate, from 0 to 1. */
  readonly tokens: number
  /** Part of the client's concurrency, from 0 to 1. */
  readonly concurrency: number
}

/** A scheduler tells an entry its parts. */
export interface LimitShare {
  readonly type: typeof MessageType.LimitShare
  readonly shares: readonly ClientShare[]
}
