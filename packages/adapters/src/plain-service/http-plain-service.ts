/** HTTP client for plain services. */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { TargetError, TargetErrorCode } from '../target-error.js'
import { toTargetError } from '../util/to-target-error.js'
import type { PlainService, ServiceResponse, ServiceCall } from './plain-service.js'

const { Ok, Err } = tsResults

/** Options of {@link createHttpPlainService}. */
export interface HttpPlainServiceOptions {
  /** Timeout for opening a connection. */
  readonly connectMilliseconds?: number
  /** Milliseconds without data after which a call fails. */
  readonly silenceMilliseconds?: number
  /** Maximum size of a response body, in bytes. */
  readonly answerBytes?: number
}

const defaultOptions: Required<HttpPlainServiceOptions> = {
  connectMilliseconds: 1_000,
  silenceMilliseconds: 10_000,
  answerBytes: 1_048_576
}

const dispatchHeader = 'x-dispatch-id'
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304])

/** Creates the client for all plain services. */
export function createHttpPlainService (options: HttpPlainServiceOptions = {}): PlainService {
  return new HttpPlainService({ ...defaultOptions, ...options })
}

class HttpPlainService implements PlainService {
  readonly #agent: Agent

  constructor (private readonly options: Required<HttpPlainServiceOptions>) {
    this.#agent = new Agent({
      connect: { timeout: options.connectMilliseconds },
      headersTimeout: options.silenceMilliseconds,
      bodyTimeout: options.silenceMilliseconds
    })
  }

  async call (address: string, call: ServiceCall): Promise<Result<ServiceResponse, TargetError>> {
    try {
      const response = await request(`http://${address}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        dispatcher: this.#agent,
        headers: createHeaders(call),
        body: call.body,
        ...(call.signal === undefined ? {} : { signal: call.signal })
      })
      if (response.headers[dispatchHeader] !== call.dispatch) {
        response.body.destroy()
        return Err(new TargetError(TargetErrorCode.DispatchMismatch, 'the answer bears another dispatch', true))
      }
      if (!isFramed(response)) {
        response.body.destroy()
        return Err(new TargetError(TargetErrorCode.Interrupted, 'the answer has neither a length nor chunks, so it may have been broken off', true))
      }
      return Ok({
        status: response.statusCode,
        contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
        body: await this.#readBody(response)
      })
    } catch (error) {
      return Err(toTargetError(error, call.signal))
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #readBody (response: Dispatcher.ResponseData): Promise<Uint8Array> {
    const parts: Uint8Array[] = []
    let bytes = 0
    for await (const part of response.body) {
      bytes += (part as Uint8Array).byteLength
      if (bytes > this.options.answerBytes) {
        throw new TargetError(TargetErrorCode.Refused, `the answer exceeds ${this.options.answerBytes} bytes`, true)
      }
      parts.push(part as Uint8Array)
    }
    return Buffer.concat(parts)
  }
}

/** Whether a response shows where its body ends. undici also takes a reset for the end of one that does not. */
function isFramed ({ statusCode, headers }: Dispatcher.ResponseData): boolean {
  const isChunked = String(headers['transfer-encoding'] ?? '').toLowerCase().endsWith('chunked')
  return statusesWithoutBody.has(statusCode) || headers['content-length'] !== undefined || isChunked
}

function createHeaders (call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = { [dispatchHeader]: call.dispatch }
  if (call.contentType !== null) {
    headers['content-type'] = call.contentType
  }
  if (call.idempotencyKey !== null) {
    headers['idempotency-key'] = call.idempotencyKey
  }
  return headers
}
