/** Storage of the lines of files and results in the chunks stream. */
import { LogErrorCode } from '@arbutusloft/adapters'
import type { LogService } from '@arbutusloft/adapters'
import { backoffMilliseconds } from '@arbutusloft/policy'
import { decodeChunk, encodeChunk, StreamName } from '@arbutusloft/protocol'
import type PQueue from 'p-queue'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { sleep } from '../util/sleep.js'

const { Ok, Err } = tsResults

/** A chunk could not be written or read. */
export class ChunkError extends Error {
  override readonly name = 'ChunkError'
}

/** Options of {@link ChunkStore}. */
export interface ChunkStoreOptions {
  readonly log: LogService
  /** Queue that keeps the appends of the process within its rate limit. */
  readonly appendQueue: PQueue
  /** Maximum size of a log entry in bytes. */
  readonly entryBytes: number
}

/** Bytes of an entry reserved for the encoding around the lines. */
const chunkOverheadBytes = 4_096
/** Bytes reserved for the encoding of each line. */
const overheadBytesPerLine = 8
/** Maximum number of lines in a chunk. */
const maximumLinesPerChunk = 4_096

/** Writes and reads chunks. A retry may write a chunk twice, which is harmless because records refer to one copy by its offset. */
export class ChunkStore {
  constructor (private readonly options: ChunkStoreOptions) {}

  /**
   * Returns whether lines fit into one chunk.
   *
   * @param lines number of lines
   * @param bytes total size of the lines
   */
  fits (lines: number, bytes: number): boolean {
    return lines <= maximumLinesPerChunk && bytes + lines * overheadBytesPerLine + chunkOverheadBytes <= this.options.entryBytes
  }

  /** Writes a chunk and returns its offset; retries with backoff until the timeout or until the signal aborts, unless the log rejects the chunk as too large. */
  async write (
    lines: readonly string[],
    timeoutMilliseconds: number,
    signal?: AbortSignal
  ): Promise<Result<number, ChunkError>> {
    const data = encodeChunk({ lines })
    const deadline = Date.now() + timeoutMilliseconds
    for (let attempt = 1; ; attempt++) {
      const result = await this.options.appendQueue.add(async () => await this.options.log.append(StreamName.Chunks, data))
      if (result?.ok === true) {
        return Ok(result.val)
      }
      const wait = backoffMilliseconds(attempt, Math.random())
      const isPermanent = result?.err === true && result.val.code === LogErrorCode.TooLarge
      if (isPermanent || signal?.aborted === true || Date.now() + wait > deadline) {
        return Err(new ChunkError(`a chunk of ${data.byteLength} bytes could not be appended to the log in ${attempt} attempts: ${result?.err === true ? result.val.message : 'the append queue returned no result'}`))
      }
      await sleep(wait, signal)
    }
  }

  /** Reads the lines of the chunk at an offset. */
  async read (offset: number): Promise<Result<readonly string[], ChunkError>> {
    const page = await this.options.log.read(StreamName.Chunks, { from: offset, limit: 1, waitMilliseconds: 0 })
    if (page.err) {
      return Err(new ChunkError(page.val.message, { cause: page.val }))
    }
    const entry = page.val.entries[0]
    if (entry?.offset !== offset) {
      return Err(new ChunkError(`the log no longer has chunk ${offset}`))
    }
    const chunk = decodeChunk(entry.data)
    return chunk.ok ? Ok(chunk.val.lines) : Err(new ChunkError(chunk.val.message, { cause: chunk.val }))
  }
}
