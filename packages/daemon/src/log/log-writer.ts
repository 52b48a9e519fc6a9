/** Appending of records to a stream in batches, each retried until the log acknowledges it. */
import { LogErrorCode } from '@arbutusloft/adapters'
import type { LogService } from '@arbutusloft/adapters'
import { backoffMilliseconds } from '@arbutusloft/policy'
import { encode, encodeRecordBatch } from '@arbutusloft/protocol'
import type { LogRecord } from '@arbutusloft/protocol'
import { maximumRecordsPerEntry } from '@arbutusloft/state'
import type PQueue from 'p-queue'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import type { Logger } from '../create-logger.js'
import { settleWithin } from '../util/settle-within.js'
import { sleep } from '../util/sleep.js'
import { AppendError, AppendErrorCode } from './append-error.js'

const { Ok, Err } = tsResults

/** Options of {@link LogWriter}. */
export interface LogWriterOptions {
  readonly log: LogService
  readonly stream: string
  /** Incarnation of the writing process. */
  readonly writer: string
  /** Queue that keeps the appends of the process within its rate limit; all writers share it. */
  readonly appendQueue: PQueue
  readonly logger: Logger
  /** Maximum size of a log entry in bytes. */
  readonly entryBytes: number
  /** Maximum bytes of unacknowledged records; further appends are rejected. */
  readonly maximumPendingBytes?: number
}

/** Records that the log has not acknowledged. */
interface PendingAppend {
  readonly records: readonly LogRecord[]
  readonly bytes: number
  readonly settle: (result: Result<number, AppendError>) => void
  /** Whether an append with these records has begun, so that they may be in the log. */
  attempted: boolean
}

const defaultMaximumPendingBytes = 16_777_216

/**
 * Appends entries one after the other, each with the next sequence number. An entry whose
 * acknowledgement is lost is appended again; folds deduplicate it by its sequence number.
 */
export class LogWriter {
  #pendingAppends: PendingAppend[] = []
  #pendingBytes = 0
  #sequence = 0
  #appendLoop: Promise<void> | null = null
  readonly #abort = new AbortController()

  constructor (private readonly options: LogWriterOptions) {}

  /** Bytes of records that the log has not acknowledged. */
  get backlogBytes (): number {
    return this.#pendingBytes
  }

  /**
   * Appends records within one entry and resolves with its offset once the log has acknowledged it.
   *
   * @param timeoutMilliseconds after this time the append fails: with {@link AppendErrorCode.NotAppended} if
   * it has not begun, otherwise with {@link AppendErrorCode.Unknown}; null waits without a limit
   */
  async append (
    records: readonly LogRecord[],
    timeoutMilliseconds: number | null = null
  ): Promise<Result<number, AppendError>> {
    const bytes = encode(records).byteLength
    if (this.#pendingBytes + bytes > (this.options.maximumPendingBytes ?? defaultMaximumPendingBytes)) {
      return Err(new AppendError(AppendErrorCode.NotAppended, `records of ${bytes} bytes for stream ${this.options.stream} rejected: ${this.#pendingBytes} bytes are unacknowledged, limit ${this.options.maximumPendingBytes ?? defaultMaximumPendingBytes}`))
    }
    return await new Promise(resolve => {
      const pending: PendingAppend = { records, bytes, settle: resolve, attempted: false }
      this.#pendingAppends.push(pending)
      this.#pendingBytes += bytes
      if (timeoutMilliseconds !== null) {
        this.#startTimeout(pending, timeoutMilliseconds, resolve)
      }
      this.#appendLoop ??= this.#appendAllPending()
    })
  }

  /** Waits until all records are acknowledged or the time has passed, then stops appending. */
  async close (timeoutMilliseconds: number): Promise<void> {
    if (this.#appendLoop !== null) {
      await settleWithin(this.#appendLoop, timeoutMilliseconds)
    }
    this.#abort.abort()
  }

  #startTimeout (
    pending: PendingAppend,
    timeoutMilliseconds: number,
    resolve: (result: Result<number, AppendError>) => void
  ): void {
    const timer = setTimeout(() => {
      if (pending.attempted) {
        resolve(Err(new AppendError(AppendErrorCode.Unknown, `the log did not acknowledge the records within ${timeoutMilliseconds} ms`)))
        return
      }
      this.#pendingAppends = this.#pendingAppends.filter(candidate => candidate !== pending)
      this.#pendingBytes -= pending.bytes
      resolve(Err(new AppendError(AppendErrorCode.NotAppended, `the records could not be appended within ${timeoutMilliseconds} ms`)))
    }, timeoutMilliseconds)
    timer.unref()
  }

  async #appendAllPending (): Promise<void> {
    // Defers to a microtask, so that all records passed synchronously share an entry.
    await Promise.resolve()
    while (this.#pendingAppends.length > 0 && !this.#abort.signal.aborted) {
      await this.options.appendQueue.add(async () => { await this.#appendNextBatch() })
    }
    this.#appendLoop = null
  }

  async #appendNextBatch (): Promise<void> {
    const batch = this.#takeBatch()
    if (batch.length === 0) {
      return
    }
    this.#sequence += 1
    const data = encodeRecordBatch({
      writer: this.options.writer,
      sequence: this.#sequence,
      records: batch.flatMap(pending => pending.records)
    })
    const offset = await this.#appendUntilAcknowledged(data)
    for (const pending of batch) {
      this.#pendingBytes -= pending.bytes
      pending.settle(offset)
    }
  }

  #takeBatch (): readonly PendingAppend[] {
    const batch: PendingAppend[] = []
    let bytes = 0
    let records = 0
    while (this.#pendingAppends.length > 0) {
      const next = this.#pendingAppends[0]
      if (next === undefined) {
        break
      }
      bytes += next.bytes
      records += next.records.length
      if (batch.length > 0 && (bytes > this.options.entryBytes || records > maximumRecordsPerEntry)) {
        break
      }
      next.attempted = true
      batch.push(next)
      this.#pendingAppends.shift()
    }
    return batch
  }

  async #appendUntilAcknowledged (data: Uint8Array): Promise<Result<number, AppendError>> {
    for (let attempt = 1; !this.#abort.signal.aborted; attempt++) {
      const result = await this.options.log.append(this.options.stream, data)
      if (result.ok) {
        return Ok(result.val)
      }
      if (result.val.code === LogErrorCode.TooLarge) {
        this.options.logger.error('the log rejected an entry as too large; its records are not appended', { bytes: data.byteLength })
        return Err(new AppendError(AppendErrorCode.NotAppended, result.val.message))
      }
      this.options.logger.warn('append failed', { stream: this.options.stream, attempt, error: result.val })
      await sleep(backoffMilliseconds(attempt, Math.random()), this.#abort.signal)
    }
    return Err(new AppendError(AppendErrorCode.Unknown, 'the writer was closed before the log acknowledged the records'))
  }
}
