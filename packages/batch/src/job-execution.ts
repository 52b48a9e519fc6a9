/** Execution of one job under one claim. */
import { setMaxListeners } from 'node:events'
import { sleep } from '@arbutusloft/daemon'
import type { ChunkStore, Logger, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { messageOf, RecordType } from '@arbutusloft/protocol'
import type { FileState, JobState } from '@arbutusloft/state'
import { createErrorResult, ItemErrorCode } from './items/item-result.js'
import type { ItemRunner } from './items/item-runner.js'
import { parseItem } from './items/parse-item.js'
import type { BatchItem } from './items/parse-item.js'
import { ResultBuffer } from './result-buffer.js'

/** Options of {@link JobExecution}. */
export interface JobExecutionOptions {
  readonly job: JobState
  readonly input: FileState
  /** Epoch of the claim under which the job runs; the fencing token of its records. */
  readonly epoch: number
  readonly runner: ItemRunner
  readonly chunks: ChunkStore
  readonly follower: StreamFollower
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  readonly logger: Logger
  /** Whether items for this endpoint and model or service are idempotent. */
  readonly isIdempotent: (endpoint: string, subject: string) => boolean
}

/** An input line whose item has no recorded result yet. */
export interface PendingItem {
  /** Position in the input file, from 0. */
  readonly index: number
  readonly line: string
}

const readRetryDelayMilliseconds = 1_000
const intentWarningIntervalMilliseconds = 30_000
const maximumBufferedBytes = 8_388_608
const bufferPollIntervalMilliseconds = 50

/** Reads a job's unfinished items in order, with one input chunk in memory at a time, and runs them. */
export class JobExecution {
  readonly #abort = new AbortController()
  readonly #buffer: ResultBuffer
  readonly #pendingItems: AsyncGenerator<PendingItem, undefined>
  readonly #startedAt = Date.now()
  #finishedItems = 0

  constructor (private readonly options: JobExecutionOptions) {
    const { job, epoch, chunks, jobs } = options
    this.#buffer = new ResultBuffer({ job: job.created.job, epoch, chunks, jobs, signal: this.#abort.signal })
    this.#pendingItems = this.#readItems()
    // Each item in flight adds a listener, which may exceed the default limit for the warning about leaks.
    setMaxListeners(0, this.#abort.signal)
  }

  get job (): JobState {
    return this.options.job
  }

  get epoch (): number {
    return this.options.epoch
  }

  get stopped (): boolean {
    return this.#abort.signal.aborted
  }

  /** Returns the next unfinished item, or null after the last. Waits while more than `maximumBufferedBytes` of results are unacknowledged by the log. */
  async next (): Promise<PendingItem | null> {
    // Bounds the memory for results that the log has not acknowledged.
    while (this.#buffer.bytes > maximumBufferedBytes && !this.stopped) {
      await sleep(bufferPollIntervalMilliseconds, this.#abort.signal)
    }
    const item = await this.#pendingItems.next()
    return item.value ?? null
  }

  /** Runs an item and buffers its result for the log. */
  async run (pendingItem: PendingItem): Promise<void> {
    const { job } = this.options
    const parsed = parseItem(pendingItem.index, pendingItem.line, job.created.endpoint)
    if (parsed.err) {
      this.#buffer.add(parsed.val)
      return
    }
    try {
      await this.#runItem(parsed.val)
    } catch (error) {
      // Without a result for every item the job would never end, so an unexpected error becomes the result.
      this.options.logger.error('running a batch item threw an unexpected error', { job: job.created.job, item: pendingItem.index, error })
      this.#buffer.add(createErrorResult(parsed.val, ItemErrorCode.OutcomeUnknown, messageOf(error)))
    }
  }

  async #runItem (item: BatchItem): Promise<void> {
    const { job } = this.options
    if (!this.options.isIdempotent(job.created.endpoint, item.subject) && !await this.#recordIntent(item)) {
      return
    }
    const result = await this.options.runner.run(item, {
      job: job.created.job,
      client: job.created.client,
      slack: this.slack,
      signal: this.#abort.signal
    })
    if (result.ok) {
      this.#finishedItems += 1
      this.#buffer.add(result.val)
    }
  }

  /** Milliseconds from the end of the remaining work, estimated by the rate so far, to the deadline; negative if the job will be late. */
  get slack (): number {
    const { job } = this.options
    const now = Date.now()
    const itemsPerMillisecond = this.#finishedItems / Math.max(1, now - this.#startedAt)
    const remainingItems = job.total - job.done.size
    const remainingMilliseconds = itemsPerMillisecond === 0 ? 0 : remainingItems / itemsPerMillisecond
    return job.created.deadline - now - remainingMilliseconds
  }

  /** Aborts all items; their results are discarded. */
  stop (): void {
    this.#abort.abort()
  }

  /** Records the buffered results and resolves when the log has acknowledged them. */
  async flush (): Promise<void> {
    await this.#buffer.flush()
  }

  async * #readItems (): AsyncGenerator<PendingItem, undefined> {
    let firstIndex = 0
    for (const chunk of this.options.input.chunks) {
      if (this.#hasUnfinishedItems(firstIndex, chunk.lines)) {
        const lines = await this.#readChunk(chunk)
        for (const [index, line] of lines.entries()) {
          if (this.stopped) {
            return
          }
          if (!this.job.done.has(firstIndex + index)) {
            yield { index: firstIndex + index, line }
          }
        }
      }
      firstIndex += chunk.lines
    }
  }

  #hasUnfinishedItems (first: number, lines: number): boolean {
    for (let item = first; item < first + lines; item++) {
      if (!this.job.done.has(item)) {
        return true
      }
    }
    return false
  }

  async #readChunk (chunk: { readonly offset: number }): Promise<readonly string[]> {
    while (!this.stopped) {
      const lines = await this.options.chunks.read(chunk.offset)
      if (lines.ok) {
        return lines.val
      }
      this.options.logger.warn('cannot read a chunk of the input file; retrying', { job: this.job.created.job, error: lines.val })
      await sleep(readRetryDelayMilliseconds, this.#abort.signal)
    }
    return []
  }

  /**
   * Records the intent to run a non-idempotent item. Returns whether the item may be sent: whether the fold has
   * this execution's claim as the latest, and the intent under its epoch. An item with an intent of an earlier claim
   * may have run; it fails instead.
   */
  async #recordIntent (item: BatchItem): Promise<boolean> {
    const { job, epoch, jobs, follower } = this.options
    if (job.intents.has(item.index)) {
      const message = 'the call may have run under a process that was lost, and is not repeated'
      this.#buffer.add(createErrorResult(item, ItemErrorCode.OutcomeUnknown, message))
      return false
    }
    const record = { type: RecordType.ItemsIntended, job: job.created.job, epoch, items: [item.index] } as const
    const appended = await jobs.append([record])
    // Whether the intent counts is known only once the fold has applied it.
    while (appended.ok && !this.stopped && !await follower.waitFor(appended.val, intentWarningIntervalMilliseconds)) {
      this.options.logger.warn('the intent to run an item is appended but not folded yet; still waiting', { job: job.created.job, item: item.index })
    }
    return !this.stopped && job.claim?.epoch === epoch && job.intents.get(item.index) === epoch
  }
}
