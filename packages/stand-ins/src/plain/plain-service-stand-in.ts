/** Stand-in for a plain service, an HTTP service that is not a model engine. It counts its executions by idempotency key. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody, readJson, sendJson, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'

/** Behaviour of the service towards requests. */
export const ServiceMode = {
  /** Executes the request and responds. */
  Normal: 'normal',
  /** Executes the request, then closes the connection without a response. */
  CutAfterRun: 'cut-after-run',
  /** Executes the request and never responds. */
  Hang: 'hang',
  /** Responds with status 500 without executing. */
  Fail: 'fail'
} as const

export type ServiceMode = typeof ServiceMode[keyof typeof ServiceMode]

/** Options of {@link startPlainServiceStandIn}. */
export interface PlainServiceStandInOptions {
  readonly port?: number
  /** Duration of an execution, in milliseconds. */
  readonly milliseconds?: number
}

/** A running plain service stand-in. */
export interface PlainServiceStandIn extends StandIn {
  setMode: (mode: ServiceMode) => void
  /** Number of executions by idempotency key. */
  readonly executions: ReadonlyMap<string, number>
}

/** Starts a plain service stand-in. */
export async function startPlainServiceStandIn (options: PlainServiceStandInOptions = {}): Promise<PlainServiceStandIn> {
  const service = new PlainServiceServer(options.milliseconds ?? 5)
  await service.start(options.port ?? 0)
  return service
}

class PlainServiceServer implements PlainServiceStandIn {
  readonly executions = new Map<string, number>()
  #mode: ServiceMode = ServiceMode.Normal
  #standIn: StandIn | null = null

  constructor (private readonly executionMilliseconds: number) {}

  get address (): string {
    return this.#standIn?.address ?? ''
  }

  async start (port: number): Promise<void> {
    this.#standIn = await serve(port, application => {
      application.get('/control', (_request, response) => {
        sendJson(response, { mode: this.#mode, executions: Object.fromEntries(this.executions) })
      })
      application.put('/control', async (request, response) => {
        const { mode } = await readJson(request)
        this.setMode(mode as ServiceMode)
        sendJson(response, { mode })
      })
      application.all('/*', (request, response) => { void this.#execute(request, response) })
    })
  }

  setMode (mode: ServiceMode): void {
    this.#mode = mode
  }

  async close (): Promise<void> {
    await this.#standIn?.close()
  }

  async #execute (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    const mode = this.#mode
    response.setHeader('x-dispatch-id', String(request.headers['x-dispatch-id'] ?? ''))
    if (mode === ServiceMode.Fail) {
      sendJson(response, { error: 'failed' }, 500)
      return
    }
    const key = String(request.headers['idempotency-key'] ?? '')
    const count = (this.executions.get(key) ?? 0) + 1
    this.executions.set(key, count)
    await new Promise(resolve => { setTimeout(resolve, this.executionMilliseconds) })
    if (mode === ServiceMode.CutAfterRun) {
      response.destroy()
    } else if (mode === ServiceMode.Normal) {
      sendJson(response, { path: request.url, execution: count, received: body.toString('utf8') })
    }
  }
}
