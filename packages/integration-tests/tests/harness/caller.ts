/** A caller of the system that records what it saw. */
import { sample } from '@arbutusloft/development'
import type { History } from './history.js'

/** What a caller needs to send. */
export interface CallerOptions {
  /** Addresses to choose from, asked for at each request. */
  readonly addresses: () => readonly string[]
  readonly key: string
  readonly history: History
}

/** An answer to a request. */
export interface CallerAnswer {
  readonly status: number
  /** The header `x-arbutus-run`, or null. */
  readonly run: string | null
  readonly text: string
}

const dataPrefix = 'data: '
const requestMilliseconds = 30_000

/** Sends requests and writes an event for each into the history. */
export class Caller {
  #counter = 0

  constructor (private readonly options: CallerOptions) {}

  /** Streams a chat answer; the address may be given to stay at one entry. */
  async chat (content: string, greatestTokens: number, address = this.#address()): Promise<void> {
    const { history } = this.options
    const operation = history.begin({ kind: 'chat', content, greatestTokens })
    try {
      const response = await fetch(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        signal: AbortSignal.timeout(requestMilliseconds),
        headers: { authorization: `Bearer ${this.options.key}`, 'content-type': 'application/json' },
        body: JSON.stringify({ model: sample.model, stream: true, max_tokens: greatestTokens, messages: [{ role: 'user', content }] })
      })
      const text = await response.text()
      const parsed = parseStream(text)
      history.end(operation, {
        status: response.status,
        run: response.headers.get('x-arbutus-run'),
        whole: parsed.whole,
        text: parsed.text,
        message: response.ok ? '' : text
      })
    } catch (error) {
      history.end(operation, { status: 0, run: null, whole: false, text: '', message: String(error) })
    }
  }

  /** Calls the service that may not be repeated. */
  async confirm (idempotencyKey: string, address = this.#address()): Promise<CallerAnswer> {
    const { history } = this.options
    const operation = history.begin({ kind: 'confirm', idempotencyKey })
    try {
      const response = await fetch(`http://${address}/v1/services/${sample.service}/send`, {
        method: 'POST',
        signal: AbortSignal.timeout(requestMilliseconds),
        headers: { authorization: `Bearer ${this.options.key}`, 'idempotency-key': idempotencyKey },
        body: idempotencyKey
      })
      const answer = { status: response.status, run: response.headers.get('x-arbutus-run'), text: await response.text() }
      history.end(operation, { ...answer, whole: response.ok, message: '' })
      return answer
    } catch (error) {
      history.end(operation, { status: 0, run: null, whole: false, text: '', message: String(error) })
      return { status: 0, run: null, text: '' }
    }
  }

  /** Uploads an input file and returns its identifier. */
  async upload (lines: readonly string[], address = this.#address()): Promise<string> {
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([lines.join('\n')]), 'input.jsonl')
    const answer = await this.json(address, '/v1/files', { method: 'POST', body: form })
    return String(answer['id'])
  }

  /** Creates a batch and returns its object. */
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

  /** Lines of a file, or none for a file that does not exist. */
  async lines (file: unknown): Promise<readonly string[]> {
    if (typeof file !== 'string') {
      return []
    }
    const response = await this.#fetch(this.#address(), `/v1/files/${file}/content`, {})
    const text = await response.text()
    if (!response.ok) {
      throw new Error(`the file ${file} is not readable: ${text}`)
    }
    return text.split('\n').filter(line => line !== '')
  }

  /** Sends a request and reads its JSON answer; an error answer is thrown. */
  async json (address: string, path: string, options: RequestInit): Promise<Readonly<Record<string, unknown>>> {
    const response = await this.#fetch(address, path, options)
    const text = await response.text()
    if (!response.ok) {
      throw new Error(`${path}: ${response.status} ${text}`)
    }
    return JSON.parse(text) as Readonly<Record<string, unknown>>
  }

  async #fetch (address: string, path: string, options: RequestInit): Promise<Response> {
    return await fetch(`http://${address}${path}`, {
      signal: AbortSignal.timeout(requestMilliseconds),
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

function parseStream (text: string): { readonly whole: boolean, readonly text: string } {
  const data = text.split('\n').filter(line => line.startsWith(dataPrefix)).map(line => line.slice(dataPrefix.length))
  const whole = data.at(-1) === '[DONE]'
  const pieces = data.filter(piece => piece !== '[DONE]').map(piece => {
    const chunk = JSON.parse(piece) as { readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string } }> }
    return chunk.choices?.[0]?.delta?.content ?? ''
  })
  return { whole, text: pieces.join('') }
}
