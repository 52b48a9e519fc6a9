/** HTTP routes for the health, readiness and metrics of a process. */
import type { ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import type { Polka } from 'polka'
import { startHttpServer } from './http/http-server.js'
import type { HttpServer } from './http/http-server.js'

/** Whether a process accepts work. */
export interface Readiness {
  readonly ready: boolean
  /** Text that `/readyz` returns: that the process is ready, or why it is not. */
  readonly reason: string
}

/** Source of the data that the health routes return. */
export interface HealthSource {
  readonly registry: Registry
  /** Returns the present readiness. */
  readiness: () => Readiness
}

const statusOk = 200
const statusNotFound = 404
const statusFailed = 500
const statusUnavailable = 503

/** Adds the routes `/healthz`, `/readyz` and `/metrics`. */
export function addHealthRoutes (application: Polka, source: HealthSource): void {
  application.get('/healthz', (_request, response) => { sendText(response, statusOk, 'alive') })
  application.get('/readyz', (_request, response) => {
    const readiness = source.readiness()
    sendText(response, readiness.ready ? statusOk : statusUnavailable, readiness.reason)
  })
  application.get('/metrics', async (_request, response) => {
    response.setHeader('content-type', source.registry.contentType)
    response.end(await source.registry.metrics())
  })
}

/** Starts a server with only the health routes. */
export async function startHealthServer (address: string, source: HealthSource): Promise<HttpServer> {
  return await startHttpServer({
    address,
    routes: application => { addHealthRoutes(application, source) },
    onError: (_error, response) => { sendText(response, statusFailed, 'failed') },
    onNoMatch: response => { sendText(response, statusNotFound, 'no such page') }
  })
}

function sendText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' })
  response.end(text + '\n')
}
