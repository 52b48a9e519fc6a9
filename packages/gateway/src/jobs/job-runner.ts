/** Runs the items of the jobs that this process is to run. */
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

/** What the runner works with. */
export interface JobRunnerParts extends ItemRunParts {
  readonly fold: JobsFold
  readonly log: JobLog
  readonly membership: Membership
  readonly metrics: GatewayMetrics
  /** Milliseconds from acceptance for which a job is kept. */
  readonly retentionMilliseconds: number
}

/** Milliseconds between checks of who runs what. */
const checkMilliseconds = 500

/**
 * Milliseconds that a process must have been ready before it takes over jobs of others. After all
 * have started together, each knows only itself at first, and would run everything.
 */
const settleMilliseconds = 700

/** Part of the retention for which jobs are kept, so that no clock that runs ahead drops one too soon. */
const keptShare = 1.5

/** Starts items of own jobs, and stops those that are done, ended or another process's. */
export class JobRunner {
  readonly #runs = new Map<string, ItemRun>()
  readonly #timer: NodeJS.Timeout
  readonly #self: string
  readonly #dropping = new Set<string>()
  #draining = false
  #readySince: number | null = null

  constructor (private readonly parts: JobRunnerParts) {
    this.#self = processNameOf(parts.membership.self)
    parts.fold.onChange(changed => { this.#check(changed) })
    parts.membership.onChange(() => { this.#check(parts.fold.all()) })
    this.#timer = setInterval(() => { this.#check(parts.fold.all()) }, checkMilliseconds)
  }

  /** Name of this process as it stands in the jobs that it accepts. */
  get self (): string {
    return this.#self
  }

  /** Items that wait or run here. */
  get running (): number {
    return this.#runs.size
  }

  /** Leaves all jobs to other processes. */
  drain (): void {
    this.#draining = true
    this.#check(this.parts.fold.all())
  }

  close (): void {
    clearInterval(this.#timer)
    for (const run of this.#runs.values()) {
      run.stop()
    }
  }

  #check (jobs: Iterable<Job>): void {
    const ready = this.parts.membership.ready()
    this.#noteReady()
    const names = new Set(ready.map(processNameOf))
    for (const job of jobs) {
      const isOwn = !this.#draining && this.#runnerOf(job, names) === this.#self
      const isMine = isOwn && !isSettled(job)
      if (isOwn && isSettled(job)) {
        this.#dropIfOld(job)
      }
      job.items.forEach((_, index) => {
        if (isMine && !job.finished.has(index)) {
          this.#start(job, index)
        } else {
          this.#stop(job, index)
        }
      })
    }
  }

  #noteReady (): void {
    const isReady = this.parts.membership.state === MemberState.Ready
    this.#readySince = isReady ? this.#readySince ?? Date.now() : null
  }

  /** The process that accepted the job, or while it is away, one that all agree on. */
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

  #start (job: Job, index: number): void {
    const key = keyOf(job, index)
    const item = job.items[index]
    if (item === undefined || this.#runs.has(key)) {
      return
    }
    const run = new ItemRun(this.parts, job, item)
    this.#runs.set(key, run)
    void this.#complete(job, index, run)
  }

  async #complete (job: Job, index: number, run: ItemRun): Promise<void> {
    const outcome = await run.run()
    if (outcome === null) {
      this.parts.metrics.items.inc({ outcome: 'stopped' })
    } else {
      this.parts.metrics.items.inc({ outcome: outcome.state })
      const end = await this.parts.log.finish(job.id, index, outcome.state, outcome.text)
      this.parts.logger.info('item finished', { job: job.id, index, state: outcome.state, end })
    }
    if (this.#runs.get(keyOf(job, index)) === run) {
      this.#runs.delete(keyOf(job, index))
    }
  }

  #dropIfOld (job: Job): void {
    const { log, logger, retentionMilliseconds } = this.parts
    if (Date.now() < job.acceptedAt + retentionMilliseconds * keptShare || this.#dropping.has(job.id)) {
      return
    }
    this.#dropping.add(job.id)
    void log.drop(job.id).then(end => {
      this.#dropping.delete(job.id)
      logger.info('job dropped', { job: job.id, acceptedAt: job.acceptedAt, end })
    })
  }

  #stop (job: Job, index: number): void {
    const key = keyOf(job, index)
    const run = this.#runs.get(key)
    if (run !== undefined) {
      this.#runs.delete(key)
      run.stop()
    }
  }
}

function keyOf (job: Job, index: number): string {
  return `${job.id}/${index}`
}

/** Name of a process: its address and incarnation. */
export function processNameOf (member: { readonly address: string, readonly incarnation: number }): string {
  return `${member.address}/${member.incarnation}`
}
