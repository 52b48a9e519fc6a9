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

const appendResponseSchema = z.object({ offset: z.number().int().nonnegative() })

const readResponseSchema = z.object({
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
interface LogResponse {
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
      const response = await this.#request(this.#url(stream), this.timeoutMilliseconds, {
        method: 'POST',
        body: data,
        headers: { 'content-type': 'application/octet-stream' }
      })
      if (response.status !== statusOk) {
        return Err(createErrorOfStatus(response.status, response.body))
      }
      return Ok(appendResponseSchema.parse(JSON.parse(response.body)).offset)
    } catch (error) {
      return Err(createErrorOfThrown(error))
    }
  }

  async read (stream: string, options: ReadOptions): Promise<Result<LogPage, LogError>> {
    const query = `from=${options.from}&limit=${options.limit}&wait=${options.waitMilliseconds}`
    const timeoutMilliseconds = this.timeoutMilliseconds + options.waitMilliseconds
    try {
      const response = await this.#request(`${this.#url(stream)}?${query}`, timeoutMilliseconds, { method: 'GET' }, options.signal)
      if (response.status !== statusOk) {
        return Err(createErrorOfStatus(response.status, response.body))
      }
      return Ok(toLogPage(readResponseSchema.parse(JSON.parse(response.body))))
    } catch (error) {
      return Err(createErrorOfThrown(error))
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #request (
    url: string,
    timeoutMilliseconds: number,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    outerSignal?: AbortSignal
  ): Promise<LogResponse> {
    return await withTimeLimit(timeoutMilliseconds, async signal => {
      const response = await request(url, { ...options, dispatcher: this.#agent, signal })
      return { status: response.statusCode, body: await response.body.text() }
    }, outerSignal)
  }

  #url (stream: string): string {
    return `http://${this.address}/streams/${encodeURIComponent(stream)}`
  }
}

function toLogPage (page: z.infer<typeof readResponseSchema>): LogPage {
  // The log's responses call the entries records.
  const entries: LogEntry[] = page.records.map(record => ({
    offset: record.offset,
    time: record.time,
    data: Buffer.from(record.data, 'base64')
  }))
  return { firstOffset: page.first, endOffset: page.next, entries }
}

function createErrorOfStatus (status: number, body: string): LogError {
  switch (status) {
    case statusRateLimited:
      return new LogError(LogErrorCode.RateLimited, 'the log is over its append rate')
    case statusTooLarge:
      return new LogError(LogErrorCode.TooLarge, 'the entry exceeds the log\'s limit')
    default:
      return new LogError(LogErrorCode.Unavailable, `the log answered ${status}: ${body.slice(0, 200)}`)
  }
}

function createErrorOfThrown (error: unknown): LogError {
  const message = error instanceof Error ? error.message : String(error)
  const malformed = error instanceof z.ZodError || error instanceof SyntaxError
  const code = malformed ? LogErrorCode.Malformed : LogErrorCode.Unavailable
  return new LogError(code, message, { cause: error })
}
