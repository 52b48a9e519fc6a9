/** Handlers of `/v1/batches`. */
import type { Settings } from '@arbutusloft/configuration'
import type { LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { isGenerationPath } from '@arbutusloft/adapters'
import { createIdentifier, RecordType } from '@arbutusloft/protocol'
import type { JobCreated } from '@arbutusloft/protocol'
import { JobStatus } from '@arbutusloft/state'
import type { JobsFold, JobState } from '@arbutusloft/state'
import { z } from 'zod'
import { ApiError, ApiErrorType, invalidRequest, notFound, ExecutionOutcome } from '../http/api-error.js'
import { findFile } from '../files/file-object.js'
import { appendAndWait } from '../http/append-and-wait.js'
import { findWithCatchUp } from '../http/find-with-catch-up.js'
import { paginate } from '../http/paginate.js'
import { readJson } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'
import { idempotencyKeyOf } from '../pipeline/exchange.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import { batchObject } from './batch-object.js'

/** Options of {@link BatchesHandler}. */
export interface BatchesHandlerOptions {
  readonly settings: Settings
  readonly fold: JobsFold
  readonly follower: StreamFollower
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
}

const maximumMetadataPairs = 16
const windowPattern = /^(\d{1,4})(m|h|d)$/
const servicePattern = /^\/v1\/services\/([^/]+)\//

const millisecondsPerUnit: Readonly<Record<string, number>> = {
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000
}

const createSchema = z.object({
  input_file_id: z.string().min(1),
  endpoint: z.string().min(1),
  completion_window: z.string().regex(windowPattern, 'expected a time such as 24h'),
  metadata: z.record(z.string().max(64), z.string().max(512)).nullish()
})

type CreateBody = z.infer<typeof createSchema>

/** Creates, lists, shows and cancels batches. */
export class BatchesHandler {
  constructor (private readonly options: BatchesHandlerOptions) {}

  async create (exchange: ClientExchange): Promise<void> {
    const body = parseCreateBody(await readJson(exchange.request, this.options.settings.limits.requestBytes))
    const idempotencyKey = idempotencyKeyOf(exchange)
    const existing = idempotencyKey === null ? null : this.options.fold.findJobByIdempotencyKey(exchange.client.name, idempotencyKey)
    if (existing !== null) {
      sendJson(exchange.response, batchObject(requireSameBatch(existing, body)))
      return
    }
    await this.#checkInput(exchange, body)
    const record = createRecord(exchange, body, idempotencyKey)
    await appendAndWait(this.options.jobs, this.options.follower, [record])
    // The record of a resend through another entry may precede this one in the log; the job it created is then the response.
    const job = this.options.fold.jobs.get(record.job) ??
      (idempotencyKey === null ? null : this.options.fold.findJobByIdempotencyKey(exchange.client.name, idempotencyKey))
    if (job === null) {
      throw notFound(`the file "${body.input_file_id}" was deleted meanwhile`)
    }
    sendJson(exchange.response, batchObject(requireSameBatch(job, body)))
  }

  async list (exchange: ClientExchange): Promise<void> {
    const jobs = [...this.options.fold.jobs.values()]
      .filter(job => job.created.client === exchange.client.name)
      .map(batchObject)
      .reverse()
    sendJson(exchange.response, paginate(jobs, exchange.query))
  }

  async get (exchange: ClientExchange): Promise<void> {
    sendJson(exchange.response, batchObject(await this.#findJob(exchange)))
  }

  async cancel (exchange: ClientExchange): Promise<void> {
    const job = await this.#findJob(exchange)
    if (job.status === JobStatus.InProgress) {
      const client = exchange.client.name
      const record = { type: RecordType.JobCancelled, job: job.created.job, client, cancelledAt: Date.now() } as const
      await appendAndWait(this.options.jobs, this.options.follower, [record])
    }
    if (job.status === JobStatus.Completed) {
      throw new ApiError(409, ApiErrorType.Conflict, 'the batch was completed before it could be cancelled')
    }
    sendJson(exchange.response, batchObject(job))
  }

  async #findJob (exchange: ClientExchange): Promise<JobState> {
    const id = exchange.parameters['batch'] ?? ''
    return await findWithCatchUp(this.options.follower, notFound(`there is no batch "${id}"`), () => {
      const job = this.options.fold.jobs.get(id)
      return job?.created.client === exchange.client.name ? job : null
    })
  }

  async #checkInput (exchange: ClientExchange, body: CreateBody): Promise<void> {
    const missing = invalidRequest(`there is no file "${body.input_file_id}"`, 'input_file_id')
    await findWithCatchUp(this.options.follower, missing, () => {
      return findFile(this.options.fold, exchange.client.name, body.input_file_id)
    })
    const service = servicePattern.exec(body.endpoint)?.[1]
    const allowed = isGenerationPath(body.endpoint) || (service !== undefined && exchange.plan.services.includes(service))
    if (!allowed) {
      throw invalidRequest('expected /v1/chat/completions, /v1/completions or /v1/services/SERVICE/PATH with a service of your plan', 'endpoint')
    }
  }
}

function parseCreateBody (body: Record<string, unknown>): CreateBody {
  const parsed = createSchema.safeParse(body)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    const parameter = issue?.path.join('.') ?? ''
    throw invalidRequest(`"${parameter}": ${issue?.message ?? 'not valid'}`, parameter)
  }
  if (Object.keys(parsed.data.metadata ?? {}).length > maximumMetadataPairs) {
    throw invalidRequest(`expected at most ${maximumMetadataPairs} pairs`, 'metadata')
  }
  return parsed.data
}

function createRecord (exchange: ClientExchange, body: CreateBody, idempotencyKey: string | null): JobCreated {
  const now = Date.now()
  return {
    type: RecordType.JobCreated,
    job: createIdentifier('batch'),
    client: exchange.client.name,
    idempotencyKey,
    inputFile: body.input_file_id,
    endpoint: body.endpoint,
    deadline: now + windowMilliseconds(body.completion_window),
    completionWindow: body.completion_window,
    metadata: body.metadata ?? {},
    createdAt: now
  }
}

function windowMilliseconds (window: string): number {
  const [, count = '', unit = ''] = windowPattern.exec(window) ?? []
  return Number(count) * (millisecondsPerUnit[unit] ?? 0)
}

/** Returns the job if it has the body's input file and endpoint; throws a 409 error for a key that was used for another batch. */
function requireSameBatch (job: JobState, body: CreateBody): JobState {
  if (job.created.inputFile !== body.input_file_id || job.created.endpoint !== body.endpoint) {
    throw new ApiError(409, ApiErrorType.Conflict, 'the Idempotency-Key was used for another batch', {
      code: 'idempotency_key_reused',
      run: ExecutionOutcome.NotRun
    })
  }
  return job
}
