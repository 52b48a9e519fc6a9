/** Calls that the demonstration makes, over HTTP like any caller's. */
import { sample } from '../sample-lists.js'

/** A batch as far as the demonstration shows it. */
export interface DemonstrationBatch {
  readonly id: string
  readonly status: string
  readonly output_file_id: string | null
  readonly error_file_id: string | null
  readonly request_counts: { readonly total: number, readonly completed: number, readonly failed: number }
}

/** One streamed answer. */
export interface StreamedAnswer {
  readonly text: string
  readonly timeToFirstToken: number
  /** Whether the terminator arrived. */
  readonly whole: boolean
}

const dataPrefix = 'data: '
const terminator = '[DONE]'

/** Calls of one client to one entry. */
export class DemonstrationClient {
  constructor (private readonly address: string, private readonly key: string) {}

  /** Streams a chat answer and calls back with each piece of text. */
  async chat (content: string, greatestTokens: number, onText: (text: string) => void = () => {}): Promise<StreamedAnswer> {
    const startedAt = performance.now()
    const response = await this.#fetch('/v1/chat/completions', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        model: sample.model,
        stream: true,
        max_tokens: greatestTokens,
        messages: [{ role: 'user', content }]
      })
    })
    let timeToFirstToken = 0
    let text = ''
    let whole = false
    let rest = ''
    const decoder = new TextDecoder()
    for await (const bytes of response.body ?? []) {
      const lines = (rest + decoder.decode(bytes as Uint8Array, { stream: true })).split('\n')
      rest = lines.pop() ?? ''
      for (const line of lines.filter(candidate => candidate.startsWith(dataPrefix))) {
        const data = line.slice(dataPrefix.length)
        timeToFirstToken ||= performance.now() - startedAt
        if (data === terminator) {
          whole = true
          continue
        }
        const piece = contentOf(data)
        text += piece
        onText(piece)
      }
    }
    return { text, timeToFirstToken, whole }
  }

  /** Uploads an input file and creates a batch from it. */
  async createBatch (lines: readonly string[], endpoint: string): Promise<DemonstrationBatch> {
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([lines.join('\n')]), 'demonstration.jsonl')
    const file = await this.#json('/v1/files', { method: 'POST', body: form }) as { readonly id: string }
    return await this.#json('/v1/batches', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ input_file_id: file.id, endpoint, completion_window: '24h' })
    }) as DemonstrationBatch
  }

  async getBatch (id: string): Promise<DemonstrationBatch> {
    return await this.#json(`/v1/batches/${id}`, {}) as DemonstrationBatch
  }

  /** Lines of a file. */
  async lines (file: string): Promise<readonly string[]> {
    const response = await this.#fetch(`/v1/files/${file}/content`, {})
    const text = await response.text()
    return text.split('\n').filter(line => line !== '')
  }

  async #json (path: string, options: RequestInit): Promise<unknown> {
    return await (await this.#fetch(path, options)).json()
  }

  async #fetch (path: string, options: RequestInit): Promise<Response> {
    const response = await fetch(`http://${this.address}${path}`, {
      ...options,
      headers: { ...options.headers, authorization: `Bearer ${this.key}` }
    })
    if (!response.ok) {
      throw new Error(`${path} was answered with ${response.status}: ${await response.text()}`)
    }
    return response
  }
}

function contentOf (data: string): string {
  const chunk = JSON.parse(data) as { readonly choices: ReadonlyArray<{ readonly delta?: { readonly content?: string } }> }
  return chunk.choices[0]?.delta?.content ?? ''
}
