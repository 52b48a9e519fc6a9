/** HTTP servers that finish the requests in flight before they stop. */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Middleware, Polka } from 'polka'
import { parseAddress } from '../util/parse-address.js'

/** Options of {@link startHttpServer}. */
export interface HttpServerOptions {
  /** Address as `ip:port`; port 0 chooses a free port. */
  readonly address: string
  /** Adds the routes. */
  readonly routes: (application: Polka) => void
  /** Answers a request whose handler threw an error. */
  readonly onError: (error: unknown, response: ServerResponse) => void
  /** Answers a request that matches no route. */
  readonly onNoMatch: (response: ServerResponse) => void
  /** Maximum number of open connections; 4,000 by default. */
  readonly connections?: number
}

/** A listening server. */
export interface HttpServer {
  /** Address as `ip:port`, with the port in use. */
  readonly address: string
  /** Number of requests in flight. */
  readonly inFlight: number
  /** Stops listening, closes idle connections, and resolves when no request is in flight any more. */
  close: () => Promise<void>
}

const defaultMaximumConnections = 4_000
const headersTimeoutMilliseconds = 10_000
const maximumHeaderBytes = 16_384

/** Starts a server; rejects if it cannot listen on the address. */
export async function startHttpServer (options: HttpServerOptions): Promise<HttpServer> {
  const server = createServer({ maxHeaderSize: maximumHeaderBytes })
  server.headersTimeout = headersTimeoutMilliseconds
  server.maxConnections = options.connections ?? defaultMaximumConnections
  const state: ServerState = { inFlight: 0, closing: false }
  const application = polka({
    server,
    onError: (error, _request, response) => { options.onError(error, response) },
    onNoMatch: (_request, response) => { options.onNoMatch(response) }
  })
  application.use(countRequests(state))
  options.routes(application)
  await listen(server, application, options.address)
  return new ListeningServer(server, options.address, state)
}

interface ServerState {
  inFlight: number
  closing: boolean
}

function countRequests (state: ServerState): Middleware {
  return (_request, response, next) => {
    state.inFlight += 1
    // After the server stopped listening, a keep-alive connection with further requests would delay its close.
    if (state.closing) {
      response.setHeader('connection', 'close')
    }
    response.once('close', () => { state.inFlight -= 1 })
    void next()
  }
}

async function listen (server: Server, application: Polka, address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  // Polka attaches its handler in listen(), which has no error callback, so the error event of the server is used.
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    application.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

class ListeningServer implements HttpServer {
  readonly address: string

  constructor (private readonly server: Server, address: string, private readonly state: ServerState) {
    const { port } = server.address() as AddressInfo
    this.address = `${address.slice(0, address.lastIndexOf(':'))}:${port}`
  }

  get inFlight (): number {
    return this.state.inFlight
  }

  async close (): Promise<void> {
    this.state.closing = true
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }
}
