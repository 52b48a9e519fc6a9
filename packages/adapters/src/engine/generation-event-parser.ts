/** Parsing of the server-sent events with which an engine streams an answer. */
import { createParser } from 'eventsource-parser'
import { TargetError, TargetErrorCode } from '../target-error.js'
import type { GenerationSink, GenerationUsage } from './engine.js'

interface StreamChoice {
  readonly text?: string
  readonly delta?: { readonly content?: string }
  readonly finish_reason?: string | null
}

interface StreamChunk {
  readonly choices?: readonly StreamChoice[]
  readonly usage?: {
    readonly prompt_tokens?: number
    readonly completion_tokens?: number
    readonly prompt_tokens_details?: { readonly cached_tokens?: number }
  } | null
}

const endMarker = '[DONE]'

/**
 * Parses an event stream and passes its tokens to a sink. The answer is complete only if the stream contains
 * a usage report and the end marker `[DONE]`.
 */
export class GenerationEventParser {
  readonly #parser = createParser({
    onEvent: event => { this.#onEvent(event.id, event.data) }
  })

  readonly #decoder = new TextDecoder()
  #usage: GenerationUsage | null = null
  #terminated = false

  constructor (private readonly sink: GenerationSink) {}

  /** Parses the next bytes of the stream. */
  push (bytes: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }))
  }

  /** Returns the token counts; throws a {@link TargetError} if the stream had no usage report or no end marker. */
  finish (): GenerationUsage {
    if (!this.#terminated) {
      throw new TargetError(TargetErrorCode.Interrupted, 'the stream ended without its terminator', true)
    }
    if (this.#usage === null) {
      throw new TargetError(TargetErrorCode.Interrupted, 'the stream ended without its usage', true)
    }
    return this.#usage
  }

  #onEvent (id: string | undefined, data: string): void {
    if (data === endMarker) {
      this.#terminated = true
      return
    }
    const chunk = JSON.parse(data) as StreamChunk
    const choice = chunk.choices?.[0]
    if (choice !== undefined && id !== undefined) {
      // The id of an event is the index of its token.
      this.sink.onToken({
        index: Number(id),
        text: choice.delta?.content ?? choice.text ?? '',
        finishReason: choice.finish_reason ?? null
      })
    }
    if (chunk.usage !== undefined && chunk.usage !== null) {
      this.#usage = {
        promptTokens: chunk.usage.prompt_tokens ?? 0,
        completionTokens: chunk.usage.completion_tokens ?? 0,
        cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0
      }
    }
  }
}
