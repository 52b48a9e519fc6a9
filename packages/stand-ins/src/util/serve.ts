/** HTTP server and request helpers of the stand-ins. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Polka } from 'polka'
import type { StandIn } from './stand-in.js'

const loopback = '127.0.0.1'

/** Starts an HTTP server on a loopback port; port 0 binds a free one. */
export async function serve (port: number, addRoutes: (application: Polka) => void): Promise<StandIn> {
  const server = createServer()
  const application = polka({ server })
  addRoutes(application)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    application.listen(port, loopback, () => { resolve() })
  })
  const { port: boundPort } = server.address() as AddressInfo
  return {
    address: `${loopback}:${boundPort}`,
    close: async () => {
      await new Promise<void>(resolve => {
        server.close(() => { resolve() })
        server.closeAllConnections()
      })
    }
  }
}

/** Sends a JSON response. */
export function sendJson (response: ServerResponse, value: unknown, status = 200): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Reads the whole body of a request. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  for await (const part of request) {
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts)
}

/** Reads the JSON body of a request; an empty body is an empty object. */
export async function readJson (request: IncomingMessage): Promise<Record<string, unknown>> {
  const body = await readBody(request)
  return body.byteLength === 0 ? {} : JSON.parse(body.toString('utf8')) as Record<string, unknown>
}

/** Returns the query parameters of a request. */
export function parseQuery (request: IncomingMessage): URLSearchParams {
  const [, query = ''] = (request.url ?? '').split('?', 2)
  return new URLSearchParams(query)
}
