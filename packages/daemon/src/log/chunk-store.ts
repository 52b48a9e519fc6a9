/** Bulk lines in the chunks stream. */
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
  /** The process's append budget. */
  readonly budget: PQueue
  /** Greatest entry of the log, in bytes. */
  readonly entryBytes: number
}

/** Bytes of an entry left for what stands around the lines. */
const overheadBytes = 4_096
const overheadBytesPerLine = 8
const greatestLines = 4_096

/** Writes and reads chunks. A chunk written twice is harmless: records refer to one copy. */
export class ChunkStore {
  constructor (private readonly options: ChunkStoreOptions) {}

  /** Whether lines with so many bytes in all fit one chunk. */
  fits (lines: number, bytes: number): boolean {
    return lines <= greatestLines && bytes + lines * overheadBytesPerLine + overheadBytes <= this.options.entryBytes
  }

  /** Writes a chunk and returns its offset; tries again until the time is over or the signal aborts. */
  async write (
    lines: readonly string[],
    timeoutMilliseconds: number,
    signal?: AbortSignal
  ): Promise<Result<number, ChunkError>> {
    const data = encodeChunk({ lines })
    const deadline = Date.now() + timeoutMilliseconds
    for (let attempt = 1; ; attempt++) {
      const result = await this.options.budget.add(async () => await this.options.log.append(StreamName.Chunks, data))
      if (result?.ok === true) {
        return Ok(result.val)
      }
      const wait = backoffMilliseconds(attempt, Math.random())
      const lasting = result?.err === true && result.val.code === LogErrorCode.TooLarge
      if (lasting || signal?.aborted === true || Date.now() + wait > deadline) {
        return Err(new ChunkError(`the log did not take a chunk: ${result?.err === true ? result.val.message : ''}`))
      }
      await sleep(wait, signal)
    }
  }

  /** Reads a chunk's lines. */
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
