/** Runs the items of the jobs that this process owns, and takes over jobs of processes that failed or left. */
import { ownerOf } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'
import { MemberState } from '../peers/member.js'
import type { GatewayMetrics } from '../metrics.js'
import { isSettled } from './job.js'
import type { Job } from './job.js'
import type { JobLog } from './job-log.js'
import type { JobsFold } from './jobs-fold.js'
import { ItemRun } from './item-run.js'
import type { ItemRunDependencies } from './item-run.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'
import type { ProgressLog } from './progress-log.js'

/** Dependencies of {@link JobRunner}. */
export interface JobRunnerDependencies extends ItemRunDependencies {
  readonly fold: JobsFold
  readonly log: JobLog
  readonly membership: Membership
  readonly metrics: GatewayMetrics
  readonly progress: ProgressLog
  /** Time from acceptance for which a job's records are kept at least. */
  readonly retentionMilliseconds: number
}

/** Interval at which job ownership is checked. */
const checkIntervalMilliseconds = 500

/**
 * Time for which a process must have been ready before it takes over jobs of other processes. When all processes start
 * together, each knows only itself at first and would otherwise run all jobs.
 */
const takeoverDelayMilliseconds = 700

/** Interval at which progress is saved, in one batch for all runs because every call to the store has a cost. */
const progressIntervalMilliseconds = 2_000

/** Multiple of the retention after which jobs are deleted; the margin keeps a process whose clock runs ahead from deleting them too early. */
const retentionFactor = 1.5

/** An item that this process runs. */
interface StartedRun {
  readonly job: Job
  readonly index: number
  readonly run: ItemRun
  /** Id of the last event whose progress was saved, or null. */
  savedId: number | null
}

/** Starts the items of jobs that this process owns; stops items that have a result, or whose job has ended or belongs to another process. */
export class JobRunner {
  readonly #runs = new Map<string, StartedRun>()
  readonly #timers: readonly NodeJS.Timeout[]
  /** Progress entries to be deleted with the next save. */
  #progressDeletions: ProgressEntry[] = []
  readonly #self: string
  readonly #jobsBeingDeleted = new Set<string>()
  #draining = false
  #readySince: number | null = null

  constructor (private readonly dependencies: JobRunnerDependencies) {
    this.#self = processNameOf(dependencies.membership.self)
    dependencies.fold.onChange(changed => { void this.#reconcile(changed) })
    dependencies.membership.onChange(() => { void this.#reconcile(dependencies.fold.all()) })
    this.#timers = [
      setInterval(() => { void this.#reconcile(dependencies.fold.all()) }, checkIntervalMilliseconds),
      setInterval(() => { void this.#saveProgress() }, progressIntervalMilliseconds)
    ]
  }

  /** Name of this process, as recorded in the jobs that it accepts. */
  get self (): string {
    return this.#self
  }

  /** Number of items that wait or run in this process. */
  get running (): number {
    return this.#runs.size
  }

  /** Stops all items, so that other processes can take them over; resolves when their progress was saved or saving failed. */
  async drain (): Promise<void> {
    this.#draining = true
    await this.#reconcile(this.dependencies.fold.all())
  }

  close (): void {
    this.#timers.forEach(clearInterval)
    for (const { run } of this.#runs.values()) {
      run.stop()
    }
  }

  async #reconcile (jobs: Iterable<Job>): Promise<void> {
    const ready = this.dependencies.membership.ready()
    this.#updateReadySince()
    const names = new Set(ready.map(processNameOf))
    const progressByJob = new Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>()
    const handedOver: ProgressEntry[] = []
    for (const job of jobs) {
      const isOwner = !this.#draining && this.#ownerOf(job, names) === this.#self
      const shouldRun = isOwner && !isSettled(job)
      if (isOwner && isSettled(job)) {
        this.#deleteIfExpired(job)
      }
      job.items.forEach((_, index) => {
        if (shouldRun && !job.finished.has(index)) {
          this.#start(job, index, progressByJob)
        } else {
          handedOver.push(...this.#stop(job, index))
        }
      })
    }
    await this.dependencies.progress.save(handedOver)
  }

  #updateReadySince (): void {
    const isReady = this.dependencies.membership.state === MemberState.Ready
    this.#readySince = isReady ? this.#readySince ?? Date.now() : null
  }

  /** Returns the process that accepted the job or, while that one isn't ready, the one that all processes derive from the job's id. */
  #ownerOf (job: Job, ready: ReadonlySet<string>): string | null {
    if (ready.has(job.acceptedBy)) {
      return job.acceptedBy
    }
    if (this.#readySince === null || Date.now() - this.#readySince < takeoverDelayMilliseconds) {
      return null
    }
    const candidates = [...ready].map(id => ({ id, zone: '' }))
    return ownerOf(job.id, candidates, null)?.id ?? null
  }

  #start (job: Job, index: number, progressByJob: Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>): void {
    const key = keyOf(job, index)
    const item = job.items[index]
    if (item === undefined || this.#runs.has(key)) {
      return
    }
    const run = new ItemRun(this.dependencies, job, item, this.#loadProgress(job, index, progressByJob))
    const started = { job, index, run, savedId: null }
    this.#runs.set(key, started)
    void this.#runToEnd(started)
  }

  /** Loads the progress that a previous process saved for the item; a job younger than one save interval has none. */
  async #loadProgress (job: Job, index: number, progressByJob: Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>): Promise<ItemProgress | null> {
    if (Date.now() - job.acceptedAt < progressIntervalMilliseconds) {
      return null
    }
    const loading = progressByJob.get(job) ?? this.dependencies.progress.load(job.id)
    progressByJob.set(job, loading)
    return (await loading).get(index) ?? null
  }

  async #saveProgress (): Promise<void> {
    const entries = this.#progressDeletions
    this.#progressDeletions = []
    for (const started of this.#runs.values()) {
      const { job, index, run: { progress } } = started
      if (progress !== null && progress.lastId !== started.savedId) {
        started.savedId = progress.lastId
        entries.push({ job: job.id, index, progress })
      }
    }
    await this.dependencies.progress.save(entries)
  }

  async #runToEnd (started: StartedRun): Promise<void> {
    const { job, index, run } = started
    const outcome = await run.run()
    if (outcome === null) {
      this.dependencies.metrics.items.inc({ outcome: 'stopped' })
    } else {
      this.dependencies.metrics.items.inc({ outcome: outcome.state })
      const changeOutcome = await this.dependencies.log.finish(job.id, index, outcome.state, outcome.text)
      this.dependencies.logger.info('item finished', { job: job.id, index, state: outcome.state, end: changeOutcome })
    }
    if (this.#runs.get(keyOf(job, index)) === started) {
      this.#runs.delete(keyOf(job, index))
    }
    if (outcome !== null) {
      this.#deleteProgress(started)
    }
  }

  #deleteIfExpired (job: Job): void {
    const { log, logger, retentionMilliseconds } = this.dependencies
    if (Date.now() < job.acceptedAt + retentionMilliseconds * retentionFactor || this.#jobsBeingDeleted.has(job.id)) {
      return
    }
    this.#jobsBeingDeleted.add(job.id)
    void this.dependencies.progress.save(job.items.map((_, index) => ({ job: job.id, index, progress: null })))
    void log.delete(job.id).then(outcome => {
      this.#jobsBeingDeleted.delete(job.id)
      logger.info('job dropped', { job: job.id, acceptedAt: job.acceptedAt, end: outcome })
    })
  }

  /** Stops a run; returns the progress to save for the process that takes the item over. */
  #stop (job: Job, index: number): readonly ProgressEntry[] {
    const key = keyOf(job, index)
    const started = this.#runs.get(key)
    if (started === undefined) {
      return []
    }
    this.#runs.delete(key)
    started.run.stop()
    const { progress } = started.run
    const isOver = job.ended || job.finished.has(index)
    if (isOver) {
      this.#deleteProgress(started)
      return []
    }
    return progress === null ? [] : [{ job: job.id, index, progress }]
  }

  #deleteProgress (started: StartedRun): void {
    if (started.savedId !== null) {
      started.savedId = null
      this.#progressDeletions.push({ job: started.job.id, index: started.index, progress: null })
    }
  }
}

function keyOf (job: Job, index: number): string {
  return `${job.id}/${index}`
}

/** Returns the name of a process: its address and incarnation. */
export function processNameOf (member: { readonly address: string, readonly incarnation: number }): string {
  return `${member.address}/${member.incarnation}`
}
