/** The batch process: follows the jobs stream, claims jobs and runs their items on targets. */
import { GenerationRunner, Daemon, PermitClient, ServiceRunner, settleWithin, sleep, startHealthServer, TargetDirectory } from '@arbutusloft/daemon'
import type { HttpServer, Logger, LogWriter, Readiness, RunningRole, StreamFollower } from '@arbutusloft/daemon'
import { batchWeightOf } from '@arbutusloft/configuration'
import type { Settings } from '@arbutusloft/configuration'
import { createHttpEngine, createHttpPlainService, isGenerationPath, MemberKind } from '@arbutusloft/adapters'
import { StreamName } from '@arbutusloft/protocol'
import { JobsFold, JobStatus } from '@arbutusloft/state'
import type { JobState } from '@arbutusloft/state'
import { Gauge } from 'prom-client'
import { ChunkCopier } from './chunk-copier.js'
import { ItemRunner } from './items/item-runner.js'
import { JobClaims } from './job-claims.js'
import { JobExecution } from './job-execution.js'
import { ItemDispatcher } from './item-dispatcher.js'

const reconcileIntervalMilliseconds = 250
const drainTimeoutMilliseconds = 10_000
const drainPollIntervalMilliseconds = 20
/** Attempts at targets within one dispatch of a service call; the item runner dispatches again after a failure. */
const serviceAttempts = 3

/** Attempts at targets within one dispatch of a generation. */
const generationAttempts = 2

/** A running batch process. */
export interface Batch extends RunningRole {
  /** Number of jobs that run under a claim of this process. */
  readonly ownedJobCount: number
}

/** Starts a batch process with the given settings. */
export async function startBatch (settings: Settings, logger: Logger): Promise<Batch> {
  const batch = new BatchProcess(settings, logger)
  await batch.start()
  return batch
}

/** Wires the parts of a batch process together and reconciles the running executions with the claims in the log. */
class BatchProcess implements Batch {
  readonly #daemon: Daemon
  readonly #engine
  readonly #service
  readonly #permits: PermitClient
  readonly #fold = new JobsFold()
  readonly #follower: StreamFollower
  readonly #jobsWriter: LogWriter
  readonly #claims: JobClaims
  readonly #dispatcher: ItemDispatcher
  readonly #runner: ItemRunner
  readonly #chunkCopier: ChunkCopier
  readonly #executions = new Map<string, JobExecution>()
  #health: HttpServer | null = null
  #reconcileTimer: NodeJS.Timeout | null = null
  #stopListening: () => void = () => {}
  #reconcileScheduled = false

  constructor (settings: Settings, logger: Logger) {
    const daemon = new Daemon({ settings, role: MemberKind.Batch, logger })
    this.#daemon = daemon
    const { silenceMilliseconds, itemAttempts, batchConcurrency, retentionMilliseconds, ownerMilliseconds } = settings.limits
    this.#engine = createHttpEngine({ silenceMilliseconds })
    this.#service = createHttpPlainService({ silenceMilliseconds })
    const links = daemon.linkToSchedulers()
    const { identity, membership } = daemon
    this.#permits = new PermitClient({ identity, membership, links })
    const directory = new TargetDirectory({ membership, configuration: () => daemon.configuration })
    this.#permits.onLoads(loads => { directory.onLoads(loads) })
    this.#follower = daemon.createFollower(StreamName.Jobs, this.#fold)
    this.#jobsWriter = daemon.createWriter(StreamName.Jobs)
    daemon.createSnapshotWriter(StreamName.Jobs, this.#follower)
    const runnerOptions = { directory, permits: this.#permits, zone: settings.instance.zone }
    this.#runner = new ItemRunner({
      engine: this.#engine,
      generations: new GenerationRunner({ ...runnerOptions, maximumFailedAttempts: generationAttempts }),
      services: new ServiceRunner({ ...runnerOptions, service: this.#service, maximumAttempts: serviceAttempts }),
      membership,
      configuration: () => daemon.configuration,
      maximumFailures: itemAttempts
    })
    this.#claims = new JobClaims({ identity, fold: this.#fold, follower: this.#follower, membership, jobs: this.#jobsWriter, ownerMilliseconds })
    this.#dispatcher = new ItemDispatcher({
      concurrency: batchConcurrency,
      batchWeight: client => batchWeightOf(daemon.configuration, client)
    })
    this.#chunkCopier = new ChunkCopier({
      fold: this.#fold,
      chunks: daemon.chunks,
      jobs: this.#jobsWriter,
      logger,
      retentionMilliseconds,
      isResponsible: fileOrJob => daemon.ownsAmongPeers(fileOrJob)
    })
    this.#addMetrics()
  }

  get ownedJobCount (): number {
    return this.#claims.ownedJobs().length
  }

  get addresses (): RunningRole['addresses'] {
    return { health: this.#health?.address ?? null }
  }

  async start (): Promise<void> {
    const { health } = this.#daemon.settings.listen
    if (health !== null) {
      this.#health = await startHealthServer(health, { registry: this.#daemon.registry, readiness: () => this.#readiness() })
    }
    await this.#daemon.start()
    this.#reconcileTimer = setInterval(() => { this.#reconcile() }, reconcileIntervalMilliseconds)
    this.#stopListening = this.#follower.onAdvance(() => { this.#scheduleReconcile() })
  }

  /**
   * Drains: waits up to `drainTimeoutMilliseconds` for the items in flight, and as long again for the log to acknowledge
   * their results. Other batch processes claim the rest of the jobs.
   */
  async close (): Promise<void> {
    this.#stopListening()
    if (this.#reconcileTimer !== null) {
      clearInterval(this.#reconcileTimer)
    }
    this.#claims.close()
    this.#chunkCopier.close()
    this.#dispatcher.close()
    const deadline = Date.now() + drainTimeoutMilliseconds
    while (this.#dispatcher.inFlight > 0 && Date.now() < deadline) {
      await sleep(drainPollIntervalMilliseconds)
    }
    const flushed = Promise.all([...this.#executions.values()].map(async execution => { await execution.flush() }))
    await settleWithin(flushed, drainTimeoutMilliseconds)
    this.#executions.forEach(execution => { execution.stop() })
    this.#permits.close()
    await this.#health?.close()
    await this.#daemon.close()
    await this.#engine.close()
    await this.#service.close()
  }

  #readiness (): Readiness {
    const ready = this.#daemon.caughtUp
    return { ready, reason: ready ? 'ready' : 'waits for the log or the instance list' }
  }

  /** Schedules one reconciliation for all records that arrive in one turn of the event loop. */
  #scheduleReconcile (): void {
    if (!this.#reconcileScheduled) {
      this.#reconcileScheduled = true
      setImmediate(() => {
        this.#reconcileScheduled = false
        this.#reconcile()
      })
    }
  }

  /** Claims jobs, and starts and stops executions so that they match the claims in the log. */
  #reconcile (): void {
    if (!this.#daemon.caughtUp) {
      return
    }
    this.#claims.claimJobs()
    this.#stopOutdatedExecutions()
    for (const job of this.#claims.ownedJobs()) {
      this.#startExecution(job)
    }
    this.#dispatcher.setExecutions([...this.#executions.values()])
  }

  /** Stops executions whose job has ended or runs under another claim. */
  #stopOutdatedExecutions (): void {
    for (const [id, execution] of this.#executions) {
      const job = this.#fold.jobs.get(id)
      if (job?.status !== JobStatus.InProgress || job.claim?.epoch !== execution.epoch) {
        execution.stop()
        this.#executions.delete(id)
      }
    }
  }

  #startExecution (job: JobState): void {
    const input = this.#fold.files.get(job.created.inputFile)
    if (this.#executions.has(job.created.job) || input === undefined || job.claim === null) {
      return
    }
    this.#executions.set(job.created.job, new JobExecution({
      job,
      input,
      epoch: job.claim.epoch,
      runner: this.#runner,
      chunks: this.#daemon.chunks,
      follower: this.#follower,
      jobs: this.#jobsWriter,
      logger: this.#daemon.logger,
      isIdempotent: (endpoint, subject) => {
        return isGenerationPath(endpoint) || this.#daemon.configuration.services.get(subject)?.repeatable === true
      }
    }))
  }

  #addMetrics (): void {
    const owned = new Gauge({
      name: 'arbutus_jobs_owned',
      help: 'Jobs that run under a claim of this process',
      registers: [this.#daemon.registry],
      collect: () => { owned.set(this.ownedJobCount) }
    })
    const inFlight = new Gauge({
      name: 'arbutus_items_in_flight',
      help: 'Batch items that wait for a permit or run',
      registers: [this.#daemon.registry],
      collect: () => { inFlight.set(this.#dispatcher.inFlight) }
    })
  }
}
