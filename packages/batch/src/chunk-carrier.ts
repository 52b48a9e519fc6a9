/** Copies old chunks to the end of the chunks stream, before the log's retention deletes them. */
import type { ChunkStore, LogWriter, Logger } from '@arbutusloft/daemon'
import { RecordType } from '@arbutusloft/protocol'
import type { JobsFold, StoredChunk } from '@arbutusloft/state'

/** Options of {@link ChunkCarrier}. */
export interface ChunkCarrierOptions {
  readonly fold: JobsFold
  readonly chunks: ChunkStore
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  readonly logger: Logger
  /** Retention of the log: milliseconds after which it deletes an entry. */
  readonly retentionMilliseconds: number
  /** Whether this process is responsible for the chunks of a file or job. */
  readonly isOwner: (holder: string) => boolean
}

/** Age at which a chunk is copied, as a fraction of the retention. */
const carryPart = 0.5
const looksPerRetention = 8
const writeMilliseconds = 10_000

/**
 * Copies the chunks of stored files and job results once they are old. Two processes may copy the same chunk:
 * records refer to one copy, and the log's retention deletes the other.
 */
export class ChunkCarrier {
  readonly #timer: NodeJS.Timeout
  #carrying = false

  constructor (private readonly options: ChunkCarrierOptions) {
    this.#timer = setInterval(() => { void this.carry() }, options.retentionMilliseconds / looksPerRetention)
  }

  /** Copies every old chunk that this process is responsible for. Does nothing while an earlier call runs. */
  async carry (): Promise<void> {
    if (this.#carrying) {
      return
    }
    this.#carrying = true
    for (const [holder, chunk] of this.#oldChunks()) {
      await this.#carryOne(holder, chunk)
    }
    this.#carrying = false
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #oldChunks (): ReadonlyArray<readonly [string, StoredChunk]> {
    const { fold, isOwner, retentionMilliseconds } = this.options
    const oldest = Date.now() - retentionMilliseconds * carryPart
    const old: Array<readonly [string, StoredChunk]> = []
    const collect = (holder: string, chunks: readonly StoredChunk[]): void => {
      if (isOwner(holder)) {
        old.push(...chunks.filter(chunk => chunk.time < oldest).map(chunk => [holder, chunk] as const))
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

  async #carryOne (holder: string, chunk: StoredChunk): Promise<void> {
    const { chunks, jobs, logger } = this.options
    const from = chunk.offset
    const lines = await chunks.read(from)
    if (lines.err) {
      logger.error('cannot read a chunk that is due to be copied before retention deletes it', { holder, from, error: lines.val })
      return
    }
    const to = await chunks.write(lines.val, writeMilliseconds)
    if (to.ok) {
      await jobs.append([{ type: RecordType.ChunkMoved, holder, from, to: to.val }])
    }
  }
}
