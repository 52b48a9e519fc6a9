/** JSON responses that the gateway itself generates; responses of targets are relayed instead. */
import type { ServerResponse } from 'node:http'

/** Status codes of responses that the gateway itself generates. */
export const Status = {
  Ok: 200,
  Accepted: 202,
  BadRequest: 400,
  Unauthorized: 401,
  NotFound: 404,
  RequestTimeout: 408,
  Conflict: 409,
  ContentTooLarge: 413,
  TooManyRequests: 429,
  InternalServerError: 500,
  BadGateway: 502,
  ServiceUnavailable: 503,
  GatewayTimeout: 504
} as const
export type Status = typeof Status[keyof typeof Status]

const millisecondsPerSecond = 1_000

/** Sends a response of the gateway itself, with a JSON body; does nothing if headers were already sent or the connection is closed. */
export function reply (response: ServerResponse, status: Status, body: unknown = {}, headers: Readonly<Record<string, string>> = {}): void {
  if (response.headersSent || response.destroyed) {
    return
  }
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': bytes.length })
  response.end(bytes)
}

/** Rejects a request that has not run and never will. `retryAfter` is in milliseconds; `Retry-After` is sent in seconds with three decimals. */
export function rejectRequest (response: ServerResponse, status: Status, message: string, retryAfter: number): void {
  reply(response, status, { error: message }, retryAfterHeader(retryAfter))
}

/** Returns the header that tells a client when to come again, for a time in milliseconds. */
export function retryAfterHeader (milliseconds: number): Readonly<Record<string, string>> {
  return { 'retry-after': (milliseconds / millisecondsPerSecond).toFixed(3) }
}
