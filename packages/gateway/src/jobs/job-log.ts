/**
 * Appends changes to a partition of the jobs. Each append is conditional on the offset at which the partition ends, so a
 * decision made from the fold still holds when its records are appended, even with concurrent writers: a job is accepted
 * once, and an item finishes once.
 */
import { messageOf } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { KeyedFollower } from '../log/keyed-follower.js'
import { sleep } from '../util/sleep.js'
import type { Logger } from '../util/logger.js'
import type { ItemState, JobSubmission } from './job.js'
import { tombstoneRecords, endRecord, resultRecord, submissionRecords } from './job-records.js'
import type { JobsFold } from './jobs-fold.js'

/** Outcome of a change to the jobs. */
export const ChangeOutcome = {
  /** The change is in the log, by this append or an earlier one. */
  Done: 'done',
  /** The job would exceed the route's limit of waiting tokens. */
  OverLimit: 'over-limit',
  /** The job does not exist. */
  NotFound: 'not-found',
  /** The change was not appended before its deadline, and never will be. */
  NotDone: 'not-done',
  /** The change may have been appended, or may be appended later: the log did not respond, or has a record that cannot be read. */
  Unknown: 'unknown'
} as const
export type ChangeOutcome = typeof ChangeOutcome[keyof typeof ChangeOutcome]

/** A change that is not in the log yet. */
interface PendingChange {
  /** Returns the records still to be appended, or the outcome if nothing is left to append; notes the job that it submits, if any, in `submitted`. */
  readonly evaluate: (submitted: Set<string>) => readonly NewRecord[] | ChangeOutcome
  readonly settle: (outcome: ChangeOutcome) => void
  /** Time after which the change is abandoned, in milliseconds since the epoch. */
  readonly deadline: number
  /** Offset of an append that contained the change and got no response, or null. */
  unacknowledgedOffset: number | null
}

/** Number of records at which an append is full and takes no further change. */
const maximumRecords = 32
/** Size at which an append is full and takes no further change; the store accepts two megabytes. */
const maximumBytes = 1_500_000
/** Minimum delay before a failed append is retried; jitter adds up to the same amount. */
const retryMilliseconds = 30
/** Upper bound of the delay after a conflict; it is random, so that the same writers don't conflict again. */
const maximumConflictDelayMilliseconds = 4

/** Appends changes in batches, one append at a time. */
export class JobLog {
  readonly #queue = new PQueue({ concurrency: 1 })
  #changes: PendingChange[] = []
  #closed = false

  constructor (
    private readonly topic: KeyedTopic,
    private readonly follower: KeyedFollower,
    private readonly fold: JobsFold,
    private readonly logger: Logger
  ) {}

  /**
   * Submits a job.
   *
   * @param deadline time after which the submission is given up, in milliseconds since the epoch
   */
  async submit (submission: JobSubmission, acceptedBy: string, deadline: number): Promise<ChangeOutcome> {
    const acceptedAt = Date.now()
    return await this.#enqueue(deadline, submitted => {
      if (this.fold.get(submission.id) !== undefined) {
        return ChangeOutcome.Done
      }
      if (this.fold.isUnreadable(submission.id)) {
        return ChangeOutcome.Unknown
      }
      if (submitted.has(submission.id)) {
        return []
      }
      submitted.add(submission.id)
      return submissionRecords(submission, acceptedAt, acceptedBy)
    })
  }

  /** Records the result of an item; an item that already has a result keeps it. */
  async finish (job: string, index: number, state: ItemState, text: string): Promise<ChangeOutcome> {
    return await this.#enqueue(Infinity, () => {
      const known = this.fold.get(job)
      if (known === undefined) {
        return ChangeOutcome.NotFound
      }
      return known.finished.has(index) || known.ended ? ChangeOutcome.Done : [resultRecord(job, index, state, text)]
    })
  }

  /** Ends a job. */
  async end (job: string, timeoutMilliseconds: number): Promise<ChangeOutcome> {
    return await this.#enqueue(Date.now() + timeoutMilliseconds, () => {
      const known = this.fold.get(job)
      if (known === undefined) {
        return ChangeOutcome.NotFound
      }
      return known.ended ? ChangeOutcome.Done : [endRecord(job)]
    })
  }

  /** Deletes all records of a job. */
  async delete (job: string): Promise<ChangeOutcome> {
    return await this.#enqueue(Infinity, () => {
      const known = this.fold.get(job)
      return known === undefined ? ChangeOutcome.Done : tombstoneRecords(known)
    })
  }

  /** Number of changes that are not in the log yet. */
  get waiting (): number {
    return this.#changes.length
  }

  /** Settles all changes that are not in the log yet as not done or, if an append was not answered, as unknown. */
  close (): void {
    this.#closed = true
  }

  async #enqueue (deadline: number, evaluate: PendingChange['evaluate']): Promise<ChangeOutcome> {
    return await new Promise(resolve => {
      this.#changes.push({ evaluate, settle: resolve, deadline, unacknowledgedOffset: null })
      void this.#queue.add(async () => { await this.#appendAll() })
    })
  }

  async #appendAll (): Promise<void> {
    while (this.#changes.length > 0) {
      this.#settleExpired()
      const expectedEnd = this.follower.position
      if (expectedEnd === null) {
        if (!await this.follower.refresh()) {
          await sleep(retryMilliseconds * (1 + Math.random()))
        }
        continue
      }
      const { batch, records } = this.#takeBatch()
      if (records.length > 0) {
        await this.#append(batch, records, expectedEnd)
      }
    }
  }

  /** Settles the changes that need no append, and collects the records of the others up to the limits of one append. */
  #takeBatch (): { readonly batch: readonly PendingChange[], readonly records: readonly NewRecord[] } {
    const submitted = new Set<string>()
    const batch: PendingChange[] = []
    const records: NewRecord[] = []
    let bytes = 0
    this.#changes = this.#changes.filter(change => {
      if (records.length >= maximumRecords || bytes >= maximumBytes) {
        return true
      }
      const result = change.evaluate(submitted)
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

  async #append (batch: readonly PendingChange[], records: readonly NewRecord[], expectedEnd: number): Promise<void> {
    const startedAt = performance.now()
    const outcome = await this.#appendRecords(records, expectedEnd)
    switch (outcome) {
      case AppendOutcome.Done:
        this.follower.applyAppended(records.map((record, index) => ({ ...record, offset: expectedEnd + index })), startedAt)
        return
      case AppendOutcome.Conflict:
        await this.follower.refresh()
        await sleep(maximumConflictDelayMilliseconds * Math.random())
        return
      case AppendOutcome.Refused:
        await sleep(retryMilliseconds * (1 + Math.random()))
        return
      case AppendOutcome.Unknown:
        this.logger.warn('append not answered', { at: expectedEnd, records: records.length })
        for (const change of batch) {
          change.unacknowledgedOffset = expectedEnd
        }
        await this.follower.refresh()
        await sleep(retryMilliseconds * (1 + Math.random()))
    }
  }

  /** Like {@link KeyedTopic.append}; an error does not tell whether the records were appended, and must not end the appends of other changes. */
  async #appendRecords (records: readonly NewRecord[], expectedEnd: number): Promise<AppendOutcome> {
    try {
      return await this.topic.append(records, expectedEnd)
    } catch (error) {
      this.logger.error('append failed', { at: expectedEnd, records: records.length, error: messageOf(error) })
      return AppendOutcome.Unknown
    }
  }

  /** Settles the changes whose deadline has passed. */
  #settleExpired (): void {
    const now = Date.now()
    this.#changes = this.#changes.filter(change => {
      if (!this.#closed && change.deadline > now) {
        return true
      }
      const result = change.evaluate(new Set())
      change.settle(typeof result === 'string' ? result : this.#outcomeOfExpired(change))
      return false
    })
  }

  // An append without a response may still be applied, but only while the topic ends at the offset that it expects.
  #outcomeOfExpired ({ unacknowledgedOffset }: PendingChange): ChangeOutcome {
    const position = this.follower.position
    const isDecided = unacknowledgedOffset === null || (position !== null && position > unacknowledgedOffset)
    return isDecided ? ChangeOutcome.NotDone : ChangeOutcome.Unknown
  }
}
