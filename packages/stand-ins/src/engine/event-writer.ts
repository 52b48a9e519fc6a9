/** Writes the tokens of a sequence as server-sent events. */
import type { ServerResponse } from 'node:http'
import type { Sequence, TokenListener } from './sequence.js'

/** Writes tokens as chunks of the OpenAI streaming format, with the token's index as the event id. */
export class EventWriter implements TokenListener {
  constructor (private readonly response: ServerResponse, private readonly sequence: Sequence) {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-dispatch-id': sequence.id })
    response.flushHeaders()
  }

  onToken (index: number): void {
    const { sequence } = this
    const content = sequence.answer.token(index)
    const finishReason = index === sequence.answerTokens - 1 ? 'stop' : null
    const choice = sequence.isChat
      ? { index: 0, delta: { content }, finish_reason: finishReason }
      : { index: 0, text: content, finish_reason: finishReason }
    this.response.write(`id: ${index}\ndata: ${JSON.stringify({ id: sequence.id, model: sequence.model, choices: [choice] })}\n\n`)
  }

  onEnd (): void {
    const { promptTokens, cachedTokens, generated } = this.sequence
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: generated,
      total_tokens: promptTokens + generated,
      prompt_tokens_details: { cached_tokens: cachedTokens }
    }
    this.response.end(`data: ${JSON.stringify({ id: this.sequence.id, choices: [], usage })}\n\ndata: [DONE]\n\n`)
  }
}
