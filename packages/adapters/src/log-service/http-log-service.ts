/** HTTP client for the log service. */
import { withTimeLimit } from '@arbutusloft/protocol'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { z } from 'zod'
import { LogError, LogErrorCode } from './log-service.js'
import type { LogEntry, LogPage, LogService, ReadOptions } from './log-service.js'

const { Ok, Err } = tsResults

/** Options of {@link createHttpLogService}. */
export interface HttpLogServiceOptions {
  /** Address of the log service as `ip:port`. */
  readonly address: string
  /** Timeout for a call; reads get their waiting time in addition. */
  readonly timeoutMilliseconds?: number
}

const defaultTimeoutMilliseconds = 3_000

const receiptSchema = z.object({ offset: z.number().int().nonnegative() })

const pageSchema = z.object({
  first: z.number().int().nonnegative(),
  next: z.number().int().nonnegative(),
  records: z.array(z.object({
    offset: z.number().int().nonnegative(),
    time: z.number(),
    data: z.string()
  }))
})

const statusRateLimited = 429
const statusTooLarge = 413
const statusOk = 200

/** Creates a client for the log service. */
export function createHttpLogService (options: HttpLogServiceOptions): LogService {
  return new HttpLogService(options.address, options.timeoutMilliseconds ?? defaultTimeoutMilliseconds)
}

/** A complete response. */
interface Answer {
  readonly status: number
  readonly body: string
}

class HttpLogService implements LogService {
  readonly #agent: Agent

  constructor (private readonly address: string, private readonly timeoutMilliseconds: number) {
    this.#agent = new Agent({ connect: { timeout: timeoutMilliseconds } })
  }

  async append (stream: string, data: Uint8Array): Promise<Result<number, LogError>> {
    try {
      const answer = await this.#request(this.#url(stream), this.timeoutMilliseconds, {
        method: 'POST',
        body: data,
        headers: { 'content-type': 'application/octet-stream' }
      })
      if (answer.status !== statusOk) {
        return Err(errorOfStatus(answer.status, answer.body))
      }
      return Ok(receiptSchema.parse(JSON.parse(answer.body)).offset)
    } catch (error) {
      return Err(errorOfThrown(error))
    }
  }

  async read (stream: string, options: ReadOptions): Promise<Result<LogPage, LogError>> {
    const query = `from=${options.from}&limit=${options.limit}&wait=${options.waitMilliseconds}`
    const limit = this.timeoutMilliseconds + options.waitMilliseconds
    try {
      const answer = await this.#request(`${this.#url(stream)}?${query}`, limit, { method: 'GET' }, options.signal)
      if (answer.status !== statusOk) {
        return Err(errorOfStatus(answer.status, answer.body))
      }
      return Ok(pageOf(pageSchema.parse(JSON.parse(answer.body))))
    } catch (error) {
      return Err(errorOfThrown(error))
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #request (
    url: string,
    limitMilliseconds: number,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    outer?: AbortSignal
  ): Promise<Answer> {
    return await withTimeLimit(limitMilliseconds, async signal => {
      const response = await request(url, { ...options, dispatcher: this.#agent, signal })
      return { status: response.statusCode, body: await response.body.text() }
    }, outer)
  }

  #url (stream: string): string {
    return `http://${this.address}/streams/${encodeURIComponent(stream)}`
  }
}

function pageOf (page: z.infer<typeof pageSchema>): LogPage {
  const entries: LogEntry[] = page.records.map(record => ({
    offset: record.offset,
    time: record.time,
    data: Buffer.from(record.data, 'base64')
  }))
  return { first: page.first, next: page.next, entries }
}

function errorOfStatus (status: number, body: string): LogError {
  switch (status) {
    case statusRateLimited:
      return new LogError(LogErrorCode.RateLimited, 'the log is over its append rate')
    case statusTooLarge:
      return new LogError(LogErrorCode.TooLarge, 'the entry exceeds the log\'s limit')
    default:
      return new LogError(LogErrorCode.Unavailable, `the log answered ${status}: ${body.slice(0, 200)}`)
  }
}

function errorOfThrown (error: unknown): LogError {
  const message = error instanceof Error ? error.message : String(error)
  const malformed = error instanceof z.ZodError || error instanceof SyntaxError
  const code = malformed ? LogErrorCode.Malformed : LogErrorCode.Unavailable
  return new LogError(code, message, { cause: error })
}
