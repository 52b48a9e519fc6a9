/** JSON responses. */
import type { ServerResponse } from 'node:http'

const statusOk = 200

/** Sends a value as a JSON response. */
export function sendJson (response: ServerResponse, value: unknown, status = statusOk): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
