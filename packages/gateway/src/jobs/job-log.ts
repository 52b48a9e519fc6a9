/**
 * Appends changes to the jobs topic. Each append is conditional on the offset at which the topic ends, so a decision
 * made from the fold still holds when its records are appended, even with concurrent writers: a job is accepted once,
 * an item finishes once, and accepted work stays within the route's limit.
 */
import PQueue from 'p-queue'
import { AppendEnd } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { KeyedFollower } from '../log/keyed-follower.js'
import { sleep } from '../util/sleep.js'
import type { Logger } from '../util/logger.js'
import type { ItemState, JobSubmission } from './job.js'
import { dropRecords, endRecord, resultRecord, submissionRecords } from './job-records.js'
import type { JobsFold } from './jobs-fold.js'

/** Outcome of a change to the jobs. */
export const ChangeEnd = {
  /** The change is in the log, by this append or an earlier one. */
  Done: 'done',
  /** The job would exceed the route's limit of waiting tokens. */
  OverLimit: 'over-limit',
  /** The job does not exist. */
  NotFound: 'not-found',
  /** The change was not appended before its deadline, and never will be. */
  NotDone: 'not-done',
  /** The log did not respond: the change may have been appended, or may be appended later. */
  Unknown: 'unknown'
} as const
export type ChangeEnd = typeof ChangeEnd[keyof typeof ChangeEnd]

/** A change that is not in the log yet. */
interface Change {
  /** Returns the records still to be appended, or the outcome if nothing is left to append. */
  readonly evaluate: (context: BatchContext) => readonly NewRecord[] | ChangeEnd
  readonly settle: (end: ChangeEnd) => void
  /** Time after which the change is abandoned, in milliseconds since the epoch. */
  readonly deadline: number
  /** Offset of an append that contained the change and got no response, or null. */
  uncertainAt: number | null
}

/** Effects of earlier changes in the same append, which the fold doesn't contain yet. */
interface BatchContext {
  /** Tokens of submitted jobs by route. */
  readonly tokens: Map<string, number>
  /** Ids of submitted jobs. */
  readonly jobs: Set<string>
}

/** Records after which an append gets no further change. */
const greatestRecords = 32
/** Bytes after which an append gets no further change; the store accepts two megabytes. */
const greatestBytes = 1_500_000
/** Minimum delay before a failed append is retried; jitter adds up to the same amount. */
const retryMilliseconds = 30
/** Upper bound of the random delay after a conflict, which keeps the same writers from colliding again. */
const conflictMilliseconds = 4

/** Appends changes in batches, one append at a time. */
export class JobLog {
  readonly #queue = new PQueue({ concurrency: 1 })
  #changes: Change[] = []

  constructor (
    private readonly topic: KeyedTopic,
    private readonly follower: KeyedFollower,
    private readonly fold: JobsFold,
    private readonly logger: Logger
  ) {}

  /** Submits a job, unless more than `waitingTokens` tokens would then wait on its route; 0 means no limit. */
  async submit (submission: JobSubmission, waitingTokens: number, acceptedBy: string, timeout: number): Promise<ChangeEnd> {
    const acceptedAt = Date.now()
    const tokens = submission.items.reduce((sum, item) => sum + item.tokens, 0)
    return await this.#change(timeout, context => {
      if (this.fold.get(submission.id) !== undefined) {
        return ChangeEnd.Done
      }
      const ahead = context.tokens.get(submission.route) ?? 0
      if (waitingTokens > 0 && this.fold.waitingTokens(submission.route) + ahead + tokens > waitingTokens) {
        return ChangeEnd.OverLimit
      }
      if (context.jobs.has(submission.id)) {
        return []
      }
      context.jobs.add(submission.id)
      context.tokens.set(submission.route, ahead + tokens)
      return submissionRecords(submission, acceptedAt, acceptedBy)
    })
  }

  /** Records the result of an item; an item that already has a result keeps it. */
  async finish (job: string, index: number, state: ItemState, text: string): Promise<ChangeEnd> {
    return await this.#change(Infinity, () => {
      const known = this.fold.get(job)
      if (known === undefined) {
        return ChangeEnd.NotFound
      }
      return known.finished.has(index) || known.ended ? ChangeEnd.Done : [resultRecord(job, index, state, text)]
    })
  }

  /** Ends a job. */
  async end (job: string, timeout: number): Promise<ChangeEnd> {
    return await this.#change(timeout, () => {
      const known = this.fold.get(job)
      if (known === undefined) {
        return ChangeEnd.NotFound
      }
      return known.ended ? ChangeEnd.Done : [endRecord(job)]
    })
  }

  /** Deletes all records of a job. */
  async drop (job: string): Promise<ChangeEnd> {
    return await this.#change(Infinity, () => {
      const known = this.fold.get(job)
      return known === undefined ? ChangeEnd.Done : dropRecords(known)
    })
  }

  /** Number of changes that are not in the log yet. */
  get waiting (): number {
    return this.#changes.length
  }

  async #change (timeout: number, evaluate: Change['evaluate']): Promise<ChangeEnd> {
    return await new Promise(resolve => {
      this.#changes.push({ evaluate, settle: resolve, deadline: Date.now() + timeout, uncertainAt: null })
      void this.#queue.add(async () => { await this.#appendAll() })
    })
  }

  async #appendAll (): Promise<void> {
    while (this.#changes.length > 0) {
      this.#dropExpired()
      const at = this.follower.position
      if (at === null) {
        await sleep(retryMilliseconds)
        continue
      }
      const { batch, records } = this.#takeBatch()
      if (records.length > 0) {
        await this.#append(batch, records, at)
      }
    }
  }

  /** Settles the changes that need no append, and collects the records of the others up to the limits of one append. */
  #takeBatch (): { readonly batch: readonly Change[], readonly records: readonly NewRecord[] } {
    const context: BatchContext = { tokens: new Map(), jobs: new Set() }
    const batch: Change[] = []
    const records: NewRecord[] = []
    let bytes = 0
    this.#changes = this.#changes.filter(change => {
      if (records.length >= greatestRecords || bytes >= greatestBytes) {
        return true
      }
      const result = change.evaluate(context)
      if (typeof result === 'string') {
        change.settle(result)
        return false
      }
      batch.push(change)
      records.push(...result)
      bytes += result.reduce((sum, record) => sum + record.key.length + (record.value?.length ?? 0), 0)
      return true
    })
    return { batch, records }
  }

  async #append (batch: readonly Change[], records: readonly NewRecord[], at: number): Promise<void> {
    const end = await this.topic.append(records, at)
    switch (end) {
      case AppendEnd.Done:
        this.follower.accept(records.map((record, index) => ({ ...record, offset: at + index })))
        return
      case AppendEnd.Conflict:
        await this.follower.refresh()
        await sleep(conflictMilliseconds * Math.random())
        return
      case AppendEnd.Refused:
        await sleep(retryMilliseconds * (1 + Math.random()))
        return
      case AppendEnd.Unknown:
        this.logger.warn('append not answered', { at, records: records.length })
        for (const change of batch) {
          change.uncertainAt = at
        }
        await this.follower.refresh()
        await sleep(retryMilliseconds * (1 + Math.random()))
    }
  }

  /** Settles the changes whose deadline has passed. */
  #dropExpired (): void {
    const now = Date.now()
    this.#changes = this.#changes.filter(change => {
      if (change.deadline > now) {
        return true
      }
      const result = change.evaluate({ tokens: new Map(), jobs: new Set() })
      change.settle(typeof result === 'string' ? result : this.#endOfExpired(change))
      return false
    })
  }

  // An append without a response may still be applied, but only while the topic ends at the offset that it expects.
  #endOfExpired ({ uncertainAt }: Change): ChangeEnd {
    const position = this.follower.position
    const settled = uncertainAt === null || (position !== null && position > uncertainAt)
    return settled ? ChangeEnd.NotDone : ChangeEnd.Unknown
  }
}
