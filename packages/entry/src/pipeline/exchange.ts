/** A request on its way through the pipeline. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Client, Plan } from '@arbutusloft/configuration'
import type { Charged } from '@arbutusloft/protocol'

/** One request and its answer. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Path parameters. */
  readonly parameters: Readonly<Record<string, string>>
  /** Query parameters. */
  readonly query: URLSearchParams
  /** Identifier told to the caller and used in logs. */
  readonly id: string
}

/** An exchange whose client is known. */
export interface ClientExchange extends Exchange {
  readonly client: Client
  readonly plan: Plan
}

/** Handles an exchange of a known client. */
export type ClientHandler = (exchange: ClientExchange) => Promise<void>

/** Name under which an exchange is charged: its idempotency key, or else its own identifier. */
export function chargeNameOf (exchange: Exchange): Pick<Charged, 'charge' | 'keyed'> {
  const key = idempotencyKeyOf(exchange)
  return { charge: key ?? exchange.id, keyed: key !== null }
}

/** Value of the header that marks resends, or null. */
export function idempotencyKeyOf (exchange: Exchange): string | null {
  const value = exchange.request.headers['idempotency-key']
  return typeof value === 'string' && value !== '' ? value : null
}
