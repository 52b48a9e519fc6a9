/** Operations on batch jobs for clients; every process serves them for every job. */
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import type { KeyedFollower } from '../log/keyed-follower.js'
import type { ItemResult, Job, JobItem } from './job.js'
import type { Logger } from '../util/logger.js'
import { ChangeOutcome } from './job-log.js'
import type { JobLog } from './job-log.js'
import type { JobsFold } from './jobs-fold.js'

/** Outcome of an operation on a job. */
export const JobCallOutcome = {
  Ok: 'ok',
  NotFound: 'not-found',
  /** The job would exceed the route's limit of waiting tokens; it was not accepted and will not run. */
  OverLimit: 'over-limit',
  /** The log is unreachable or did not append the change in time; nothing was changed. */
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
/** Bytes of results in one page; the API contract allows one megabyte. */
const maximumPageBytes = 900_000

/** A read of results that waits for a new one. */
interface WaitingRead {
  readonly job: Job
  readonly after: number
  readonly wake: () => void
}

/** Serves operations from the fold, and refreshes it from the log where it may be out of date. */
export class JobApi {
  readonly #waitingReads = new Set<WaitingRead>()

  constructor (
    private readonly fold: JobsFold,
    private readonly follower: KeyedFollower,
    private readonly log: JobLog,
    private readonly processName: () => string,
    private readonly logger: Logger
  ) {
    fold.onChange(changed => { this.#wakeReads(changed) })
  }

  /** Submits a job. Idempotent: a job that is submitted again with the same id is accepted again but runs once. */
  async submit (route: Route, id: string, items: readonly JobItem[]): Promise<JobCallOutcome> {
    if (route.kind !== RouteKind.Batch) {
      return JobCallOutcome.NotFound
    }
    const timeout = Math.min(route.timeoutMilliseconds, changeTimeoutMilliseconds)
    const waiting = this.fold.waitingTokens(route.name)
    const outcome = await this.log.submit({ id, route: route.name, items }, route.waitingTokens, this.processName(), timeout)
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0)
    this.logger.info('job submitted', { job: id, route: route.name, items: items.length, tokens, waiting, limit: route.waitingTokens, position: this.follower.position, end: outcome })
    return jobCallOutcomeOf(outcome)
  }

  /** Ends a job; its results so far remain available. */
  async end (id: string): Promise<JobCallOutcome> {
    const job = await this.#find(id)
    if (typeof job === 'string') {
      return job
    }
    const outcome = await this.log.end(job.id, changeTimeoutMilliseconds)
    this.logger.info('job ended', { job: id, finished: job.finished.size, items: job.items.length, end: outcome })
    return jobCallOutcomeOf(outcome)
  }

  /** Returns the results from a position on; waits up to `wait` milliseconds for the first one. */
  async results (id: string, after: number, wait: number): Promise<ResultPage | JobCallOutcome> {
    const job = await this.#find(id)
    if (typeof job === 'string') {
      return job
    }
    const calledAt = Date.now()
    if (job.results.length <= after && wait > 0 && job.finished.size < job.items.length) {
      await this.#waitForResults(job, after, wait)
    }
    const isFresh = job.results.length > after || this.follower.isFreshSince(calledAt - maximumAgeMilliseconds)
    if (!isFresh && !await this.follower.refresh()) {
      return JobCallOutcome.Unavailable
    }
    return pageOf(this.fold.get(id) ?? job, after)
  }

  /** Returns the request body of an item. */
  async body (id: string, item: string): Promise<Buffer | JobCallOutcome> {
    const job = await this.#find(id)
    if (typeof job === 'string') {
      return job
    }
    return job.items.find(candidate => candidate.id === item)?.body ?? JobCallOutcome.NotFound
  }

  /** Finds a job or returns why that failed. A job that the fold doesn't have may already be in the log, so refreshes the fold then. */
  async #find (id: string): Promise<Job | JobCallOutcome> {
    const known = this.fold.get(id)
    if (known !== undefined) {
      return known
    }
    if (!await this.follower.refresh()) {
      return JobCallOutcome.Unavailable
    }
    return this.fold.get(id) ?? JobCallOutcome.NotFound
  }

  /** Waits until the job has a result after the position, up to `wait` milliseconds. */
  async #waitForResults (job: Job, after: number, wait: number): Promise<void> {
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
