/** HTTP exchanges: a request, its response and what the pipeline adds to them, such as the client. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Client, Plan } from '@arbutusloft/configuration'
import type { Charged } from '@arbutusloft/protocol'

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Path parameters. */
  readonly parameters: Readonly<Record<string, string>>
  /** Query parameters. */
  readonly query: URLSearchParams
  /** Request identifier, sent to the caller as `x-request-id`. */
  readonly id: string
}

/** An exchange of an authenticated client. */
export interface ClientExchange extends Exchange {
  readonly client: Client
  readonly plan: Plan
}

/** Handles an exchange of an authenticated client. */
export type ClientHandler = (exchange: ClientExchange) => Promise<void>

/** Returns the identifier of the exchange's charge: the idempotency key, or the request identifier without one. */
export function chargeIdentifierOf (exchange: Exchange): Pick<Charged, 'charge' | 'keyed'> {
  const key = idempotencyKeyOf(exchange)
  return { charge: key ?? exchange.id, keyed: key !== null }
}

/** Returns the value of the header `Idempotency-Key`, by which resends are deduplicated, or null. */
export function idempotencyKeyOf (exchange: Exchange): string | null {
  const value = exchange.request.headers['idempotency-key']
  return typeof value === 'string' && value !== '' ? value : null
}
