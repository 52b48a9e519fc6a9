/** Copies old chunks to the end of the chunks stream, before the log's retention deletes them. */
import type { ChunkStore, LogWriter, Logger } from '@arbutusloft/daemon'
import { RecordType } from '@arbutusloft/protocol'
import type { JobsFold, StoredChunk } from '@arbutusloft/state'

/** Options of {@link ChunkCopier}. */
export interface ChunkCopierOptions {
  readonly fold: JobsFold
  readonly chunks: ChunkStore
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  readonly logger: Logger
  /** Retention of the log: milliseconds after which it deletes an entry. */
  readonly retentionMilliseconds: number
  /** Whether this process is responsible for the chunks of a file or job. */
  readonly isResponsible: (fileOrJob: string) => boolean
}

/** Age at which a chunk is copied, as a fraction of the retention. */
const copyAgeFraction = 0.5
const scansPerRetention = 8
const writeTimeoutMilliseconds = 10_000

/**
 * Copies the chunks of stored files and job results once they are old. Two processes may copy the same chunk:
 * records refer to one copy, and the log's retention deletes the other.
 */
export class ChunkCopier {
  readonly #timer: NodeJS.Timeout
  #copying = false

  constructor (private readonly options: ChunkCopierOptions) {
    this.#timer = setInterval(() => { void this.copyOldChunks() }, options.retentionMilliseconds / scansPerRetention)
  }

  /** Copies every old chunk that this process is responsible for. Does nothing while an earlier call runs. */
  async copyOldChunks (): Promise<void> {
    if (this.#copying) {
      return
    }
    this.#copying = true
    for (const [fileOrJob, chunk] of this.#findOldChunks()) {
      await this.#copyChunk(fileOrJob, chunk)
    }
    this.#copying = false
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #findOldChunks (): ReadonlyArray<readonly [string, StoredChunk]> {
    const { fold, isResponsible, retentionMilliseconds } = this.options
    const cutoffTime = Date.now() - retentionMilliseconds * copyAgeFraction
    const old: Array<readonly [string, StoredChunk]> = []
    const collect = (fileOrJob: string, chunks: readonly StoredChunk[]): void => {
      if (isResponsible(fileOrJob)) {
        old.push(...chunks.filter(chunk => chunk.time < cutoffTime).map(chunk => [fileOrJob, chunk] as const))
      }
    }
    for (const [id, file] of fold.files) {
      collect(id, file.chunks)
    }
    for (const [id, job] of fold.jobs) {
      collect(id, job.results)
    }
    return old
  }

  async #copyChunk (fileOrJob: string, chunk: StoredChunk): Promise<void> {
    const { chunks, jobs, logger } = this.options
    const from = chunk.offset
    const lines = await chunks.read(from)
    if (lines.err) {
      logger.error('cannot read a chunk that is due to be copied before retention deletes it', { holder: fileOrJob, from, error: lines.val })
      return
    }
    const to = await chunks.write(lines.val, writeTimeoutMilliseconds)
    if (to.ok) {
      await jobs.append([{ type: RecordType.ChunkMoved, holder: fileOrJob, from, to: to.val }])
    }
  }
}
