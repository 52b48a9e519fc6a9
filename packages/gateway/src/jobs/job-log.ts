/**
 * Appends to the jobs' topic. Each append names the offset at which it expects the topic to end, so
 * whatever was decided from the fold still holds when the record gets its place: a job is accepted
 * once, an item finishes once, and accepted work stays within its limit, whoever else appends.
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

/** How a change to the jobs ended. */
export const ChangeEnd = {
  /** In the log, by this change or an earlier one. */
  Done: 'done',
  /** More tokens would wait than the route allows. */
  OverLimit: 'over-limit',
  /** No such job. */
  NotFound: 'not-found',
  /** The log did not take it in time, and never will. */
  NotDone: 'not-done',
  /** The log gave no answer: it may be done, now or later. */
  Unknown: 'unknown'
} as const
export type ChangeEnd = typeof ChangeEnd[keyof typeof ChangeEnd]

interface Change {
  /** What is still to be appended, or how the change has ended. */
  readonly evaluate: (context: BatchContext) => readonly NewRecord[] | ChangeEnd
  readonly settle: (end: ChangeEnd) => void
  /** Time after which the change is dropped, in milliseconds since the epoch. */
  readonly deadline: number
  /** Offset of an append with it that was not answered, or null. */
  uncertainAt: number | null
}

/** What earlier changes of the same append add to the fold. */
interface BatchContext {
  readonly tokens: Map<string, number>
  readonly jobs: Set<string>
}

/** Records of one append; bounds the append's bytes below the store's two megabytes. */
const greatestRecords = 32
const greatestBytes = 1_500_000
/** Milliseconds before an append that failed is repeated, with jitter up to as much again. */
const retryMilliseconds = 30
/** Milliseconds after a conflict, with jitter, so that writers do not meet again. */
const conflictMilliseconds = 4

/** Appends one batch of changes after the other. */
export class JobLog {
  readonly #queue = new PQueue({ concurrency: 1 })
  #changes: Change[] = []

  constructor (
    private readonly topic: KeyedTopic,
    private readonly follower: KeyedFollower,
    private readonly fold: JobsFold,
    private readonly logger: Logger
  ) {}

  /** Accepts a job, unless more than `waitingTokens` would wait on its route; 0 means no limit. */
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

  /** Gives an item its result; an item that has one keeps it. */
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

  /** Drops a job and all that is kept of it. */
  async drop (job: string): Promise<ChangeEnd> {
    return await this.#change(Infinity, () => {
      const known = this.fold.get(job)
      return known === undefined ? ChangeEnd.Done : dropRecords(known)
    })
  }

  /** Changes that are not in the log yet. */
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

  /** Settles what is done already, and gathers what is not. */
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

  // An unanswered append may be done late, but only while the topic still ends where it expected.
  #endOfExpired ({ uncertainAt }: Change): ChangeEnd {
    const position = this.follower.position
    const settled = uncertainAt === null || (position !== null && position > uncertainAt)
    return settled ? ChangeEnd.NotDone : ChangeEnd.Unknown
  }
}
