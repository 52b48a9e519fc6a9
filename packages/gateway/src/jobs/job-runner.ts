/** Runs the items of the jobs in the partitions that this process owns. */
import { messageOf } from '@arbutusloft/protocol'
import type { GatewayMetrics } from '../metrics.js'
import { Alarm } from '../util/alarm.js'
import { isSettled } from './job.js'
import type { Job } from './job.js'
import type { ItemProgress, ProgressEntry } from './item-progress.js'
import { ItemRun } from './item-run.js'
import type { ItemRunDependencies } from './item-run.js'
import { isRunSuperfluous, itemsWithoutRun } from './item-watch.js'
import type { JobPartition } from './job-partition.js'
import type { JobPartitions } from './job-partitions.js'
import type { JobProgress, ProgressLog } from './progress-log.js'
import { RunFailures } from './run-failures.js'
import type { RunFailure } from './run-failures.js'

/** Dependencies of {@link JobRunner}. */
export interface JobRunnerDependencies extends ItemRunDependencies {
  readonly partitions: Pick<JobPartitions, 'onActiveChange'>
  readonly metrics: GatewayMetrics
  readonly progress: Pick<ProgressLog, 'loadPartition' | 'save'>
  /** Time from acceptance for which a job's records are kept at least. */
  readonly retentionMilliseconds: number
}

/**
 * Interval at which a partition with unsettled jobs is read: another process may have ended a job in this one's stead, and
 * its items must have stopped three seconds after that.
 */
const readIntervalMilliseconds = 1_000
/** The same without unsettled jobs: another process may have accepted one in this one's stead. */
const idleReadIntervalMilliseconds = 4_000
/** Interval at which settled jobs are checked for the end of their retention. */
const expiryIntervalMilliseconds = 500
/** Interval at which progress is saved, in one batch for all runs because every call to the store has a cost. */
const progressIntervalMilliseconds = 2_000
/** Multiple of the retention after which jobs are deleted; the margin keeps a process whose clock runs ahead from deleting them too early. */
const retentionFactor = 1.5
/** Interval at which the items that should run are compared with those that do. */
const watchIntervalMilliseconds = 1_000
/** Delay before a partition that could not be read is read again. */
const retryMilliseconds = 200

/** An item that this process runs. */
interface StartedRun {
  readonly partition: JobPartition
  readonly job: Job
  readonly index: number
  readonly run: ItemRun
  /** Id of the last event whose progress was saved, or null. */
  savedId: number | null
}

/** A partition whose items this process runs. */
interface ActivePartition {
  readonly partition: JobPartition
  /** Progress that the former owner has saved; read once, when this process takes the partition. */
  readonly savedProgress: Promise<JobProgress>
  readonly failures: RunFailures
  /** Whether the partition was read since this process took it. */
  isRead: boolean
}

/** Starts the items of jobs in active partitions; stops items that have a result, whose job has ended, or whose partition has passed to another process. */
export class JobRunner {
  readonly #active = new Map<number, ActivePartition>()
  readonly #runs = new Map<string, StartedRun>()
  readonly #readAlarm = new Alarm(now => this.#readPartitions(now))
  readonly #expiryAlarm = new Alarm(now => this.#deleteExpired(now))
  readonly #progressAlarm = new Alarm(now => this.#saveProgress(now))
  readonly #watchAlarm = new Alarm(now => this.#watch(now))
  readonly #watchedPartitions = new WeakSet<JobPartition>()
  readonly #jobsBeingDeleted = new Set<string>()
  /** Progress entries to be deleted with the next save. */
  #progressDeletions: ProgressEntry[] = []
  #draining = false

  constructor (private readonly dependencies: JobRunnerDependencies) {
    dependencies.partitions.onActiveChange((partition, isActive) => {
      if (isActive) {
        void this.#take(partition)
      } else {
        void this.#giveUp(partition)
      }
    })
  }

  /** Number of items that wait or run in this process. */
  get running (): number {
    return this.#runs.size
  }

  /** Stops all items, so that other processes can take them over; resolves when their progress was saved or saving failed. */
  async drain (): Promise<void> {
    this.#draining = true
    await Promise.all([...this.#active.values()].map(async ({ partition }) => { await this.#giveUp(partition) }))
  }

  close (): void {
    this.#readAlarm.close()
    this.#expiryAlarm.close()
    this.#progressAlarm.close()
    this.#watchAlarm.close()
    this.#active.clear()
    for (const { run } of this.#runs.values()) {
      run.stop()
    }
  }

  async #take (partition: JobPartition): Promise<void> {
    if (this.#draining) {
      return
    }
    const active = { partition, savedProgress: this.#loadProgress(partition), failures: new RunFailures(), isRead: false }
    this.#active.set(partition.number, active)
    if (!this.#watchedPartitions.has(partition)) {
      this.#watchedPartitions.add(partition)
      partition.fold.onChange(changed => { this.#onChanged(partition, changed) })
    }
    while (this.#active.get(partition.number) === active && !await partition.refresh()) {
      await new Promise(resolve => { setTimeout(resolve, retryMilliseconds) })
    }
    active.isRead = true
    const now = Date.now()
    this.#watchAlarm.setBy(now + watchIntervalMilliseconds)
    this.#readAlarm.setBy(now + readIntervalMilliseconds)
    this.#expiryAlarm.setBy(now + expiryIntervalMilliseconds)
    this.#onChanged(partition, partition.fold.unsettled())
  }

  /** Loads the saved progress of a partition; there is none if that fails, and its items begin with their first events. */
  async #loadProgress ({ number }: JobPartition): Promise<JobProgress> {
    try {
      return await this.dependencies.progress.loadPartition(number)
    } catch (error) {
      this.dependencies.logger.error('progress not read', { partition: number, error: messageOf(error) })
      return new Map()
    }
  }

  /** Stops the items of a partition, and saves their progress for its next owner. */
  async #giveUp (partition: JobPartition): Promise<void> {
    const failures = this.#active.get(partition.number)?.failures.all() ?? []
    this.#active.delete(partition.number)
    const handedOver: ProgressEntry[] = [...failures].filter(({ progress }) => progress !== null)
    for (const started of [...this.#runs.values()].filter(run => run.partition === partition)) {
      handedOver.push(...this.#stop(started))
    }
    await this.dependencies.progress.save(handedOver)
  }

  #onChanged (partition: JobPartition, jobs: Iterable<Job>): void {
    const active = this.#active.get(partition.number)
    if (active?.partition !== partition) {
      return
    }
    for (const job of jobs) {
      const shouldRun = !isSettled(job)
      job.items.forEach((_, index) => {
        if (shouldRun && !job.finished.has(index)) {
          if (active.failures.get(job, index) === undefined) {
            this.#start(active, job, index)
          }
        } else {
          active.failures.delete(job, index)
          const started = this.#runs.get(keyOf(job, index))
          if (started !== undefined) {
            this.#stop(started)
          }
        }
      })
    }
  }

  #start (active: ActivePartition, job: Job, index: number): void {
    const { partition, savedProgress, failures } = active
    const key = keyOf(job, index)
    const item = job.items[index]
    if (item === undefined || this.#runs.has(key)) {
      return
    }
    const failure = failures.get(job, index)
    const progress = failure === undefined ? savedProgress.then(saved => progressOf(saved, job, index)) : Promise.resolve(failure.progress)
    const run = new ItemRun(this.dependencies, job, item, progress)
    const started = { partition, job, index, run, savedId: null }
    this.#runs.set(key, started)
    this.#progressAlarm.setBy(Date.now() + progressIntervalMilliseconds)
    void this.#runToEnd(started)
  }

  async #runToEnd (started: StartedRun): Promise<void> {
    try {
      await this.#runAndFinish(started)
    } catch (error) {
      this.#onRunFailed(started, error)
      return
    }
    const { job, index } = started
    if (this.#runs.get(keyOf(job, index)) === started) {
      this.#runs.delete(keyOf(job, index))
    }
  }

  async #runAndFinish (started: StartedRun): Promise<void> {
    const { partition, job, index, run } = started
    const outcome = await run.run()
    if (outcome === null) {
      this.dependencies.metrics.items.inc({ outcome: 'stopped' })
      return
    }
    this.dependencies.metrics.items.inc({ outcome: outcome.state })
    const changeOutcome = await partition.log.finish(job.id, index, outcome.state, outcome.text)
    this.#deleteProgress(started)
    this.dependencies.logger.info('item finished', { job: job.id, item: job.items[index]?.id, index, state: outcome.state, end: changeOutcome })
  }

  /** Ends a run that an error has ended, and starts the item again after a delay unless it was stopped meanwhile. */
  #onRunFailed (started: StartedRun, error: unknown): void {
    const { partition, job, index, run } = started
    const isCurrent = this.#runs.get(keyOf(job, index)) === started
    let failure: RunFailure | null = null
    run.stop()
    if (isCurrent) {
      this.#runs.delete(keyOf(job, index))
      failure = this.#active.get(partition.number)?.failures.record(job, index, run.progress, Date.now()) ?? null
      this.#watchAlarm.setBy(failure?.retryAt ?? Infinity)
    }
    this.dependencies.metrics.items.inc({ outcome: 'failed' })
    this.dependencies.logger.error('item run failed', { job: job.id, item: job.items[index]?.id, index, failures: failure?.failures ?? null, error: messageOf(error), stack: error instanceof Error ? error.stack : null })
  }

  /** Starts items that should run and do not, and stops runs that nothing needs any more; returns when to check again. */
  #watch (now: number): number {
    if (this.#active.size === 0) {
      return Infinity
    }
    // An error in a check must not end the checks.
    this.#watchAlarm.setBy(now + watchIntervalMilliseconds)
    for (const started of [...this.#runs.values()].filter(run => this.#isSuperfluous(run))) {
      const { job, index } = started
      this.#stop(started)
      this.dependencies.metrics.watchedItems.inc({ change: 'stopped' })
      this.dependencies.logger.warn('item run without need stopped', { job: job.id, item: job.items[index]?.id, index })
    }
    let next = now + watchIntervalMilliseconds
    for (const active of [...this.#active.values()].filter(({ isRead }) => isRead)) {
      for (const { job, index } of itemsWithoutRun(active.partition.fold.unsettled(), (...item) => this.#runs.has(keyOf(...item)))) {
        const failure = active.failures.get(job, index)
        if (failure === undefined) {
          this.dependencies.metrics.watchedItems.inc({ change: 'started' })
          this.dependencies.logger.warn('item without run started', { job: job.id, item: job.items[index]?.id, index, partition: active.partition.number })
        }
        if (failure === undefined || failure.retryAt <= now) {
          this.#start(active, job, index)
        } else {
          next = Math.min(next, failure.retryAt)
        }
      }
    }
    return next
  }

  #isSuperfluous ({ partition, job, index }: StartedRun): boolean {
    return this.#active.get(partition.number)?.partition !== partition || isRunSuperfluous(partition.fold, job.id, index)
  }

  /** Stops a run; returns the progress to save for the process that takes the item over. */
  #stop (started: StartedRun): readonly ProgressEntry[] {
    const { job, index, run } = started
    this.#runs.delete(keyOf(job, index))
    run.stop()
    const isOver = job.ended || job.finished.has(index)
    if (isOver) {
      this.#deleteProgress(started)
      return []
    }
    return run.progress === null ? [] : [{ job: job.id, index, progress: run.progress }]
  }

  /** Reads the active partitions that were not read lately; returns when to check again. */
  #readPartitions (now: number): number {
    for (const { partition } of this.#active.values()) {
      const isIdle = partition.fold.unsettled()[Symbol.iterator]().next().done === true
      if (!partition.isFreshSince(performance.now() - (isIdle ? idleReadIntervalMilliseconds : readIntervalMilliseconds))) {
        void partition.refresh()
      }
    }
    return this.#active.size === 0 ? Infinity : now + readIntervalMilliseconds
  }

  /** Saves progress made since the last save; returns when to save again. */
  #saveProgress (now: number): number {
    const entries = this.#progressDeletions
    this.#progressDeletions = []
    for (const started of this.#runs.values()) {
      const { job, index, run: { progress } } = started
      if (progress !== null && progress.lastId !== started.savedId) {
        started.savedId = progress.lastId
        entries.push({ job: job.id, index, progress })
      }
    }
    void this.dependencies.progress.save(entries)
    return this.#runs.size === 0 ? Infinity : now + progressIntervalMilliseconds
  }

  #deleteProgress (started: StartedRun): void {
    if (started.savedId !== null) {
      started.savedId = null
      this.#progressDeletions.push({ job: started.job.id, index: started.index, progress: null })
      this.#progressAlarm.setBy(Date.now() + progressIntervalMilliseconds)
    }
  }

  /** Deletes settled jobs of active partitions whose retention has passed; returns when to check again. */
  #deleteExpired (now: number): number {
    const { retentionMilliseconds } = this.dependencies
    for (const { partition } of this.#active.values()) {
      for (const job of partition.fold.all()) {
        if (isSettled(job) && now >= job.acceptedAt + retentionMilliseconds * retentionFactor) {
          this.#delete(partition, job)
        }
      }
    }
    return this.#active.size === 0 ? Infinity : now + expiryIntervalMilliseconds
  }

  #delete (partition: JobPartition, job: Job): void {
    if (this.#jobsBeingDeleted.has(job.id)) {
      return
    }
    this.#jobsBeingDeleted.add(job.id)
    void this.dependencies.progress.save(job.items.map((_, index) => ({ job: job.id, index, progress: null })))
    void partition.log.delete(job.id).then(outcome => {
      this.#jobsBeingDeleted.delete(job.id)
      this.dependencies.logger.info('job dropped', { job: job.id, acceptedAt: job.acceptedAt, end: outcome })
    })
  }
}

function keyOf (job: Job, index: number): string {
  return `${job.id}/${index}`
}

/** Returns the saved progress of an item, or null if there is none. */
function progressOf (progress: JobProgress, job: Job, index: number): ItemProgress | null {
  return progress.get(job.id)?.get(index) ?? null
}
