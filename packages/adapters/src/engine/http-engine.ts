/** Client for model engines with OpenAI-compatible HTTP interfaces. */
import { withTimeLimit } from '@arbutusloft/protocol'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { z } from 'zod'
import { TargetError, TargetErrorCode } from '../target-error.js'
import { toTargetError } from '../util/to-target-error.js'
import type {
  CacheEvent,
  Engine,
  EngineLoad,
  EngineOrder,
  EngineState,
  GenerationRequest,
  GenerationSink,
  GenerationUsage,
  ResumeRequest
} from './engine.js'
import { GenerationEventParser } from './generation-event-parser.js'

const { Ok, Err } = tsResults

/** Options of {@link createHttpEngine}. */
export interface HttpEngineOptions {
  /** Timeout for opening a connection. */
  readonly connectMilliseconds?: number
  /** Timeout for the response headers, which engines send before they generate. */
  readonly headersMilliseconds?: number
  /** Milliseconds without data after which a stream fails. */
  readonly silenceMilliseconds?: number
  /** Timeout for calls other than generation, such as load reports and orders. */
  readonly controlMilliseconds?: number
}

const defaultOptions: Required<HttpEngineOptions> = {
  connectMilliseconds: 1_000,
  headersMilliseconds: 3_000,
  silenceMilliseconds: 10_000,
  controlMilliseconds: 2_000
}

const dispatchHeader = 'x-dispatch-id'
const statusOk = 200
const statusNotFound = 404

const loadSchema = z.object({
  running: z.number(),
  queued: z.number(),
  measuredAt: z.number()
})

const cacheEventsSchema = z.object({
  events: z.array(z.object({ sequence: z.number(), stored: z.boolean(), blocks: z.array(z.string()) }))
})

const stateSchema = z.object({
  model: z.string(),
  version: z.string(),
  role: z.string(),
  adapters: z.array(z.string()),
  fencing: z.number()
})

/** Creates the client for all model engines. */
export function createHttpEngine (options: HttpEngineOptions = {}): Engine {
  return new HttpEngine({ ...defaultOptions, ...options })
}

class HttpEngine implements Engine {
  readonly #agent: Agent

  constructor (private readonly options: Required<HttpEngineOptions>) {
    this.#agent = this.#createAgent()
  }

  async generate (
    address: string,
    generation: GenerationRequest,
    sink: GenerationSink
  ): Promise<Result<GenerationUsage, TargetError>> {
    const body = { ...generation.body, stream: true, stream_options: { include_usage: true } }
    return await this.#readStream(`http://${address}${generation.path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', [dispatchHeader]: generation.dispatch },
      body: JSON.stringify(body)
    }, generation.dispatch, generation.signal, sink)
  }

  async resume (
    address: string,
    resumption: ResumeRequest,
    sink: GenerationSink
  ): Promise<Result<GenerationUsage, TargetError>> {
    const url = `http://${address}/v1/streams/${resumption.dispatch}?from=${resumption.from}`
    // The connection of the interrupted stream may still be in the pool and unresponsive, so resuming opens a new one.
    const agent = this.#createAgent()
    try {
      const options = { method: 'GET', dispatcher: agent } as const
      return await this.#readStream(url, options, resumption.dispatch, resumption.signal, sink)
    } finally {
      await agent.destroy()
    }
  }

  async cancel (address: string, dispatch: string): Promise<Result<void, TargetError>> {
    const result = await this.#callControl(`http://${address}/v1/streams/${dispatch}`, 'DELETE')
    if (result.err && result.val.status !== statusNotFound) {
      return result
    }
    return Ok(undefined)
  }

  async load (address: string): Promise<Result<EngineLoad, TargetError>> {
    return parseResponse(loadSchema, await this.#callControl(`http://${address}/load`, 'GET'))
  }

  async cacheEvents (address: string, from: number): Promise<Result<readonly CacheEvent[], TargetError>> {
    const result = await this.#callControl(`http://${address}/cache/events?from=${from}`, 'GET')
    return parseResponse(cacheEventsSchema, result).map(value => value.events)
  }

  async order (address: string, order: EngineOrder): Promise<Result<EngineState, TargetError>> {
    return parseResponse(stateSchema, await this.#callControl(`http://${address}/orders`, 'POST', order))
  }

  async state (address: string): Promise<Result<EngineState, TargetError>> {
    return parseResponse(stateSchema, await this.#callControl(`http://${address}/state`, 'GET'))
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  #createAgent (): Agent {
    return new Agent({
      connect: { timeout: this.options.connectMilliseconds },
      headersTimeout: this.options.headersMilliseconds,
      bodyTimeout: this.options.silenceMilliseconds
    })
  }

  async #readStream (
    url: string,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body'> & { readonly dispatcher?: Agent },
    dispatch: string,
    signal: AbortSignal | undefined,
    sink: GenerationSink
  ): Promise<Result<GenerationUsage, TargetError>> {
    try {
      const response = await request(url, {
        dispatcher: this.#agent,
        ...options,
        ...(signal === undefined ? {} : { signal })
      })
      if (response.statusCode !== statusOk) {
        return Err(await createErrorOfResponse(response))
      }
      if (response.headers[dispatchHeader] !== dispatch) {
        response.body.destroy()
        return Err(new TargetError(TargetErrorCode.DispatchMismatch, 'the answer bears another dispatch', true))
      }
      return Ok(await forwardEvents(response, sink))
    } catch (error) {
      return Err(toTargetError(error, signal))
    }
  }

  async #callControl (
    url: string,
    method: Dispatcher.HttpMethod,
    body?: object
  ): Promise<Result<unknown, TargetError>> {
    try {
      return await withTimeLimit(this.options.controlMilliseconds, async signal => {
        const response = await request(url, {
          method,
          dispatcher: this.#agent,
          signal,
          ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
        })
        if (response.statusCode !== statusOk) {
          return Err(await createErrorOfResponse(response))
        }
        return Ok(await response.body.json())
      })
    } catch (error) {
      return Err(toTargetError(error, undefined))
    }
  }
}

async function forwardEvents (response: Dispatcher.ResponseData, sink: GenerationSink): Promise<GenerationUsage> {
  const events = new GenerationEventParser(sink)
  for await (const bytes of response.body) {
    events.push(bytes as Uint8Array)
  }
  return events.finish()
}

async function createErrorOfResponse (response: Dispatcher.ResponseData): Promise<TargetError> {
  // The message is the bare response body, because it is passed on to the client.
  const text = await response.body.text()
  const code = response.statusCode === statusNotFound ? TargetErrorCode.NotFound : TargetErrorCode.Refused
  return new TargetError(code, text.slice(0, 500), true, response.statusCode)
}

function parseResponse<T> (schema: z.ZodType<T>, result: Result<unknown, TargetError>): Result<T, TargetError> {
  if (result.err) {
    return result
  }
  const parsed = schema.safeParse(result.val)
  if (!parsed.success) {
    return Err(new TargetError(TargetErrorCode.Refused, z.prettifyError(parsed.error), true, null))
  }
  return Ok(parsed.data)
}
