/** All jobs, as a deterministic fold over the records of the jobs topic: every process gets the same jobs from the same records. */
import type { KeyedRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { messageOf } from '@arbutusloft/protocol'
import { isSettled } from './job.js'
import type { Job, JobItem } from './job.js'
import { JobRecordKind, parseJobRecord } from './job-records.js'
import type { JobRecord, ResultRecord, SubmissionRecord } from './job-records.js'
import { tokensOf, waitingKey } from './waiting-tokens.js'

/** Receives the jobs that records have changed. */
export type JobsListener = (changed: ReadonlySet<Job>) => void

/** A submission was read without all records of its items' bodies, although the same append contains them. */
export class IncompleteJobError extends Error {
  override readonly name = 'IncompleteJobError'

  constructor (job: string, expected: number, found: number) {
    super(`job ${job} has ${found} of ${expected} records with item bodies`)
  }
}

/** Keeps jobs until their records are deleted. */
export class JobsFold {
  #jobs = new Map<string, Job>()
  readonly #unsettled = new Set<Job>()
  #bodies = new Map<string, Buffer[]>()
  /** Ids of jobs with a record that could not be applied. */
  readonly #unreadable = new Set<string>()
  readonly #listeners: JobsListener[] = []

  constructor (private readonly logger: Logger) {}

  /** Applies records, which must be in the order of their offsets. If `isReset`, they replace all earlier ones. */
  apply (records: readonly KeyedRecord[], isReset: boolean): void {
    if (isReset) {
      this.#jobs = new Map()
      this.#unsettled.clear()
      this.#bodies = new Map()
      this.#unreadable.clear()
    }
    const changed = new Set<Job>()
    for (const record of records) {
      const job = this.#applyKeyedRecord(record)
      if (job !== null) {
        changed.add(job)
        if (isSettled(job)) {
          this.#unsettled.delete(job)
        }
      }
    }
    for (const listener of this.#listeners) {
      this.#notify(listener, changed)
    }
  }

  get (id: string): Job | undefined {
    return this.#jobs.get(id)
  }

  /** Whether the log has a job of which this fold has not all records, because one could not be applied. */
  isUnreadable (id: string): boolean {
    return this.#unreadable.has(id)
  }

  /** Whether there is any such job. */
  get hasUnreadable (): boolean {
    return this.#unreadable.size > 0
  }

  all (): Iterable<Job> {
    return this.#jobs.values()
  }

  /** Returns the jobs that have not ended and have items without a result. */
  unsettled (): Iterable<Job> {
    return this.#unsettled
  }

  /**
   * Returns the number of tokens of a route's items that wait or run.
   *
   * @param account as for {@link tokensOf}
   */
  waitingTokens (route: string, account?: string): number {
    return tokensOf(this.waitingTokensByKey(), route, account)
  }

  /** Returns the number of tokens of items that wait or run, by {@link waitingKey}; keys without any are left out. */
  waitingTokensByKey (): ReadonlyMap<string, number> {
    const tokens = new Map<string, number>()
    for (const job of this.#unsettled) {
      const waiting = job.items.reduce((sum, item, index) => sum + (job.finished.has(index) ? 0 : item.tokens), 0)
      const key = waitingKey(job.route, job.account)
      tokens.set(key, (tokens.get(key) ?? 0) + waiting)
    }
    return tokens
  }

  onChange (listener: JobsListener): void {
    this.#listeners.push(listener)
  }

  /** Tells a listener of changes; its failure is not one of the fold, and must not keep the changes from other listeners. */
  #notify (listener: JobsListener, changed: ReadonlySet<Job>): void {
    try {
      listener(changed)
    } catch (error) {
      this.logger.error('listener of jobs failed', { jobs: [...changed].map(({ id }) => id), error: messageOf(error), stack: error instanceof Error ? error.stack : null })
    }
  }

  #applyKeyedRecord (record: KeyedRecord): Job | null {
    if (record.value === null) {
      this.#delete(record.key)
      return null
    }
    try {
      const parsed = parseJobRecord(record)
      return parsed === null ? null : this.#applyJobRecord(parsed)
    } catch (error) {
      const [, id] = record.key.split('/')
      if (id !== undefined) {
        this.#unreadable.add(id)
      }
      this.logger.error('could not apply job record', { key: record.key, offset: record.offset, error: messageOf(error) })
      return null
    }
  }

  #applyJobRecord (record: JobRecord): Job | null {
    switch (record.kind) {
      case JobRecordKind.Bodies: {
        const parts = this.#bodies.get(record.job) ?? []
        parts[record.part] = record.bytes
        this.#bodies.set(record.job, parts)
        return null
      }
      case JobRecordKind.Submission:
        return this.#accept(record)
      case JobRecordKind.Result:
        return this.#finish(record)
      case JobRecordKind.End: {
        const job = this.#jobs.get(record.job)
        if (job !== undefined) {
          job.ended = true
        }
        return job ?? null
      }
    }
  }

  #accept (record: SubmissionRecord): Job {
    const known = this.#jobs.get(record.job)
    if (known !== undefined) {
      return known
    }
    const { route, acceptedAt, acceptedBy, account } = record
    const parts = this.#bodies.get(record.job) ?? []
    if (Object.keys(parts).length !== record.parts) {
      throw new IncompleteJobError(record.job, record.parts, Object.keys(parts).length)
    }
    const bodies = Buffer.concat(parts)
    this.#bodies.delete(record.job)
    let start = 0
    const items = record.items.map(({ id, path, headers, tokens, bodyBytes }): JobItem => {
      const body = bodies.subarray(start, start + bodyBytes)
      start += bodyBytes
      return { id, path, headers, tokens, body }
    })
    const job: Job = { id: record.job, route, acceptedAt, acceptedBy, items, bodyParts: record.parts, results: [], finished: new Set(), ended: false, ...(account === undefined ? {} : { account }) }
    this.#jobs.set(job.id, job)
    this.#unreadable.delete(job.id)
    this.#unsettled.add(job)
    return job
  }

  #finish ({ job: id, index, state, text }: ResultRecord): Job | null {
    const job = this.#jobs.get(id)
    const item = job?.items[index]
    if (job === undefined || item === undefined) {
      return null
    }
    if (!job.finished.has(index)) {
      job.finished.add(index)
      job.results.push({ index, id: item.id, state, text })
    }
    return job
  }

  #delete (key: string): void {
    const [kind, id] = key.split('/')
    if (kind !== JobRecordKind.Submission || id === undefined) {
      return
    }
    this.#unreadable.delete(id)
    const job = this.#jobs.get(id)
    if (job !== undefined) {
      this.#jobs.delete(job.id)
      this.#unsettled.delete(job)
    }
  }
}
