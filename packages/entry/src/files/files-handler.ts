/** Handlers of `/v1/files`. */
import type { Settings } from '@arbutusloft/configuration'
import type { ChunkStore, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { createIdentifier, FilePurpose, RecordType } from '@arbutusloft/protocol'
import type { FileCreated, LogRecord } from '@arbutusloft/protocol'
import type { JobsFold } from '@arbutusloft/state'
import { ApiError, ApiErrorType, invalidRequest, notFound, RunState } from '../http/api-error.js'
import { appendAndWait } from '../http/append-and-wait.js'
import { findFresh } from '../http/find-fresh.js'
import { sendJson } from '../http/send-json.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import { paginate } from '../http/paginate.js'
import { FileIntake } from './file-intake.js'
import { findFile, uploadedFile } from './file-object.js'
import type { ContentPart, VisibleFile } from './file-object.js'
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

const catchUpMilliseconds = 2_000

/** Handles the upload, listing, download and deletion of files. */
export class FilesHandler {
  constructor (private readonly options: FilesHandlerOptions) {}

  async create (exchange: ClientExchange): Promise<void> {
    const { limits } = this.options.settings
    const intake = new FileIntake({ chunks: this.options.chunks, ...limits })
    const upload = await receiveUpload(exchange.request, intake)
    if (upload.purpose !== FilePurpose.Batch) {
      throw invalidRequest('expected the purpose "batch"', 'purpose')
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
    sendJson(exchange.response, (await this.#find(exchange, record.file)).object)
  }

  async list (exchange: ClientExchange): Promise<void> {
    const files = [...this.options.fold.files.values()]
      .filter(file => file.created.client === exchange.client.name)
      .map(file => uploadedFile(file).object)
      .reverse()
    sendJson(exchange.response, paginate(files, exchange.query))
  }

  async get (exchange: ClientExchange): Promise<void> {
    sendJson(exchange.response, (await this.#find(exchange)).object)
  }

  async remove (exchange: ClientExchange): Promise<void> {
    const { id } = (await this.#find(exchange)).object
    await this.#append([{ type: RecordType.FileDeleted, file: id, client: exchange.client.name }])
    if (this.options.fold.files.has(id)) {
      throw new ApiError(409, ApiErrorType.Conflict, 'a batch in progress reads the file; cancel the batch first', { run: RunState.NotRun })
    }
    sendJson(exchange.response, { id, object: 'file', deleted: true })
  }

  /** Sends the content chunk by chunk, so that the whole file is never in memory. */
  async content (exchange: ClientExchange): Promise<void> {
    const { response } = exchange
    const file = await this.#findCurrent(exchange)
    for (const part of file.parts) {
      const text = await this.#textOf(part)
      if (!response.headersSent) {
        response.writeHead(200, { 'content-type': 'application/jsonl' })
      }
      if (!response.write(text)) {
        await drained(exchange)
      }
    }
    response.end()
  }

  /**
   * Finds the file, after catching up with the log if the file is not complete: another entry may already have shown
   * the job as ended, and partial results must then not be taken for the complete file.
   */
  async #findCurrent (exchange: ClientExchange): Promise<VisibleFile> {
    const file = await this.#find(exchange)
    if (file.final) {
      return file
    }
    if (!await this.options.follower.catchUp(catchUpMilliseconds)) {
      throw new ApiError(503, ApiErrorType.Unavailable, 'the content of the file cannot be read while the platform\'s log is unreachable', {
        retryAfterMilliseconds: catchUpMilliseconds
      })
    }
    return await this.#find(exchange)
  }

  async #textOf (part: ContentPart): Promise<string> {
    const read = await this.options.chunks.read(part.chunk.offset)
    if (read.err) {
      throw new ApiError(503, ApiErrorType.Unavailable, `the content of the file cannot be read: ${read.val.message}`)
    }
    const lines = part.lines === null ? read.val : part.lines.map(line => read.val[line] ?? '')
    return lines.map(line => `${line}\n`).join('')
  }

  async #find (exchange: ClientExchange, id = exchange.parameters['file'] ?? ''): Promise<VisibleFile> {
    return await findFresh(this.options.follower, notFound(`there is no file "${id}"`), () => {
      return findFile(this.options.fold, exchange.client.name, id)
    })
  }

  async #append (records: readonly LogRecord[]): Promise<void> {
    await appendAndWait(this.options.jobs, this.options.follower, records)
  }
}

async function drained (exchange: ClientExchange): Promise<void> {
  await new Promise<void>(resolve => {
    exchange.response.once('drain', resolve)
    exchange.response.once('close', resolve)
  })
}
