/** HTTP client with which commands call an entry. */
import { messageOf } from '@arbutusloft/protocol'
import type { FormData } from 'undici'
import { request } from 'undici'
import { CommandError } from './command-error.js'
import { ExitCode } from './exit-code.js'

/** Address of an entry, and the API key for it. */
export interface ApiEndpoint {
  /** Address as `ip:port`. */
  readonly address: string
  /** API key, sent as a bearer token. */
  readonly key: string
}

/** Options of a request. */
export interface RequestOptions {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | FormData
}

const firstServerErrorStatus = 500
const statusTooManyRequests = 429
const firstErrorStatus = 400

/**
 * Sends requests to one address. Throws a {@link CommandError} if no response arrives or its status is an error;
 * other errors, such as a connection lost within the body or a body that is not JSON, are thrown as they are.
 */
export class ApiClient {
  constructor (private readonly endpoint: ApiEndpoint) {}

  /** Sends a request and returns the body of its response, parsed as JSON. */
  async json<T> (path: string, options: RequestOptions = {}): Promise<T> {
    return JSON.parse(await this.text(path, { ...options, headers: { accept: 'application/json', ...options.headers } })) as T
  }

  /** Sends a request and returns the body of its response as text. */
  async text (path: string, options: RequestOptions = {}): Promise<string> {
    const response = await this.#request(path, options)
    const text = await response.body.text()
    if (response.statusCode >= firstErrorStatus) {
      throw new CommandError(toExitCode(response.statusCode), parseErrorMessage(response.statusCode, text))
    }
    return text
  }

  async #request (path: string, options: RequestOptions): ReturnType<typeof request> {
    const url = `http://${this.endpoint.address}${path}`
    try {
      return await request(url, {
        method: options.method ?? 'GET',
        headers: { authorization: `Bearer ${this.endpoint.key}`, ...options.headers },
        body: options.body ?? null
      })
    } catch (error) {
      throw new CommandError(ExitCode.Unavailable, `cannot reach ${this.endpoint.address}: ${messageOf(error)}`, { cause: error })
    }
  }
}

function toExitCode (status: number): ExitCode {
  return status >= firstServerErrorStatus || status === statusTooManyRequests ? ExitCode.Unavailable : ExitCode.Refused
}

function parseErrorMessage (status: number, text: string): string {
  try {
    const { error } = JSON.parse(text) as { readonly error: { readonly message: string } }
    return error.message
  } catch {
    return `the entry responded with status ${status}: ${text}`
  }
}
