/** Handlers of `/v1/files`. */
import type { Settings } from '@arbutusloft/configuration'
import type { ChunkStore, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { createIdentifier, FilePurpose, RecordType } from '@arbutusloft/protocol'
import type { FileCreated, LogRecord } from '@arbutusloft/protocol'
import type { JobsFold } from '@arbutusloft/state'
import { ApiError, ApiErrorType, invalidRequest, notFound, ExecutionOutcome } from '../http/api-error.js'
import { appendAndWait } from '../http/append-and-wait.js'
import { findWithCatchUp } from '../http/find-with-catch-up.js'
import { sendJson } from '../http/send-json.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import { paginate } from '../http/paginate.js'
import { FileChunker } from './file-chunker.js'
import { findFile, uploadedFileView } from './file-object.js'
import type { ContentPart, FileView } from './file-object.js'
import { receiveUpload } from './receive-upload.js'

/** Options of {@link FilesHandler}. */
export interface FilesHandlerOptions {
  readonly settings: Settings
  readonly fold: JobsFold
  readonly follower: StreamFollower
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  readonly chunks: ChunkStore
}

const catchUpTimeoutMilliseconds = 2_000

/** Handles the upload, listing, download and deletion of files. */
export class FilesHandler {
  constructor (private readonly options: FilesHandlerOptions) {}

  async create (exchange: ClientExchange): Promise<void> {
    const { limits } = this.options.settings
    const chunker = new FileChunker({ chunks: this.options.chunks, ...limits })
    const upload = await receiveUpload(exchange.request, chunker)
    if (upload.purpose !== FilePurpose.Batch) {
      throw invalidRequest('the purpose must be "batch"', 'purpose')
    }
    const record: FileCreated = {
      type: RecordType.FileCreated,
      file: createIdentifier('file'),
      client: exchange.client.name,
      name: upload.name,
      purpose: FilePurpose.Batch,
      bytes: upload.stored.bytes,
      chunks: upload.stored.chunks,
      createdAt: Date.now()
    }
    await this.#append([record])
    sendJson(exchange.response, (await this.#findFile(exchange, record.file)).object)
  }

  async list (exchange: ClientExchange): Promise<void> {
    const files = [...this.options.fold.files.values()]
      .filter(file => file.created.client === exchange.client.name)
      .map(file => uploadedFileView(file).object)
      .reverse()
    sendJson(exchange.response, paginate(files, exchange.query))
  }

  async get (exchange: ClientExchange): Promise<void> {
    sendJson(exchange.response, (await this.#findFile(exchange)).object)
  }

  async remove (exchange: ClientExchange): Promise<void> {
    const { id } = (await this.#findFile(exchange)).object
    await this.#append([{ type: RecordType.FileDeleted, file: id, client: exchange.client.name }])
    if (this.options.fold.files.has(id)) {
      throw new ApiError(409, ApiErrorType.Conflict, 'a batch in progress still reads the file; cancel it first', { run: ExecutionOutcome.NotRun })
    }
    sendJson(exchange.response, { id, object: 'file', deleted: true })
  }

  /** Sends the content chunk by chunk, so that the whole file is never in memory. */
  async content (exchange: ClientExchange): Promise<void> {
    const { response } = exchange
    const file = await this.#findAfterCatchUp(exchange)
    for (const part of file.parts) {
      const text = await this.#readPart(part)
      if (!response.headersSent) {
        response.writeHead(200, { 'content-type': 'application/jsonl' })
      }
      if (!response.write(text)) {
        await waitForDrain(exchange)
      }
    }
    response.end()
  }

  /**
   * Finds the file, after catching up with the log if the file is not complete: another entry may already have shown
   * the job as ended, and partial results must then not be taken for the complete file.
   */
  async #findAfterCatchUp (exchange: ClientExchange): Promise<FileView> {
    const file = await this.#findFile(exchange)
    if (file.final) {
      return file
    }
    if (!await this.options.follower.catchUp(catchUpTimeoutMilliseconds)) {
      throw new ApiError(503, ApiErrorType.Unavailable, 'the content cannot be read while the platform\'s log is out of reach', {
        retryAfterMilliseconds: catchUpTimeoutMilliseconds
      })
    }
    return await this.#findFile(exchange)
  }

  async #readPart (part: ContentPart): Promise<string> {
    const read = await this.options.chunks.read(part.chunk.offset)
    if (read.err) {
      throw new ApiError(503, ApiErrorType.Unavailable, `the content cannot be read now: ${read.val.message}`)
    }
    const lines = part.lines === null ? read.val : part.lines.map(line => read.val[line] ?? '')
    return lines.map(line => `${line}\n`).join('')
  }

  async #findFile (exchange: ClientExchange, id = exchange.parameters['file'] ?? ''): Promise<FileView> {
    return await findWithCatchUp(this.options.follower, notFound(`there is no file "${id}"`), () => {
      return findFile(this.options.fold, exchange.client.name, id)
    })
  }

  async #append (records: readonly LogRecord[]): Promise<void> {
    await appendAndWait(this.options.jobs, this.options.follower, records)
  }
}

async function waitForDrain (exchange: ClientExchange): Promise<void> {
  await new Promise<void>(resolve => {
    exchange.response.once('drain', resolve)
    exchange.response.once('close', resolve)
  })
}
