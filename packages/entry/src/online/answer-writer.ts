/** Writing of answers to callers, streamed or whole. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { GenerationPath } from '@arbutusloft/adapters'
import type { GeneratedToken, GenerationUsage } from '@arbutusloft/adapters'
import type { ApiError } from '../http/api-error.js'
import { errorBody } from '../http/api-error.js'
import { sendJson } from '../http/send-json.js'

/** What an answer says of itself. */
export interface AnswerHead {
  readonly id: string
  readonly path: GenerationPath
  readonly model: string
  /** Epoch seconds. */
  readonly created: number
}

/** Takes the parts of an answer. */
export interface AnswerWriter {
  onToken: (token: GeneratedToken) => void
  /** The answer is whole; resolves when the caller's connection has taken it. */
  finish: (usage: GenerationUsage, finishReason: string) => Promise<void>
  /** The answer cannot be completed. */
  fail: (error: ApiError) => void
}

/** Writes an answer as server-sent events. */
export class StreamWriter implements AnswerWriter {
  #begun = false

  constructor (
    private readonly response: ServerResponse,
    private readonly head: AnswerHead,
    private readonly includeUsage: boolean
  ) {}

  onToken (token: GeneratedToken): void {
    this.#begin()
    this.#send(this.#chunk([choiceOf(this.head.path, token, token.index === 0)]))
  }

  async finish (usage: GenerationUsage): Promise<void> {
    this.#begin()
    if (this.includeUsage) {
      this.#send({ ...this.#chunk([]), usage: usageOf(usage) })
    }
    this.response.end('data: [DONE]\n\n')
    await finished(this.response)
  }

  fail (error: ApiError): void {
    if (!this.#begun) {
      throw error
    }
    // The error event is in place of the terminator, so no client takes the answer for whole.
    this.response.end(`data: ${JSON.stringify(errorBody(error))}\n\n`)
  }

  #begin (): void {
    if (!this.#begun) {
      this.#begun = true
      this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    }
  }

  #chunk (choices: readonly object[]): object {
    const { id, model, created, path } = this.head
    const object = path === GenerationPath.Chat ? 'chat.completion.chunk' : 'text_completion'
    return { id, object, created, model, choices }
  }

  #send (value: object): void {
    this.response.write(`data: ${JSON.stringify(value)}\n\n`)
  }
}

/** Collects an answer and writes it at its end. */
export class WholeWriter implements AnswerWriter {
  readonly #texts: string[] = []

  constructor (private readonly response: ServerResponse, private readonly head: AnswerHead) {}

  onToken (token: GeneratedToken): void {
    this.#texts.push(token.text)
  }

  async finish (usage: GenerationUsage, finishReason: string): Promise<void> {
    sendJson(this.response, wholeAnswer(this.head, this.#texts.join(''), usage, finishReason))
    await finished(this.response)
  }

  fail (error: ApiError): void {
    throw error
  }
}

/** The body of a whole answer. */
export function wholeAnswer (head: AnswerHead, text: string, usage: GenerationUsage, finishReason: string): object {
  const { id, model, created, path } = head
  const chat = path === GenerationPath.Chat
  const choice = chat
    ? { index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: finishReason }
    : { index: 0, text, logprobs: null, finish_reason: finishReason }
  const object = chat ? 'chat.completion' : 'text_completion'
  return { id, object, created, model, choices: [choice], usage: usageOf(usage) }
}

function choiceOf (path: GenerationPath, token: GeneratedToken, first: boolean): object {
  const finish = { finish_reason: token.finishReason, logprobs: null }
  if (path === GenerationPath.Chat) {
    const delta = first ? { role: 'assistant', content: token.text } : { content: token.text }
    return { index: 0, delta, ...finish }
  }
  return { index: 0, text: token.text, ...finish }
}

function usageOf (usage: GenerationUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  }
}

async function finished (response: ServerResponse): Promise<void> {
  if (!response.writableFinished && !response.destroyed) {
    await Promise.race([once(response, 'finish'), once(response, 'close')])
  }
}
