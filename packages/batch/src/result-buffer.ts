/** Buffers a job's results and records them in groups. */
import type { ChunkStore, LogWriter } from '@arbutusloft/daemon'
import { RecordType } from '@arbutusloft/protocol'
import type { ItemsCompleted } from '@arbutusloft/protocol'
import type { ItemResult } from './items/item-result.js'

/** Options of {@link ResultBuffer}. */
export interface ResultBufferOptions {
  readonly job: string
  readonly epoch: number
  readonly chunks: ChunkStore
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  /** Aborts when the job is cancelled or runs under another claim; buffered results are then discarded. */
  readonly signal: AbortSignal
}

const flushDelayMilliseconds = 250
const chunkWriteTimeoutMilliseconds = 30_000

/** Results that become one chunk and one record. */
interface ResultGroup {
  readonly subject: string
  readonly failed: boolean
  readonly results: ItemResult[]
  bytes: number
}

/**
 * Writes results to a chunk first and then appends the record that refers to the chunk. Keeps them in memory
 * until the log has acknowledged both, which covers outages of the log.
 */
export class ResultBuffer {
  readonly #groups = new Map<string, ResultGroup>()
  #timer: NodeJS.Timeout | null = null
  #flushing: Promise<void> = Promise.resolve()
  #bytes = 0

  constructor (private readonly options: ResultBufferOptions) {}

  /** Bytes of results that the log has not acknowledged. */
  get bytes (): number {
    return this.#bytes
  }

  /** Adds a result; it is recorded after a short delay, or when its group fills a chunk. */
  add (result: ItemResult): void {
    const bytes = Buffer.byteLength(result.line)
    const key = `${result.failed ? 1 : 0} ${result.subject}`
    let group = this.#groups.get(key)
    if (group !== undefined && !this.options.chunks.fits(group.results.length + 1, group.bytes + bytes)) {
      this.#flushGroup(key, group)
      group = undefined
    }
    if (group === undefined) {
      group = { subject: result.subject, failed: result.failed, results: [], bytes: 0 }
      this.#groups.set(key, group)
    }
    group.results.push(result)
    group.bytes += bytes
    this.#bytes += bytes
    this.#timer ??= setTimeout(() => { this.#flushAll() }, flushDelayMilliseconds)
  }

  /** Records all buffered results and resolves when the log has acknowledged them. */
  async flush (): Promise<void> {
    this.#flushAll()
    await this.#flushing
  }

  #flushAll (): void {
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
      this.#timer = null
    }
    for (const [key, group] of this.#groups) {
      this.#flushGroup(key, group)
    }
  }

  #flushGroup (key: string, group: ResultGroup): void {
    this.#groups.delete(key)
    // Groups are written one after another, so that one job doesn't use the whole rate of appends of this process.
    this.#flushing = this.#flushing.then(async () => { await this.#writeGroup(group) })
  }

  async #writeGroup (group: ResultGroup): Promise<void> {
    const { job, epoch, chunks, jobs, signal } = this.options
    // Retries until the log has taken the chunk, or the job is cancelled or taken over.
    while (!signal.aborted) {
      const chunk = await chunks.write(group.results.map(result => result.line), chunkWriteTimeoutMilliseconds, signal)
      if (chunk.ok) {
        const record: ItemsCompleted = {
          type: RecordType.ItemsCompleted,
          job,
          epoch,
          chunk: chunk.val,
          subject: group.subject,
          failed: group.failed,
          items: group.results.map(result => result.index),
          promptTokens: group.results.map(result => result.promptTokens),
          completionTokens: group.results.map(result => result.completionTokens)
        }
        await jobs.append([record])
        break
      }
    }
    this.#bytes -= group.bytes
  }
}
