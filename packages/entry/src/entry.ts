/** An entry process. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { addHealthRoutes, GenerationRunner, Daemon, PermitClient, ServiceRunner, sleep, startHealthServer, startHttpServer, TargetDirectory } from '@arbutusloft/daemon'
import type { HttpServer, Logger, Readiness, RunningRole, StreamFollower } from '@arbutusloft/daemon'
import type { Settings } from '@arbutusloft/configuration'
import { createHttpEngine, createHttpPlainService, MemberKind, MemberState } from '@arbutusloft/platform'
import { createIdentifier, messageOf, StreamName } from '@arbutusloft/protocol'
import { JobsFold, LedgerFold } from '@arbutusloft/state'
import type { Polka } from 'polka'
import { BatchesHandler } from './batches/batches-handler.js'
import { EntryMetrics } from './entry-metrics.js'
import { FilesHandler } from './files/files-handler.js'
import { ApiError, ApiErrorType, notFound, RunState, sendError } from './http/api-error.js'
import { GuardedLedger } from './ledger/guarded-ledger.js'
import { ClientLimits } from './limits/client-limits.js'
import { OnlineGeneration } from './online/online-generation.js'
import { ListsHandler } from './operators/lists-handler.js'
import { OverviewHandler } from './operators/overview-handler.js'
import { authenticateClient, authenticateOperator } from './pipeline/authenticate.js'
import { callerRoutes } from './pipeline/caller-routes.js'
import type { Exchange } from './pipeline/exchange.js'
import { operatorRoutes } from './pipeline/operator-routes.js'
import { ServicesHandler } from './services/services-handler.js'
import { SingleCalls } from './services/single-calls.js'

const generationAttempts = 3
const serviceAttempts = 3
const millisecondsPerSecond = 1_000
const leavingPollMilliseconds = 50

/** A running entry. */
export interface Entry extends RunningRole {
  /** Address of callers. */
  readonly callerAddress: string
  /** Address of operators, or null if there is none. */
  readonly operatorAddress: string | null
  /** Resolves when the entry knows enough to serve. */
  ready: () => Promise<void>
}

/** Starts an entry. */
export async function startEntry (settings: Settings, logger: Logger): Promise<Entry> {
  const { caller } = settings.listen
  if (caller === null) {
    throw new Error('an entry needs the setting "caller" in [listen]')
  }
  const entry = new EntryProcess(settings, logger)
  await entry.start(caller)
  return entry
}

class EntryProcess implements Entry {
  readonly #daemon: Daemon
  readonly #engine
  readonly #service
  readonly #permits: PermitClient
  readonly #limits: ClientLimits
  readonly #metrics: EntryMetrics
  readonly #callerRoutes
  readonly #operatorRoutes
  readonly #followers: Partial<Record<StreamName, StreamFollower>>
  #caller: HttpServer | null = null
  #operator: HttpServer | null = null
  #health: HttpServer | null = null
  #leaving = false

  constructor (settings: Settings, logger: Logger) {
    const daemon = new Daemon({ settings, role: MemberKind.Entry, logger })
    this.#daemon = daemon
    this.#metrics = new EntryMetrics(daemon.registry)
    const { silenceMilliseconds } = settings.limits
    this.#engine = createHttpEngine({ silenceMilliseconds })
    this.#service = createHttpPlainService({ silenceMilliseconds })
    const links = daemon.linkToSchedulers()
    this.#permits = new PermitClient({ identity: daemon.identity, membership: daemon.membership, links })
    const directory = new TargetDirectory({ membership: daemon.membership, configuration: () => daemon.configuration })
    this.#permits.onLoads(loads => { directory.onLoads(loads) })
    this.#limits = new ClientLimits({ membership: daemon.membership, links })
    const jobs = new JobsFold()
    const jobsFollower = daemon.follow(StreamName.Jobs, jobs)
    const jobsWriter = daemon.write(StreamName.Jobs)
    const ledger = new LedgerFold()
    const ledgerFollower = daemon.follow(StreamName.Ledger, ledger)
    const ledgerWriter = daemon.write(StreamName.Ledger)
    this.#followers = { [StreamName.Jobs]: jobsFollower, [StreamName.Ledger]: ledgerFollower }
    const zone = settings.instance.zone
    const guardedLedger = new GuardedLedger({ links, writer: ledgerWriter })
    const shared = { settings, limits: this.#limits, ledger: guardedLedger, membership: daemon.membership }
    const stored = { settings, fold: jobs, follower: jobsFollower, jobs: jobsWriter, chunks: daemon.chunks }
    this.#callerRoutes = callerRoutes({
      generation: new OnlineGeneration({
        ...shared,
        engine: this.#engine,
        runner: new GenerationRunner({ directory, permits: this.#permits, zone, attempts: generationAttempts })
      }),
      files: new FilesHandler(stored),
      batches: new BatchesHandler(stored),
      services: new ServicesHandler({
        ...shared,
        configuration: () => daemon.configuration,
        runner: new ServiceRunner({ service: this.#service, directory, permits: this.#permits, zone, attempts: serviceAttempts }),
        singleCalls: new SingleCalls({ fold: ledger, follower: ledgerFollower, writer: ledgerWriter, ledger: guardedLedger })
      }),
      addresses: { membership: daemon.membership, addressMilliseconds: settings.limits.addressMilliseconds }
    })
    this.#operatorRoutes = operatorRoutes({
      lists: new ListsHandler({
        fold: daemon.configurationFold,
        follower: daemon.configurationFollower,
        configuration: daemon.write(StreamName.Configuration),
        requestBytes: settings.limits.requestBytes
      }),
      overview: new OverviewHandler({ jobs, ledger, membership: daemon.membership, directory, configuration: () => daemon.configuration })
    })
  }

  get callerAddress (): string {
    return this.#caller?.address ?? ''
  }

  get operatorAddress (): string | null {
    return this.#operator?.address ?? null
  }

  get addresses (): RunningRole['addresses'] {
    return { caller: this.callerAddress, operator: this.operatorAddress, health: this.#health?.address ?? null }
  }

  async start (callerAddress: string): Promise<void> {
    const { operator, health } = this.#daemon.settings.listen
    this.#caller = await this.#serve(callerAddress, application => { this.#addCallerRoutes(application) })
    if (operator !== null) {
      this.#operator = await this.#serve(operator, application => { this.#addOperatorRoutes(application) })
    }
    if (health !== null) {
      this.#health = await startHealthServer(health, { registry: this.#daemon.registry, readiness: () => this.#readiness() })
    }
    await this.#daemon.start()
  }

  async ready (): Promise<void> {
    await this.#daemon.ready()
  }

  /** Serves on until callers have dropped this address, then finishes what is in flight. */
  async close (): Promise<void> {
    this.#leaving = true
    await this.#waitUntilForgotten()
    await Promise.all([this.#caller?.close(), this.#operator?.close()])
    this.#limits.close()
    this.#permits.close()
    await this.#health?.close()
    await this.#daemon.close()
    await this.#engine.close()
    await this.#service.close()
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

  /** Callers keep an address for a time after it was last given out, which other entries may do until they see this one leave. */
  async #waitUntilForgotten (): Promise<void> {
    const { addressMilliseconds, instanceListMilliseconds } = this.#daemon.settings.limits
    const others = this.#daemon.membership.live(MemberKind.Entry).filter(entry => entry.id !== this.#daemon.identity.member)
    if (others.length === 0) {
      return
    }
    const seenBy = Date.now() + addressMilliseconds
    while (this.#daemon.membership.find(this.#daemon.identity.member)?.state === MemberState.Live && Date.now() < seenBy) {
      await sleep(leavingPollMilliseconds)
    }
    await sleep(addressMilliseconds + instanceListMilliseconds)
  }

  #readiness (): Readiness {
    if (this.#leaving) {
      return { ready: false, reason: 'leaving' }
    }
    const ready = this.#daemon.caughtUp
    return { ready, reason: ready ? 'ready' : 'waits for the log or the instance list' }
  }

  #addCallerRoutes (application: Polka): void {
    addHealthRoutes(application, { registry: this.#daemon.registry, readiness: () => this.#readiness() })
    for (const route of this.#callerRoutes) {
      application[route.method](route.pattern, (request, response) => {
        void this.#run(route.pattern, request, request.params as Exchange['parameters'], response, async exchange => {
          this.#requireKnowledge(route.needs)
          await route.handle(authenticateClient(exchange, this.#daemon.configuration))
        })
      })
    }
  }

  #addOperatorRoutes (application: Polka): void {
    for (const route of this.#operatorRoutes) {
      application[route.method](route.pattern, (request, response) => {
        void this.#run(route.pattern, request, request.params as Exchange['parameters'], response, async exchange => {
          const operator = authenticateOperator(request, this.#daemon.settings.operators)
          this.#requireKnowledge()
          await route.handle({ ...exchange, operator })
        })
      })
    }
  }

  /** A process serves only at the newest configuration it can learn. */
  #requireKnowledge (stream: StreamName = StreamName.Configuration): void {
    const { configurationFollower, membership } = this.#daemon
    const needed = this.#followers[stream]
    if (!configurationFollower.caughtUp || !membership.known || needed?.caughtUp === false) {
      throw new ApiError(503, ApiErrorType.Unavailable, 'this entry is starting; use another address', {
        run: RunState.NotRun,
        retryAfterMilliseconds: millisecondsPerSecond
      })
    }
  }

  async #run (
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
    this.#daemon.logger.error('request failed', { error: messageOf(error), stack: error instanceof Error ? error.stack : null })
    sendError(response, new ApiError(500, ApiErrorType.Server, 'internal error', { run: RunState.OutcomeUnknown }))
  }
}

function queryOf (request: IncomingMessage): URLSearchParams {
  const [, query = ''] = (request.url ?? '').split('?', 2)
  return new URLSearchParams(query)
}
