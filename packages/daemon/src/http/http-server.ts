/** HTTP servers that stop without cutting off requests. */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Middleware, Polka } from 'polka'
import { parseAddress } from '../util/parse-address.js'

/** Options of {@link startHttpServer}. */
export interface HttpServerOptions {
  /** Address as `ip:port`; port 0 takes a free one. */
  readonly address: string
  /** Adds the routes. */
  readonly routes: (application: Polka) => void
  /** Answers a request that failed with an uncaught error. */
  readonly onError: (error: unknown, response: ServerResponse) => void
  /** Answers a request that no route takes. */
  readonly onNoMatch: (response: ServerResponse) => void
  readonly connections?: number
}

/** A listening server. */
export interface HttpServer {
  /** Address as `ip:port`, with the port that was taken. */
  readonly address: string
  /** Number of requests that are not answered yet. */
  readonly inFlight: number
  /** Stops listening, closes idle connections, and resolves when the last request is answered. */
  close: () => Promise<void>
}

const defaultConnections = 4_000
const headersTimeoutMilliseconds = 10_000
const greatestHeaderBytes = 16_384

/** Starts a server. */
export async function startHttpServer (options: HttpServerOptions): Promise<HttpServer> {
  const server = createServer({ maxHeaderSize: greatestHeaderBytes })
  server.headersTimeout = headersTimeoutMilliseconds
  server.maxConnections = options.connections ?? defaultConnections
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
    // A keep-alive connection that carries on after the server stopped listening would hold it up.
    if (state.closing) {
      response.setHeader('connection', 'close')
    }
    response.once('close', () => { state.inFlight -= 1 })
    void next()
  }
}

async function listen (server: Server, application: Polka, address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  // Polka attaches its handler in listen(), which offers no error callback; the event does.
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
