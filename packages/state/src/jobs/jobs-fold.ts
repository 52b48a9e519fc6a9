/** The fold of the jobs stream: files, jobs, claims and completions of items. */
import { addUsage, FilePurpose, RecordType } from '@arbutusloft/protocol'
import type {
  ChunkMoved,
  FileCreated,
  FileDeleted,
  ItemsCompleted,
  ItemsIntended,
  JobCancelled,
  JobClaimed,
  JobCreated,
  LogRecord
} from '@arbutusloft/protocol'
import type { Fold, RecordContext } from '../fold.js'
import { ChargeTable } from '../util/charge-table.js'
import { ItemSet } from '../util/item-set.js'
import { createJobState, JobStatus, toStoredChunks } from './job-state.js'
import type { FileState, JobState, StoredChunk } from './job-state.js'
import { deserializeJobs, serializeJobs } from './jobs-serialization.js'

/** Milliseconds of log time for which an ended job with its results, or an unused file, is kept. */
export const resultRetentionMilliseconds = 7 * 86_400_000

/**
 * The state of all files and jobs. Whether a record is accepted depends only on the records before
 * it in the stream, so all processes come to the same state. The position of a job's last claim is
 * the epoch (fencing token) of its items: records of an earlier claim are ignored.
 */
export class JobsFold implements Fold {
  #files = new Map<string, FileState>()
  #jobs = new Map<string, JobState>()
  #jobsByIdempotencyKey = new Map<string, string>()
  readonly #charges = new ChargeTable()

  get files (): ReadonlyMap<string, FileState> {
    return this.#files
  }

  get jobs (): ReadonlyMap<string, JobState> {
    return this.#jobs
  }

  get charges (): ChargeTable {
    return this.#charges
  }

  /** Returns the job that the client created with the idempotency key, or null. */
  findJobByIdempotencyKey (client: string, idempotencyKey: string): JobState | null {
    const job = this.#jobsByIdempotencyKey.get(clientScopedKey(client, idempotencyKey))
    return job === undefined ? null : this.#jobs.get(job) ?? null
  }

  apply (record: LogRecord, context: RecordContext): void {
    switch (record.type) {
      case RecordType.FileCreated:
        this.#createFile(record, context)
        break
      case RecordType.FileDeleted:
        this.#deleteFile(record)
        break
      case RecordType.JobCreated:
        this.#createJob(record, context)
        break
      case RecordType.JobClaimed:
        this.#claimJob(record, context)
        break
      case RecordType.JobCancelled:
        this.#cancelJob(record, context)
        break
      case RecordType.ItemsIntended:
        this.#recordIntents(record)
        break
      case RecordType.ItemsCompleted:
        this.#completeItems(record, context)
        break
      case RecordType.ChunkMoved:
        this.#moveChunk(record, context)
        break
      default:
        // Heartbeats and records of other streams do not change the state of jobs.
    }
  }

  prune (time: number): void {
    for (const [id, job] of this.#jobs) {
      if (job.endedAt !== null && time - job.endedAt > resultRetentionMilliseconds) {
        this.#jobs.delete(id)
        this.#removeIdempotencyKey(job)
      }
    }
    for (const [id, file] of this.#files) {
      if (time - file.time > resultRetentionMilliseconds && !this.#isFileInUse(id)) {
        this.#files.delete(id)
      }
    }
  }

  serialize (): unknown {
    return serializeJobs({ files: this.#files, jobs: this.#jobs, charges: this.#charges.lines() })
  }

  restore (state: unknown): void {
    const restored = deserializeJobs(state)
    this.#files = new Map(restored.files)
    this.#jobs = new Map(restored.jobs)
    this.#charges.restore(restored.charges)
    this.#jobsByIdempotencyKey = new Map()
    for (const job of this.#jobs.values()) {
      this.#addIdempotencyKey(job)
    }
  }

  #createFile (record: FileCreated, context: RecordContext): void {
    if (this.#files.has(record.file)) {
      return
    }
    const { type: _type, chunks, ...created } = record
    this.#files.set(record.file, {
      created,
      lines: chunks.reduce((sum, chunk) => sum + chunk.lines, 0),
      chunks: toStoredChunks(chunks, context.time),
      time: context.time
    })
  }

  #deleteFile (record: FileDeleted): void {
    const file = this.#files.get(record.file)
    if (file?.created.client === record.client && !this.#isFileInUse(record.file)) {
      this.#files.delete(record.file)
    }
  }

  #createJob (record: JobCreated, context: RecordContext): void {
    const file = this.#files.get(record.inputFile)
    if (file === undefined || file.created.client !== record.client || file.created.purpose !== FilePurpose.Batch) {
      return
    }
    if (this.#jobs.has(record.job) || this.#hasIdempotencyKey(record)) {
      return
    }
    const { type: _type, ...created } = record
    const job = createJobState(created, file.lines, context.time, new ItemSet())
    this.#jobs.set(record.job, job)
    this.#addIdempotencyKey(job)
    this.#completeJobIfDone(job, context)
  }

  #claimJob (record: JobClaimed, context: RecordContext): void {
    const job = this.#findJobInProgress(record.job)
    if (job !== null) {
      job.claim = { owner: record.owner, writer: context.writer, epoch: context.position }
      job.startedAt ??= context.time
    }
  }

  #cancelJob (record: JobCancelled, context: RecordContext): void {
    const job = this.#findJobInProgress(record.job)
    if (job !== null && job.created.client === record.client) {
      job.status = JobStatus.Cancelled
      job.endedAt = context.time
    }
  }

  #recordIntents (record: ItemsIntended): void {
    const job = this.#findJobInProgress(record.job)
    if (job === null || job.claim?.epoch !== record.epoch) {
      return
    }
    for (const item of record.items) {
      if (!job.done.has(item) && !job.intents.has(item)) {
        job.intents.set(item, record.epoch)
      }
    }
  }

  #completeItems (record: ItemsCompleted, context: RecordContext): void {
    const job = this.#findJobInProgress(record.job)
    if (job === null || job.claim?.epoch !== record.epoch) {
      return
    }
    const acceptedLines: number[] = []
    record.items.forEach((item, line) => {
      if (item < job.total && job.done.add(item)) {
        acceptedLines.push(line)
        this.#chargeItem(job, record, line)
      }
    })
    if (acceptedLines.length === 0) {
      return
    }
    job.failed += record.failed ? acceptedLines.length : 0
    job.results.push({
      offset: record.chunk,
      lines: record.items.length,
      time: context.time,
      failed: record.failed,
      // Null means that all lines count.
      accepted: acceptedLines.length === record.items.length ? null : acceptedLines
    })
    this.#completeJobIfDone(job, context)
  }

  #chargeItem (job: JobState, record: ItemsCompleted, line: number): void {
    if (record.failed) {
      return
    }
    const usage = {
      requests: 1,
      promptTokens: record.promptTokens[line] ?? 0,
      completionTokens: record.completionTokens[line] ?? 0
    }
    job.usage = addUsage(job.usage, usage)
    this.#charges.add(job.created.client, record.subject, usage)
  }

  #completeJobIfDone (job: JobState, context: RecordContext): void {
    if (job.done.size === job.total) {
      job.status = JobStatus.Completed
      job.endedAt = context.time
    }
  }

  #moveChunk (record: ChunkMoved, context: RecordContext): void {
    const chunks: readonly StoredChunk[] = [
      ...this.#files.get(record.holder)?.chunks ?? [],
      ...this.#jobs.get(record.holder)?.results ?? []
    ]
    for (const chunk of chunks) {
      if (chunk.offset === record.from) {
        chunk.offset = record.to
        chunk.time = context.time
      }
    }
  }

  #findJobInProgress (id: string): JobState | null {
    const job = this.#jobs.get(id)
    return job?.status === JobStatus.InProgress ? job : null
  }

  #isFileInUse (file: string): boolean {
    for (const job of this.#jobs.values()) {
      if (job.created.inputFile === file && job.status === JobStatus.InProgress) {
        return true
      }
    }
    return false
  }

  #hasIdempotencyKey (record: JobCreated): boolean {
    return record.idempotencyKey !== null && this.#jobsByIdempotencyKey.has(clientScopedKey(record.client, record.idempotencyKey))
  }

  #addIdempotencyKey (job: JobState): void {
    if (job.created.idempotencyKey !== null) {
      this.#jobsByIdempotencyKey.set(clientScopedKey(job.created.client, job.created.idempotencyKey), job.created.job)
    }
  }

  #removeIdempotencyKey (job: JobState): void {
    if (job.created.idempotencyKey !== null) {
      this.#jobsByIdempotencyKey.delete(clientScopedKey(job.created.client, job.created.idempotencyKey))
    }
  }
}

function clientScopedKey (client: string, idempotencyKey: string): string {
  return `${client}\n${idempotencyKey}`
}
