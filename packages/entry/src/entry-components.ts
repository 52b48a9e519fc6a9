/** Creates the components of an entry and the handlers of its routes. */
import type { Configuration } from '@arbutusloft/configuration'
import { GenerationRunner, PermitClient, ServiceRunner, TargetDirectory } from '@arbutusloft/daemon'
import type { Daemon, LogWriter, SchedulerLinks, StreamFollower } from '@arbutusloft/daemon'
import { createHttpEngine, createHttpPlainService } from '@arbutusloft/adapters'
import type { Engine, PlainService } from '@arbutusloft/adapters'
import { StreamName } from '@arbutusloft/protocol'
import { JobsFold, LedgerFold } from '@arbutusloft/state'
import { BatchesHandler } from './batches/batches-handler.js'
import { FilesHandler } from './files/files-handler.js'
import { ReplicatedLedgerWriter } from './ledger/replicated-ledger-writer.js'
import { ClientLimits } from './limits/client-limits.js'
import { OnlineGeneration } from './online/online-generation.js'
import { ListsHandler } from './operators/lists-handler.js'
import { OverviewHandler } from './operators/overview-handler.js'
import type { CallerHandlers } from './pipeline/caller-routes.js'
import type { OperatorHandlers } from './pipeline/operator-routes.js'
import { ServicesHandler } from './services/services-handler.js'
import { AtMostOnceCalls } from './services/at-most-once-calls.js'

/** Attempts at targets for a generation. */
const generationAttempts = 3

/** Attempts at targets for a service call. */
const serviceAttempts = 3

/** A log stream that the entry folds and appends to. */
interface LogStream<T> {
  readonly fold: T
  readonly follower: StreamFollower
  readonly writer: LogWriter
}

/** The components that the entry's route handlers share. */
export class EntryComponents {
  readonly #engine: Engine
  readonly #service: PlainService
  readonly #links: SchedulerLinks
  readonly #permits: PermitClient
  readonly #limits: ClientLimits
  readonly #directory: TargetDirectory
  readonly #jobs: LogStream<JobsFold>
  readonly #ledger: LogStream<LedgerFold>

  constructor (private readonly daemon: Daemon) {
    const { identity, membership, settings } = daemon
    const { silenceMilliseconds } = settings.limits
    this.#engine = createHttpEngine({ silenceMilliseconds })
    this.#service = createHttpPlainService({ silenceMilliseconds })
    this.#links = daemon.linkToSchedulers()
    this.#permits = new PermitClient({ identity, membership, links: this.#links })
    this.#limits = new ClientLimits({ membership, links: this.#links })
    this.#directory = new TargetDirectory({ membership, configuration: () => daemon.configuration })
    this.#permits.onLoads(loads => { this.#directory.onLoads(loads) })
    this.#jobs = this.#openStream(StreamName.Jobs, new JobsFold())
    this.#ledger = this.#openStream(StreamName.Ledger, new LedgerFold())
  }

  /** Returns the follower of a stream, or null for a stream that is not folded. */
  followerOf (stream: StreamName): StreamFollower | null {
    switch (stream) {
      case StreamName.Jobs:
        return this.#jobs.follower
      case StreamName.Ledger:
        return this.#ledger.follower
      case StreamName.Configuration:
        return this.daemon.configurationFollower
      case StreamName.Chunks:
        return null
    }
  }

  /** Creates the handlers of the callers' routes. */
  callerHandlers (): CallerHandlers {
    const { chunks, membership, settings } = this.daemon
    const ledger = new ReplicatedLedgerWriter({ links: this.#links, writer: this.#ledger.writer })
    const configuration = (): Configuration => this.daemon.configuration
    const onlineOptions = { settings, limits: this.#limits, ledger, membership, configuration }
    const dispatchOptions = { directory: this.#directory, permits: this.#permits, zone: settings.instance.zone }
    const storageOptions = { settings, fold: this.#jobs.fold, follower: this.#jobs.follower, jobs: this.#jobs.writer, chunks }
    return {
      generation: new OnlineGeneration({
        ...onlineOptions,
        engine: this.#engine,
        runner: new GenerationRunner({ ...dispatchOptions, maximumFailedAttempts: generationAttempts })
      }),
      files: new FilesHandler(storageOptions),
      batches: new BatchesHandler(storageOptions),
      services: new ServicesHandler({
        ...onlineOptions,
        runner: new ServiceRunner({ ...dispatchOptions, service: this.#service, maximumAttempts: serviceAttempts }),
        atMostOnceCalls: new AtMostOnceCalls({ ...this.#ledger, ledger })
      }),
      addresses: { membership, addressMilliseconds: settings.limits.addressMilliseconds }
    }
  }

  /** Creates the handlers of the operators' routes. */
  operatorHandlers (): OperatorHandlers {
    const { configurationFold, configurationFollower, membership, settings } = this.daemon
    return {
      lists: new ListsHandler({
        fold: configurationFold,
        follower: configurationFollower,
        configuration: this.daemon.createWriter(StreamName.Configuration),
        requestBytes: settings.limits.requestBytes
      }),
      overview: new OverviewHandler({
        jobs: this.#jobs.fold,
        ledger: this.#ledger.fold,
        membership,
        directory: this.#directory,
        configuration: () => this.daemon.configuration
      })
    }
  }

  /** Stops requesting permits and reporting demand. Called once no request is in flight. */
  closePermitsAndLimits (): void {
    this.#limits.close()
    this.#permits.close()
  }

  /** Closes the connections to targets. */
  async closeTargetConnections (): Promise<void> {
    await this.#engine.close()
    await this.#service.close()
  }

  #openStream<T extends JobsFold | LedgerFold> (stream: StreamName, fold: T): LogStream<T> {
    return { fold, follower: this.daemon.createFollower(stream, fold), writer: this.daemon.createWriter(stream) }
  }
}
