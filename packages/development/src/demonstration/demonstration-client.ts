/** HTTP client of the demonstration. */
import { sample } from '../sample-lists.js'

/** Fields of a batch object that the demonstration uses. */
export interface DemonstrationBatch {
  readonly id: string
  readonly status: string
  readonly output_file_id: string | null
  readonly error_file_id: string | null
  readonly request_counts: { readonly total: number, readonly completed: number, readonly failed: number }
}

/** A streamed chat response. */
export interface StreamedResponse {
  readonly text: string
  /** Time to the first event of the stream, whether or not it has content; 0 without any event. */
  readonly timeToFirstTokenMilliseconds: number
  /** Whether the stream ended with its terminator. */
  readonly isComplete: boolean
}

const dataPrefix = 'data: '
const terminator = '[DONE]'

/** Sends the requests of one client to one entry. */
export class DemonstrationClient {
  constructor (private readonly address: string, private readonly key: string) {}

  /** Sends a streamed chat request and passes on each piece of text as it arrives. */
  async chat (content: string, maximumCompletionTokens: number, onText: (text: string) => void = () => {}): Promise<StreamedResponse> {
    const startedAt = performance.now()
    const response = await this.#fetch('/v1/chat/completions', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        model: sample.model,
        stream: true,
        max_tokens: maximumCompletionTokens,
        messages: [{ role: 'user', content }]
      })
    })
    let timeToFirstTokenMilliseconds = 0
    let text = ''
    let isComplete = false
    let incompleteLine = ''
    const decoder = new TextDecoder()
    for await (const bytes of response.body ?? []) {
      const lines = (incompleteLine + decoder.decode(bytes as Uint8Array, { stream: true })).split('\n')
      incompleteLine = lines.pop() ?? ''
      for (const line of lines.filter(candidate => candidate.startsWith(dataPrefix))) {
        const data = line.slice(dataPrefix.length)
        timeToFirstTokenMilliseconds ||= performance.now() - startedAt
        if (data === terminator) {
          isComplete = true
          continue
        }
        const piece = parseContent(data)
        text += piece
        onText(piece)
      }
    }
    return { text, timeToFirstTokenMilliseconds, isComplete }
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

  /** Returns the lines of a file. */
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
      throw new Error(`${path} failed with status ${response.status}: ${await response.text()}`)
    }
    return response
  }
}

function parseContent (data: string): string {
  const chunk = JSON.parse(data) as { readonly choices: ReadonlyArray<{ readonly delta?: { readonly content?: string } }> }
  return chunk.choices[0]?.delta?.content ?? ''
}
