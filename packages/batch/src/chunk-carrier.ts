/** Copies chunks forward before the log's retention takes them. */
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
  /** Milliseconds after which the log drops an entry. */
  readonly retentionMilliseconds: number
  /** Whether a file's or job's chunks are this process's to carry. */
  readonly isOwner: (holder: string) => boolean
}

/** Part of the retention after which a chunk is carried. */
const carryPart = 0.5
const looksPerRetention = 8
const writeMilliseconds = 10_000

/** Looks regularly for chunks that have become old. Two copies of a chunk are harmless. */
export class ChunkCarrier {
  readonly #timer: NodeJS.Timeout
  #carrying = false

  constructor (private readonly options: ChunkCarrierOptions) {
    this.#timer = setInterval(() => { void this.carry() }, options.retentionMilliseconds / looksPerRetention)
  }

  /** Carries every old chunk that is this process's; calls during one change nothing. */
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
      logger.error('chunk not carried', { holder, from, error: lines.val })
      return
    }
    const to = await chunks.write(lines.val, writeMilliseconds)
    if (to.ok) {
      await jobs.append([{ type: RecordType.ChunkMoved, holder, from, to: to.val }])
    }
  }
}
