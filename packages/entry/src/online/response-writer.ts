/** Writes generated text to callers, as a stream of server-sent events or as one JSON response. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { GenerationPath } from '@arbutusloft/adapters'
import type { GeneratedToken, GenerationUsage } from '@arbutusloft/adapters'
import type { ApiError } from '../http/api-error.js'
import { errorBody } from '../http/api-error.js'
import { sendJson } from '../http/send-json.js'

/** The fields that every part of a response repeats. */
export interface ResponseMetadata {
  readonly id: string
  readonly path: GenerationPath
  readonly model: string
  /** Epoch seconds. */
  readonly created: number
}

/** Receives a generation and writes it as an HTTP response. */
export interface ResponseWriter {
  /** Receives the next token. */
  onToken: (token: GeneratedToken) => void
  /** Completes the response; resolves when it is flushed to the connection or the connection has closed. */
  finish: (usage: GenerationUsage, finishReason: string) => Promise<void>
  /** Ends an incomplete response. Throws the error if nothing has been sent yet. */
  fail: (error: ApiError) => void
}

/** Writes a response as server-sent events. */
export class StreamingResponseWriter implements ResponseWriter {
  #headersSent = false

  constructor (
    private readonly response: ServerResponse,
    private readonly metadata: ResponseMetadata,
    private readonly includeUsage: boolean
  ) {}

  onToken (token: GeneratedToken): void {
    this.#sendHeaders()
    this.#send(this.#chunk([chunkChoice(this.metadata.path, token, token.index === 0)]))
  }

  async finish (usage: GenerationUsage): Promise<void> {
    this.#sendHeaders()
    if (this.includeUsage) {
      this.#send({ ...this.#chunk([]), usage: usageObject(usage) })
    }
    this.response.end('data: [DONE]\n\n')
    await waitForFinish(this.response)
  }

  fail (error: ApiError): void {
    if (!this.#headersSent) {
      throw error
    }
    // The error event replaces the terminator `[DONE]`, so that no client takes the response for complete.
    this.response.end(`data: ${JSON.stringify(errorBody(error))}\n\n`)
  }

  #sendHeaders (): void {
    if (!this.#headersSent) {
      this.#headersSent = true
      this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    }
  }

  #chunk (choices: readonly object[]): object {
    const { id, model, created, path } = this.metadata
    const object = path === GenerationPath.Chat ? 'chat.completion.chunk' : 'text_completion'
    return { id, object, created, model, choices }
  }

  #send (value: object): void {
    this.response.write(`data: ${JSON.stringify(value)}\n\n`)
  }
}

/** Buffers the text and writes one response at the end. */
export class BufferedResponseWriter implements ResponseWriter {
  readonly #texts: string[] = []

  constructor (private readonly response: ServerResponse, private readonly metadata: ResponseMetadata) {}

  onToken (token: GeneratedToken): void {
    this.#texts.push(token.text)
  }

  async finish (usage: GenerationUsage, finishReason: string): Promise<void> {
    sendJson(this.response, responseBody(this.metadata, this.#texts.join(''), usage, finishReason))
    await waitForFinish(this.response)
  }

  fail (error: ApiError): void {
    throw error
  }
}

/** Returns the body of a response that is not streamed. */
export function responseBody (metadata: ResponseMetadata, text: string, usage: GenerationUsage, finishReason: string): object {
  const { id, model, created, path } = metadata
  const chat = path === GenerationPath.Chat
  const choice = chat
    ? { index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: finishReason }
    : { index: 0, text, logprobs: null, finish_reason: finishReason }
  const object = chat ? 'chat.completion' : 'text_completion'
  return { id, object, created, model, choices: [choice], usage: usageObject(usage) }
}

function chunkChoice (path: GenerationPath, token: GeneratedToken, first: boolean): object {
  const finish = { finish_reason: token.finishReason, logprobs: null }
  if (path === GenerationPath.Chat) {
    const delta = first ? { role: 'assistant', content: token.text } : { content: token.text }
    return { index: 0, delta, ...finish }
  }
  return { index: 0, text: token.text, ...finish }
}

function usageObject (usage: GenerationUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  }
}

async function waitForFinish (response: ServerResponse): Promise<void> {
  if (!response.writableFinished && !response.destroyed) {
    await Promise.race([once(response, 'finish'), once(response, 'close')])
  }
}
