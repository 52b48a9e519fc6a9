/** Splits uploads into chunks while they arrive. */
import { StringDecoder } from 'node:string_decoder'
import type { ChunkStore } from '@arbutusloft/daemon'
import type { ChunkReference } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, invalidRequest, ExecutionOutcome } from '../http/api-error.js'

/** Options of {@link FileChunker}. */
export interface FileChunkerOptions {
  readonly chunks: ChunkStore
  /** Maximum size of a file, in bytes. */
  readonly fileBytes: number
  /** Maximum length of a line, counted in UTF-16 code units. */
  readonly itemBytes: number
  /** Maximum number of lines in a file. */
  readonly jobItems: number
}

/** A file whose lines are in the chunks stream. */
export interface StoredFile {
  readonly bytes: number
  readonly chunks: readonly ChunkReference[]
}

const chunkWriteTimeoutMilliseconds = 10_000

/** Writes a file's non-empty lines to the chunks stream, with at most one chunk in memory. */
export class FileChunker {
  readonly #decoder = new StringDecoder('utf8')
  readonly #chunks: ChunkReference[] = []
  #partialLine = ''
  #bufferedLines: string[] = []
  #bufferedBytes = 0
  #fileBytes = 0
  #lineCount = 0

  constructor (private readonly options: FileChunkerOptions) {}

  /** Adds the next bytes of the file; resolves when the complete chunks are written. */
  async write (bytes: Buffer): Promise<void> {
    this.#fileBytes += bytes.byteLength
    if (this.#fileBytes > this.options.fileBytes) {
      throw new ApiError(413, ApiErrorType.InvalidRequest, `the file exceeds ${this.options.fileBytes} bytes`, { run: ExecutionOutcome.NotRun })
    }
    const lines = (this.#partialLine + this.#decoder.write(bytes)).split('\n')
    this.#partialLine = lines.pop() ?? ''
    for (const line of lines) {
      await this.#addLine(line)
    }
    this.#checkLine(this.#partialLine)
  }

  /** Writes what remains after the last byte, and returns references to all chunks. */
  async finish (): Promise<StoredFile> {
    await this.#addLine(this.#partialLine + this.#decoder.end())
    await this.#flush()
    if (this.#lineCount === 0) {
      throw invalidRequest('the file has no lines', 'file')
    }
    return { bytes: this.#fileBytes, chunks: this.#chunks }
  }

  async #addLine (text: string): Promise<void> {
    const line = text.trim()
    if (line === '') {
      return
    }
    this.#checkLine(line)
    this.#lineCount += 1
    if (this.#lineCount > this.options.jobItems) {
      throw invalidRequest(`the file has more than ${this.options.jobItems} lines; divide it`, 'file')
    }
    const bytes = Buffer.byteLength(line)
    if (!this.options.chunks.fits(this.#bufferedLines.length + 1, this.#bufferedBytes + bytes)) {
      await this.#flush()
    }
    this.#bufferedLines.push(line)
    this.#bufferedBytes += bytes
  }

  #checkLine (line: string): void {
    if (line.length > this.options.itemBytes) {
      throw invalidRequest(`line ${this.#lineCount + 1} exceeds ${this.options.itemBytes} bytes`, 'file')
    }
  }

  async #flush (): Promise<void> {
    if (this.#bufferedLines.length === 0) {
      return
    }
    const written = await this.options.chunks.write(this.#bufferedLines, chunkWriteTimeoutMilliseconds)
    if (written.err) {
      // No record refers to the chunks that are already written; the log's retention deletes them.
      throw new ApiError(503, ApiErrorType.Unavailable, 'the file cannot be stored now; nothing was kept of it', {
        run: ExecutionOutcome.NotRun,
        retryAfterMilliseconds: chunkWriteTimeoutMilliseconds
      })
    }
    this.#chunks.push({ offset: written.val, lines: this.#bufferedLines.length })
    this.#bufferedLines = []
    this.#bufferedBytes = 0
  }
}
