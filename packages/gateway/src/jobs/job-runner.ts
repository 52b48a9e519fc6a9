/** Runs the items of the jobs that this process owns, and takes over jobs of processes that failed or left. */
import { ownerOf } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'
import { MemberState } from '../peers/peer-messages.js'
import type { GatewayMetrics } from '../metrics.js'
import { isSettled } from './job.js'
import type { Job } from './job.js'
import type { JobLog } from './job-log.js'
import type { JobsFold } from './jobs-fold.js'
import { ItemRun } from './item-run.js'
import type { ItemRunParts } from './item-run.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'
import type { ProgressLog } from './progress-log.js'

/** Dependencies of {@link JobRunner}. */
export interface JobRunnerParts extends ItemRunParts {
  readonly fold: JobsFold
  readonly log: JobLog
  readonly membership: Membership
  readonly metrics: GatewayMetrics
  readonly progress: ProgressLog
  /** Time from acceptance for which a job's records are kept at least. */
  readonly retentionMilliseconds: number
}

/** Interval at which job ownership is checked. */
const checkMilliseconds = 500

/**
 * Time for which a process must have been ready before it takes over jobs of other processes. When all processes start
 * together, each knows only itself at first and would otherwise run all jobs.
 */
const settleMilliseconds = 700

/** Interval at which progress is saved, in one batch for all runs because every call to the store has a cost. */
const progressMilliseconds = 2_000

/** Multiple of the retention after which jobs are deleted; the margin keeps a process whose clock runs ahead from deleting them too early. */
const keptShare = 1.5

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
  #dropped: ProgressEntry[] = []
  readonly #self: string
  readonly #dropping = new Set<string>()
  #draining = false
  #readySince: number | null = null

  constructor (private readonly parts: JobRunnerParts) {
    this.#self = processNameOf(parts.membership.self)
    parts.fold.onChange(changed => { void this.#check(changed) })
    parts.membership.onChange(() => { void this.#check(parts.fold.all()) })
    this.#timers = [
      setInterval(() => { void this.#check(parts.fold.all()) }, checkMilliseconds),
      setInterval(() => { void this.#saveProgress() }, progressMilliseconds)
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
    await this.#check(this.parts.fold.all())
  }

  close (): void {
    this.#timers.forEach(clearInterval)
    for (const { run } of this.#runs.values()) {
      run.stop()
    }
  }

  async #check (jobs: Iterable<Job>): Promise<void> {
    const ready = this.parts.membership.ready()
    this.#noteReady()
    const names = new Set(ready.map(processNameOf))
    const known = new Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>()
    const leaving: ProgressEntry[] = []
    for (const job of jobs) {
      const isOwn = !this.#draining && this.#runnerOf(job, names) === this.#self
      const isMine = isOwn && !isSettled(job)
      if (isOwn && isSettled(job)) {
        this.#dropIfOld(job)
      }
      job.items.forEach((_, index) => {
        if (isMine && !job.finished.has(index)) {
          this.#start(job, index, known)
        } else {
          leaving.push(...this.#stop(job, index))
        }
      })
    }
    await this.parts.progress.save(leaving)
  }

  #noteReady (): void {
    const isReady = this.parts.membership.state === MemberState.Ready
    this.#readySince = isReady ? this.#readySince ?? Date.now() : null
  }

  /** Returns the process that accepted the job or, while that one isn't ready, the one that all processes derive from the job's id. */
  #runnerOf (job: Job, ready: ReadonlySet<string>): string | null {
    if (ready.has(job.acceptedBy)) {
      return job.acceptedBy
    }
    if (this.#readySince === null || Date.now() - this.#readySince < settleMilliseconds) {
      return null
    }
    const candidates = [...ready].map(id => ({ id, zone: '' }))
    return ownerOf(job.id, candidates, null)?.id ?? null
  }

  #start (job: Job, index: number, known: Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>): void {
    const key = keyOf(job, index)
    const item = job.items[index]
    if (item === undefined || this.#runs.has(key)) {
      return
    }
    const run = new ItemRun(this.parts, job, item, this.#knownProgress(job, index, known))
    const started = { job, index, run, savedId: null }
    this.#runs.set(key, started)
    void this.#complete(started)
  }

  /** Loads the progress that a previous process saved for the item; a job younger than one save interval has none. */
  async #knownProgress (job: Job, index: number, known: Map<Job, Promise<ReadonlyMap<number, ItemProgress>>>): Promise<ItemProgress | null> {
    if (Date.now() - job.acceptedAt < progressMilliseconds) {
      return null
    }
    const loading = known.get(job) ?? this.parts.progress.load(job.id)
    known.set(job, loading)
    return (await loading).get(index) ?? null
  }

  async #saveProgress (): Promise<void> {
    const entries = this.#dropped
    this.#dropped = []
    for (const started of this.#runs.values()) {
      const { job, index, run: { progress } } = started
      if (progress !== null && progress.lastId !== started.savedId) {
        started.savedId = progress.lastId
        entries.push({ job: job.id, index, progress })
      }
    }
    await this.parts.progress.save(entries)
  }

  async #complete (started: StartedRun): Promise<void> {
    const { job, index, run } = started
    const outcome = await run.run()
    if (outcome === null) {
      this.parts.metrics.items.inc({ outcome: 'stopped' })
    } else {
      this.parts.metrics.items.inc({ outcome: outcome.state })
      const end = await this.parts.log.finish(job.id, index, outcome.state, outcome.text)
      this.parts.logger.info('item finished', { job: job.id, index, state: outcome.state, end })
    }
    if (this.#runs.get(keyOf(job, index)) === started) {
      this.#runs.delete(keyOf(job, index))
    }
    if (outcome !== null) {
      this.#drop(started)
    }
  }

  #dropIfOld (job: Job): void {
    const { log, logger, retentionMilliseconds } = this.parts
    if (Date.now() < job.acceptedAt + retentionMilliseconds * keptShare || this.#dropping.has(job.id)) {
      return
    }
    this.#dropping.add(job.id)
    void this.parts.progress.save(job.items.map((_, index) => ({ job: job.id, index, progress: null })))
    void log.drop(job.id).then(end => {
      this.#dropping.delete(job.id)
      logger.info('job dropped', { job: job.id, acceptedAt: job.acceptedAt, end })
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
      this.#drop(started)
      return []
    }
    return progress === null ? [] : [{ job: job.id, index, progress }]
  }

  #drop (started: StartedRun): void {
    if (started.savedId !== null) {
      started.savedId = null
      this.#dropped.push({ job: started.job.id, index: started.index, progress: null })
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
