/** HTTP caller of the system that records each operation and its outcome in a history. */
import { sample } from '@arbutusloft/development'
import type { History } from './history.js'

/** Options of {@link Caller}. */
export interface CallerOptions {
  /** Returns the entry addresses to choose from; called for each request that is sent without a given address. */
  readonly addresses: () => readonly string[]
  /** API key of the client. */
  readonly key: string
  readonly history: History
}

/** Response to a request. Status 0 means that the request failed or that its response could not be read. */
export interface CallerResponse {
  readonly status: number
  /** Value of the header `x-arbutus-run` (`not-run` or `outcome-unknown`), or null without it. */
  readonly run: string | null
  readonly text: string
}

const eventDataPrefix = 'data: '
const requestTimeoutMilliseconds = 30_000

/** Sends requests to the entries in turn. Records chat requests and confirmations in the history. */
export class Caller {
  #counter = 0

  constructor (private readonly options: CallerOptions) {}

  /** Sends a streamed chat request and reads the response to its end; failures are recorded, not thrown. */
  async chat (content: string, maximumCompletionTokens: number, address = this.#address()): Promise<void> {
    const { history } = this.options
    const event = history.begin({ kind: 'chat', content, maximumCompletionTokens })
    try {
      const response = await fetch(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        signal: AbortSignal.timeout(requestTimeoutMilliseconds),
        headers: { authorization: `Bearer ${this.options.key}`, 'content-type': 'application/json' },
        body: JSON.stringify({ model: sample.model, stream: true, max_tokens: maximumCompletionTokens, messages: [{ role: 'user', content }] })
      })
      const text = await response.text()
      const parsed = parseStream(text)
      history.end(event, {
        status: response.status,
        run: response.headers.get('x-arbutus-run'),
        isComplete: parsed.isComplete,
        text: parsed.text,
        message: response.ok ? '' : text
      })
    } catch (error) {
      history.end(event, { status: 0, run: null, isComplete: false, text: '', message: String(error) })
    }
  }

  /** Calls the non-idempotent confirmation service; failures are recorded, not thrown. */
  async sendConfirmation (idempotencyKey: string, address = this.#address()): Promise<CallerResponse> {
    const { history } = this.options
    const event = history.begin({ kind: 'confirm', idempotencyKey })
    try {
      const response = await fetch(`http://${address}/v1/services/${sample.confirmationService}/send`, {
        method: 'POST',
        signal: AbortSignal.timeout(requestTimeoutMilliseconds),
        headers: { authorization: `Bearer ${this.options.key}`, 'idempotency-key': idempotencyKey },
        body: idempotencyKey
      })
      const result = { status: response.status, run: response.headers.get('x-arbutus-run'), text: await response.text() }
      history.end(event, { ...result, isComplete: response.ok, message: '' })
      return result
    } catch (error) {
      history.end(event, { status: 0, run: null, isComplete: false, text: '', message: String(error) })
      return { status: 0, run: null, text: '' }
    }
  }

  /** Uploads a batch input file and returns its id. */
  async upload (lines: readonly string[], address = this.#address()): Promise<string> {
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([lines.join('\n')]), 'input.jsonl')
    const file = await this.json(address, '/v1/files', { method: 'POST', body: form })
    return String(file['id'])
  }

  /** Creates a batch and returns the batch object. */
  async createBatch (
    file: string,
    endpoint: string,
    idempotencyKey: string | null = null,
    address = this.#address()
  ): Promise<Readonly<Record<string, unknown>>> {
    return await this.json(address, '/v1/batches', {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...(idempotencyKey === null ? {} : { 'idempotency-key': idempotencyKey })
      },
      body: JSON.stringify({ input_file_id: file, endpoint, completion_window: '24h' })
    })
  }

  async getBatch (id: string): Promise<Readonly<Record<string, unknown>>> {
    return await this.json(this.#address(), `/v1/batches/${id}`, {})
  }

  /** Returns the lines of a file, or none if `file` is not a string: a batch object has null for a file that does not exist. */
  async lines (file: unknown): Promise<readonly string[]> {
    if (typeof file !== 'string') {
      return []
    }
    const response = await this.#fetch(this.#address(), `/v1/files/${file}/content`, {})
    const text = await response.text()
    if (!response.ok) {
      throw new Error(`reading file ${file} failed with status ${response.status}: ${text}`)
    }
    return text.split('\n').filter(line => line !== '')
  }

  /**
   * Sends a request and returns the JSON body of the response.
   * @throws {Error} if the status is not 2xx.
   */
  async json (address: string, path: string, options: RequestInit): Promise<Readonly<Record<string, unknown>>> {
    const response = await this.#fetch(address, path, options)
    const text = await response.text()
    if (!response.ok) {
      throw new Error(`${path} failed with status ${response.status}: ${text}`)
    }
    return JSON.parse(text) as Readonly<Record<string, unknown>>
  }

  async #fetch (address: string, path: string, options: RequestInit): Promise<Response> {
    return await fetch(`http://${address}${path}`, {
      signal: AbortSignal.timeout(requestTimeoutMilliseconds),
      ...options,
      headers: { ...options.headers, authorization: `Bearer ${this.options.key}` }
    })
  }

  #address (): string {
    const addresses = this.options.addresses()
    this.#counter += 1
    return addresses[this.#counter % addresses.length] ?? ''
  }
}

function parseStream (text: string): { readonly isComplete: boolean, readonly text: string } {
  const payloads = text.split('\n').filter(line => line.startsWith(eventDataPrefix)).map(line => line.slice(eventDataPrefix.length))
  const isComplete = payloads.at(-1) === '[DONE]'
  const pieces = payloads.filter(payload => payload !== '[DONE]').map(payload => {
    const chunk = JSON.parse(payload) as { readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string } }> }
    return chunk.choices?.[0]?.delta?.content ?? ''
  })
  return { isComplete, text: pieces.join('') }
}
