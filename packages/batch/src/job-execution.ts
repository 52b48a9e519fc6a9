/** The running of one job under one claim. */
import { setMaxListeners } from 'node:events'
import { sleep } from '@arbutusloft/daemon'
import type { ChunkStore, Logger, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { messageOf, RecordType } from '@arbutusloft/protocol'
import type { FileState, JobState } from '@arbutusloft/state'
import { failedItem, ItemErrorCode } from './items/item-result.js'
import type { ItemRunner } from './items/item-runner.js'
import { parseItem } from './items/parse-item.js'
import type { BatchItem } from './items/parse-item.js'
import { ResultBuffer } from './result-buffer.js'

/** Options of {@link JobExecution}. */
export interface JobExecutionOptions {
  readonly job: JobState
  readonly input: FileState
  /** Position of the claim under which the job runs. */
  readonly epoch: number
  readonly runner: ItemRunner
  readonly chunks: ChunkStore
  readonly follower: StreamFollower
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  readonly logger: Logger
  /** Whether items with this subject may be repeated. */
  readonly isRepeatable: (endpoint: string, subject: string) => boolean
}

/** A line of the input that has no completion yet. */
export interface ReadyItem {
  readonly item: number
  readonly line: string
}

const readRetryMilliseconds = 1_000
const intentMilliseconds = 30_000
const greatestBufferedBytes = 8_388_608
const bufferPollMilliseconds = 50

/** Reads items in order, holding one input chunk at a time, and runs those that it is given. */
export class JobExecution {
  readonly #abort = new AbortController()
  readonly #buffer: ResultBuffer
  readonly #source: AsyncGenerator<ReadyItem, undefined>
  readonly #startedAt = Date.now()
  #finished = 0

  constructor (private readonly options: JobExecutionOptions) {
    const { job, epoch, chunks, jobs } = options
    this.#buffer = new ResultBuffer({ job: job.created.job, epoch, chunks, jobs, signal: this.#abort.signal })
    this.#source = this.#readItems()
    // Every item in flight listens to the job's end.
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

  /** The next item to run, or null when all have been given out. */
  async next (): Promise<ReadyItem | null> {
    // Finished results wait for the log; no more are made than memory can hold.
    while (this.#buffer.bytes > greatestBufferedBytes && !this.stopped) {
      await sleep(bufferPollMilliseconds, this.#abort.signal)
    }
    const item = await this.#source.next()
    return item.value ?? null
  }

  /** Runs an item and keeps its result. */
  async run (ready: ReadyItem): Promise<void> {
    const { job } = this.options
    const parsed = parseItem(ready.item, ready.line, job.created.endpoint)
    if (parsed.err) {
      this.#buffer.add(parsed.val)
      return
    }
    try {
      await this.#runItem(parsed.val)
    } catch (error) {
      // Without a result the job would never end, so an unexpected error becomes the item's result.
      this.options.logger.error('item failed unexpectedly', { job: job.created.job, item: ready.item, error })
      this.#buffer.add(failedItem(parsed.val, ItemErrorCode.OutcomeUnknown, messageOf(error)))
    }
  }

  async #runItem (item: BatchItem): Promise<void> {
    const { job } = this.options
    if (!this.options.isRepeatable(job.created.endpoint, item.subject) && !await this.#intend(item)) {
      return
    }
    const result = await this.options.runner.run(item, {
      job: job.created.job,
      client: job.created.client,
      slack: this.slack,
      signal: this.#abort.signal
    })
    if (result.ok) {
      this.#finished += 1
      this.#buffer.add(result.val)
    }
  }

  /** Milliseconds between the deadline and the end of the remaining work at the rate so far. */
  get slack (): number {
    const { job } = this.options
    const now = Date.now()
    const rate = this.#finished / Math.max(1, now - this.#startedAt)
    const remaining = job.total - job.done.size
    const needed = rate === 0 ? 0 : remaining / rate
    return job.created.deadline - now - needed
  }

  /** Stops all items at once. */
  stop (): void {
    this.#abort.abort()
  }

  /** Records results that are gathered, and resolves when the log has them. */
  async flush (): Promise<void> {
    await this.#buffer.flush()
  }

  async * #readItems (): AsyncGenerator<ReadyItem, undefined> {
    let first = 0
    for (const chunk of this.options.input.chunks) {
      if (this.#hasOpenItems(first, chunk.lines)) {
        const lines = await this.#readChunk(chunk)
        for (const [index, line] of lines.entries()) {
          if (this.stopped) {
            return
          }
          if (!this.job.done.has(first + index)) {
            yield { item: first + index, line }
          }
        }
      }
      first += chunk.lines
    }
  }

  #hasOpenItems (first: number, lines: number): boolean {
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
      this.options.logger.warn('input not readable', { job: this.job.created.job, error: lines.val })
      await sleep(readRetryMilliseconds, this.#abort.signal)
    }
    return []
  }

  /**
   * Writes the intent to run an item that may not be repeated; returns whether the fold shows
   * it under the claim in force. An item with an intent of an earlier claim may have run.
   */
  async #intend (item: BatchItem): Promise<boolean> {
    const { job, epoch, jobs, follower } = this.options
    if (job.intents.has(item.item)) {
      const message = 'the call may have run under a process that was lost, and is not repeated'
      this.#buffer.add(failedItem(item, ItemErrorCode.OutcomeUnknown, message))
      return false
    }
    const record = { type: RecordType.ItemsIntended, job: job.created.job, epoch, items: [item.item] } as const
    const appended = await jobs.append([record])
    // Until the fold shows the intent nobody knows whether it counts.
    while (appended.ok && !this.stopped && !await follower.waitFor(appended.val, intentMilliseconds)) {
      this.options.logger.warn('intent not confirmed yet', { job: job.created.job, item: item.item })
    }
    return !this.stopped && job.claim?.epoch === epoch && job.intents.get(item.item) === epoch
  }
}
