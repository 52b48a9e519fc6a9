/** The entry process: serves the HTTP API of callers and operators. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { addHealthRoutes, Daemon, sleep, startHealthServer, startHttpServer } from '@arbutusloft/daemon'
import type { HttpServer, Logger, Readiness, RunningRole } from '@arbutusloft/daemon'
import type { Settings } from '@arbutusloft/configuration'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { createIdentifier, messageOf, StreamName } from '@arbutusloft/protocol'
import type { Polka } from 'polka'
import { EntryMetrics } from './entry-metrics.js'
import { EntryComponents } from './entry-components.js'
import { ApiError, ApiErrorType, notFound, ExecutionOutcome, sendError } from './http/api-error.js'
import { authenticateClient, authenticateOperator } from './pipeline/authenticate.js'
import { callerRoutes } from './pipeline/caller-routes.js'
import type { CallerRoute } from './pipeline/caller-routes.js'
import type { Exchange } from './pipeline/exchange.js'
import { operatorRoutes } from './pipeline/operator-routes.js'
import type { OperatorRoute } from './pipeline/operator-routes.js'

const millisecondsPerSecond = 1_000
const drainPollIntervalMilliseconds = 50

/** A running entry. */
export interface Entry extends RunningRole {
  /** Address of the callers' API. */
  readonly callerAddress: string
  /** Address of the operators' API, or null if none is configured. */
  readonly operatorAddress: string | null
  /** Resolves when the entry has caught up with all of its streams in the log; the instance list is not waited for. */
  ready: () => Promise<void>
}

/** Starts an entry; throws if the settings have no address for callers. */
export async function startEntry (settings: Settings, logger: Logger): Promise<Entry> {
  const { caller } = settings.listen
  if (caller === null) {
    throw new Error('the setting "caller" in [listen] is missing; an entry requires it')
  }
  const entry = new EntryProcess(settings, logger)
  await entry.start(caller)
  return entry
}

/** Runs the HTTP servers of an entry and passes requests through authentication to the handlers. */
class EntryProcess implements Entry {
  readonly #daemon: Daemon
  readonly #components: EntryComponents
  readonly #metrics: EntryMetrics
  readonly #callerRoutes: readonly CallerRoute[]
  readonly #operatorRoutes: readonly OperatorRoute[]
  #callerServer: HttpServer | null = null
  #operatorServer: HttpServer | null = null
  #healthServer: HttpServer | null = null
  #draining = false

  constructor (settings: Settings, logger: Logger) {
    const daemon = new Daemon({ settings, role: MemberKind.Entry, logger })
    this.#daemon = daemon
    this.#metrics = new EntryMetrics(daemon.registry)
    this.#components = new EntryComponents(daemon)
    this.#callerRoutes = callerRoutes(this.#components.callerHandlers())
    this.#operatorRoutes = operatorRoutes(this.#components.operatorHandlers())
  }

  get callerAddress (): string {
    return this.#callerServer?.address ?? ''
  }

  get operatorAddress (): string | null {
    return this.#operatorServer?.address ?? null
  }

  get addresses (): RunningRole['addresses'] {
    return { caller: this.callerAddress, operator: this.operatorAddress, health: this.#healthServer?.address ?? null }
  }

  async start (callerAddress: string): Promise<void> {
    const { operator, health } = this.#daemon.settings.listen
    this.#callerServer = await this.#serve(callerAddress, application => { this.#addCallerRoutes(application) })
    if (operator !== null) {
      this.#operatorServer = await this.#serve(operator, application => { this.#addOperatorRoutes(application) })
    }
    if (health !== null) {
      this.#healthServer = await startHealthServer(health, { registry: this.#daemon.registry, readiness: () => this.#readiness() })
    }
    await this.#daemon.start()
  }

  async ready (): Promise<void> {
    await this.#daemon.ready()
  }

  /** Drains: keeps serving until callers have dropped this address, then finishes the requests in flight. */
  async close (): Promise<void> {
    this.#draining = true
    await this.#waitUntilAddressExpires()
    await Promise.all([this.#callerServer?.close(), this.#operatorServer?.close()])
    this.#components.closePermitsAndLimits()
    await this.#healthServer?.close()
    await this.#daemon.close()
    await this.#components.closeTargetConnections()
  }

  async #serve (address: string, routes: (application: Polka) => void): Promise<HttpServer> {
    return await startHttpServer({
      address,
      routes,
      connections: this.#daemon.settings.limits.connections,
      onError: (error, response) => { this.#onError(error, response) },
      onNoMatch: response => { sendError(response, notFound('there is no such path; see the caller guide')) }
    })
  }

  /**
   * Waits until no caller uses this address any more, in two steps: until the instance list shows this entry as draining
   * (at most `addressMilliseconds`), and then until the other entries have read the list (`instanceListMilliseconds`) and
   * the callers' cached addresses have expired (`addressMilliseconds`).
   */
  async #waitUntilAddressExpires (): Promise<void> {
    const { addressMilliseconds, instanceListMilliseconds } = this.#daemon.settings.limits
    const others = this.#daemon.membership.live(MemberKind.Entry).filter(entry => entry.id !== this.#daemon.identity.member)
    if (others.length === 0) {
      return
    }
    const deadline = Date.now() + addressMilliseconds
    while (this.#daemon.membership.find(this.#daemon.identity.member)?.state === MemberState.Live && Date.now() < deadline) {
      await sleep(drainPollIntervalMilliseconds)
    }
    await sleep(addressMilliseconds + instanceListMilliseconds)
  }

  #readiness (): Readiness {
    if (this.#draining) {
      return { ready: false, reason: 'leaving' }
    }
    const ready = this.#daemon.caughtUp
    return { ready, reason: ready ? 'ready' : 'waits for the log or the instance list' }
  }

  #addCallerRoutes (application: Polka): void {
    addHealthRoutes(application, { registry: this.#daemon.registry, readiness: () => this.#readiness() })
    for (const route of this.#callerRoutes) {
      application[route.method](route.pattern, (request, response) => {
        void this.#handleRequest(route.pattern, request, request.params as Exchange['parameters'], response, async exchange => {
          this.#requireCaughtUp(route.requiredStream)
          await route.handle(authenticateClient(exchange, this.#daemon.configuration))
        })
      })
    }
  }

  #addOperatorRoutes (application: Polka): void {
    for (const route of this.#operatorRoutes) {
      application[route.method](route.pattern, (request, response) => {
        void this.#handleRequest(route.pattern, request, request.params as Exchange['parameters'], response, async exchange => {
          const operator = authenticateOperator(request, this.#daemon.settings.operators)
          this.#requireCaughtUp()
          await route.handle({ ...exchange, operator })
        })
      })
    }
  }

  /**
   * Throws a 503 error until the entry has the newest configuration that it can get, the instance list, and the stream
   * that the route needs.
   */
  #requireCaughtUp (stream: StreamName = StreamName.Configuration): void {
    const { configurationFollower, membership } = this.#daemon
    const requiredFollower = this.#components.followerOf(stream)
    if (!configurationFollower.caughtUp || !membership.hasList || requiredFollower?.caughtUp === false) {
      throw new ApiError(503, ApiErrorType.Unavailable, 'this entry is starting; use another address', {
        run: ExecutionOutcome.NotRun,
        retryAfterMilliseconds: millisecondsPerSecond
      })
    }
  }

  async #handleRequest (
    route: string,
    request: IncomingMessage,
    parameters: Exchange['parameters'],
    response: ServerResponse,
    handle: (exchange: Exchange) => Promise<void>
  ): Promise<void> {
    const id = createIdentifier('request')
    const startedAt = Date.now()
    response.setHeader('x-request-id', id)
    response.once('close', () => {
      this.#metrics.onEnd(route, response.statusCode, (Date.now() - startedAt) / millisecondsPerSecond)
    })
    try {
      await handle({
        request,
        response,
        parameters,
        query: queryOf(request),
        id
      })
    } catch (error) {
      this.#onError(error, response)
    }
  }

  #onError (error: unknown, response: ServerResponse): void {
    if (error instanceof ApiError) {
      sendError(response, error)
      return
    }
    this.#daemon.logger.error('handling a request threw an unexpected error', { error: messageOf(error), stack: error instanceof Error ? error.stack : null })
    sendError(response, new ApiError(500, ApiErrorType.Server, 'internal error', { run: ExecutionOutcome.OutcomeUnknown }))
  }
}

function queryOf (request: IncomingMessage): URLSearchParams {
  const [, query = ''] = (request.url ?? '').split('?', 2)
  return new URLSearchParams(query)
}
