/** Operations on batch jobs for clients. Every process can serve them for every job; the owner of the job's partition need not read the log for it. */
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'
import { isVisible, unrestrictedCaller } from './job-caller.js'
import type { JobCaller } from './job-caller.js'
import type { ItemResult, Job, JobItem } from './job.js'
import { ChangeOutcome } from './job-log.js'
import type { JobPartition } from './job-partition.js'
import type { JobPartitions } from './job-partitions.js'
import type { TokenLedger } from './token-ledger.js'

/** Outcome of an operation on a job. */
export const JobCallOutcome = {
  Ok: 'ok',
  NotFound: 'not-found',
  /** A job of another client account has the id; the submitted one was not accepted and will not run. */
  Taken: 'taken',
  /** The job would exceed the route's limit of waiting tokens; it was not accepted and will not run. */
  OverLimit: 'over-limit',
  /** The log is unreachable, cannot be read, or did not append the change in time; nothing was changed. */
  Unavailable: 'unavailable',
  /** The change may have been made, or may still be made. */
  Unknown: 'unknown'
} as const
export type JobCallOutcome = typeof JobCallOutcome[keyof typeof JobCallOutcome]

/** A page of results. */
export interface ResultPage {
  /** Number of items of the job. */
  readonly total: number
  /** Position after the last result of the page, from which the next page continues. */
  readonly next: number
  readonly results: readonly ItemResult[]
}

/** Timeout for appending a submission or a job's end to the log. */
const changeTimeoutMilliseconds = 1_200
/** Maximum age of the fold for a page without new results; an older fold is refreshed from the log first. */
const maximumAgeMilliseconds = 700
/** Time for which a call waits until its partition is read: less than the time allowed for a forwarded read, so that its caller is told. */
const maximumRefreshMilliseconds = 700
/** Bytes of results in one page; the API contract allows one megabyte. */
const maximumPageBytes = 900_000

/** Partition that holds the jobs accepted by builds that did not divide them. */
const undividedPartition = 0

/** What the calls need of {@link JobPartitions}. */
export type ReadPartitions = Pick<JobPartitions, 'numberOf' | 'get' | 'isOwn'>

/** A read of results that waits for a new one. */
interface WaitingRead {
  readonly job: Job
  readonly after: number
  readonly wake: () => void
}

/** A job, and the partition in which it was found. */
interface FoundJob {
  readonly job: Job
  readonly partition: JobPartition
}

/** Serves operations from the partitions' folds, and refreshes these from the log where they may be out of date. */
export class JobApi {
  readonly #waitingReads = new Set<WaitingRead>()
  readonly #watchedPartitions = new WeakSet<JobPartition>()

  constructor (
    private readonly partitions: ReadPartitions,
    private readonly ledger: Pick<TokenLedger, 'reserve' | 'settle'>,
    private readonly processName: () => string,
    private readonly logger: Logger
  ) {}

  /** Submits a job. Idempotent: a job that is submitted again with the same id is accepted again but runs once. */
  async submit (route: Route, id: string, items: readonly JobItem[], caller = unrestrictedCaller): Promise<JobCallOutcome> {
    if (route.kind !== RouteKind.Batch) {
      return JobCallOutcome.NotFound
    }
    const partition = this.partitions.get(this.partitions.numberOf(id))
    if ((!partition.isLoaded || partition.fold.isUnreadable(id)) && !await this.#refresh(partition)) {
      return JobCallOutcome.Unavailable
    }
    const known = partition.fold.get(id)
    if (known !== undefined) {
      return isVisible(known, caller) ? JobCallOutcome.Ok : JobCallOutcome.Taken
    }
    if (partition.fold.isUnreadable(id)) {
      this.#logMiss('job not readable', id, partition)
      return JobCallOutcome.Unknown
    }
    const deadline = Date.now() + Math.min(route.timeoutMilliseconds, changeTimeoutMilliseconds)
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0)
    const { account } = caller
    const request = { job: id, route: route.name, tokens, limit: route.waitingTokens, ...(account === null ? {} : { account }) }
    const reservation = await this.ledger.reserve(partition, request, deadline)
    const outcome = reservation.granted
      ? await partition.log.submit({ id, route: route.name, items, ...(account === null || account === '' ? {} : { account }) }, this.processName(), deadline)
      : reservation.reason
    this.ledger.settle(request, outcome)
    this.logger.info('job submitted', { job: id, route: route.name, ...(account === null ? {} : { account }), items: items.length, tokens, waiting: reservation.waiting, limit: route.waitingTokens, partition: partition.number, position: partition.position, end: outcome })
    const accepted = partition.fold.get(id)
    // Another account may have submitted a job with the same id meanwhile.
    return accepted === undefined || isVisible(accepted, caller) ? jobCallOutcomeOf(outcome) : JobCallOutcome.Taken
  }

  /** Ends a job; its results so far remain available. */
  async end (id: string, caller = unrestrictedCaller): Promise<JobCallOutcome> {
    const found = await this.#find(id, caller)
    if (typeof found === 'string') {
      return found
    }
    const { job, partition } = found
    const outcome = await partition.log.end(job.id, changeTimeoutMilliseconds)
    this.logger.info('job ended', { job: id, finished: job.finished.size, items: job.items.length, end: outcome })
    return jobCallOutcomeOf(outcome)
  }

  /** Returns the results from a position on; waits up to `wait` milliseconds for the first one. */
  async results (id: string, after: number, wait: number, caller = unrestrictedCaller): Promise<ResultPage | JobCallOutcome> {
    const found = await this.#find(id, caller)
    if (typeof found === 'string') {
      return found
    }
    const { job, partition } = found
    const calledAt = performance.now()
    if (job.results.length <= after && wait > 0 && job.finished.size < job.items.length) {
      await this.#waitForResults(found, after, wait)
    }
    const isFresh = job.results.length > after || partition.isFreshSince(calledAt - maximumAgeMilliseconds)
    if (!isFresh && !await this.#refresh(partition)) {
      this.#logMiss('results of a job may be out of date', id, partition)
      return JobCallOutcome.Unavailable
    }
    return pageOf(partition.fold.get(id) ?? job, after)
  }

  /** Returns the request body of an item. */
  async body (id: string, item: string, caller = unrestrictedCaller): Promise<Buffer | JobCallOutcome> {
    const found = await this.#find(id, caller)
    if (typeof found === 'string') {
      return found
    }
    return found.job.items.find(candidate => candidate.id === item)?.body ?? JobCallOutcome.NotFound
  }

  /** Milliseconds for which this process has been trying in vain to read the partition of a job. */
  outageMilliseconds (id: string): number {
    return this.partitions.get(this.partitions.numberOf(id)).outageMilliseconds
  }

  /** Finds a job or returns why that failed. A job that the fold doesn't have may already be in the log, so refreshes the fold then. */
  async #find (id: string, caller: JobCaller): Promise<FoundJob | JobCallOutcome> {
    for (const number of new Set([this.partitions.numberOf(id), undividedPartition])) {
      const partition = this.partitions.get(number)
      const known = partition.fold.get(id)
      if (known === undefined && !await this.#refresh(partition)) {
        this.#logMiss('partition of a job not read', id, partition)
        return JobCallOutcome.Unavailable
      }
      const job = known ?? partition.fold.get(id)
      if (job !== undefined && !isVisible(job, caller)) {
        this.#logMiss('job of another account', id, partition)
        return JobCallOutcome.NotFound
      }
      if (job !== undefined) {
        return { job, partition }
      }
      if (partition.fold.isUnreadable(id)) {
        this.#logMiss('job not readable', id, partition)
        return JobCallOutcome.Unavailable
      }
      this.#logMiss('job not found', id, partition)
    }
    return JobCallOutcome.NotFound
  }

  /** Reads a partition; returns false if that fails or takes long, and then goes on in the background. */
  async #refresh (partition: JobPartition): Promise<boolean> {
    return await Promise.race([partition.refresh(), sleep(maximumRefreshMilliseconds).then(() => false)])
  }

  /** Logs why a job was not found, with how much of the partition is known. */
  #logMiss (message: string, job: string, { number, position, ageMilliseconds }: JobPartition): void {
    const age = Number.isFinite(ageMilliseconds) ? ageMilliseconds : null
    this.logger.info(message, { job, partition: number, position, age, own: this.partitions.isOwn(number) })
  }

  /** Waits until the job has a result after the position, up to `wait` milliseconds. */
  async #waitForResults ({ job, partition }: FoundJob, after: number, wait: number): Promise<void> {
    if (!this.#watchedPartitions.has(partition)) {
      this.#watchedPartitions.add(partition)
      partition.fold.onChange(changed => { this.#wakeReads(changed) })
    }
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waitingReads.delete(waitingRead)
        resolve()
      }
      const waitingRead = { job, after, wake: finish }
      const timer = setTimeout(finish, wait)
      this.#waitingReads.add(waitingRead)
    })
  }

  #wakeReads (changed: ReadonlySet<Job>): void {
    for (const waitingRead of this.#waitingReads) {
      if (changed.has(waitingRead.job) && waitingRead.job.results.length > waitingRead.after) {
        waitingRead.wake()
      }
    }
  }
}

function jobCallOutcomeOf (outcome: ChangeOutcome): JobCallOutcome {
  switch (outcome) {
    case ChangeOutcome.Done:
      return JobCallOutcome.Ok
    case ChangeOutcome.OverLimit:
      return JobCallOutcome.OverLimit
    case ChangeOutcome.NotFound:
      return JobCallOutcome.NotFound
    case ChangeOutcome.NotDone:
      return JobCallOutcome.Unavailable
    case ChangeOutcome.Unknown:
      return JobCallOutcome.Unknown
  }
}

function pageOf (job: Job, after: number): ResultPage {
  const results: ItemResult[] = []
  let bytes = 0
  for (const result of job.results.slice(after)) {
    bytes += Buffer.byteLength(result.text)
    if (results.length > 0 && bytes > maximumPageBytes) {
      break
    }
    results.push(result)
  }
  return { total: job.items.length, next: after + results.length, results }
}
